//! Which upstream of a region gets a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::estimate::{Familiarity, Standing};
use super::expectation::{Expectation, Seen, expect};
use super::homes::rank;
use super::no_room::{NoRoom, PassedOver};
use super::pace::cold_share;
use super::upstream::UpstreamId;
use super::view::{RegionPool, Upstream};
use super::wish::Wish;
use crate::ids::HostName;
use crate::statement::{KnownLimit, Obstacle};

/// Wait at an object's home, as a share of its goal, up to which it is sent there. Work
/// at an upstream that does not hold the object takes three times as long, and makes
/// that upstream forget another object: waiting is better, and beyond this share a
/// refusal with a time to come back is. Measured in docs/decisions/platform.md.
const WAIT_MOST: f64 = 1.5;
/// Homes of an object among which the best is chosen.
const HOMES: usize = 2;
/// What it costs to have an object held by one more upstream, which must fetch it and
/// forgets another for it.
const REPLICA: f64 = 1.5;
/// Share of an upstream that one object takes, by the requests of all hosts, from which
/// on another home helps where the first is too full.
const HOT: f64 = 0.5;
/// An upstream, and how it came to be chosen.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Its place among the object's homes; 0 is the first.
    pub rank: usize,
    /// Load that it was believed to have.
    pub load: f64,
    /// Age of its own report of load, where it is still believed.
    pub load_age: Option<Duration>,
    /// Whether it was believed to be cold.
    pub cold: bool,
    /// Most connections to it, where the operator bounds them.
    pub connections: Option<u32>,
    /// What was expected of it.
    pub expectation: Expectation,
    /// Upstreams before it in the ranking that were passed over for what they have said.
    pub passed_over: Vec<UpstreamId>,
    /// Whether it has a token of the limit that its upstream names.
    pub has_token: bool,
}

impl Choice {
    /// What its upstream has said since it was chosen, and bars the request: it may have
    /// answered others while this one waited, up to 300 ms, for a connection.
    pub fn barred(&self, now: Instant) -> Option<Obstacle> {
        let condition = self.upstream.condition();
        let obstacle = condition.obstacle(now);
        let barring = obstacle.filter(|obstacle| obstacle.blocks_chosen_request());
        let lacks_token = !self.has_token && condition.stated.known_limit(now).is_some();
        barring.or(lacks_token.then_some(Obstacle::LimitExhausted(Duration::ZERO)))
    }

    /// The limit of which the request needs a token before it is sent.
    pub fn limit(&self, now: Instant) -> Option<KnownLimit> {
        self.upstream.condition().stated.known_limit(now)
    }

    /// Counts the request that is about to be sent; `object` is its own, where it has one.
    pub fn begin(&self, now: Instant, object: Option<u64>) {
        let mut condition = self.upstream.condition();
        condition.cold_part.take(now);
        if let Some(object) = object {
            condition.holding.sent(now, object);
        }
    }

    /// Takes that no answer had come after `silent`: the upstream takes at least so long.
    pub fn gave_no_answer(&self, now: Instant, silent: Duration) {
        let expected = self.expectation.longest();
        let times = self.expectation.speed * silent.as_secs_f64() / expected.as_secs_f64();
        if times > 1.0 {
            self.upstream.condition().speed.take(now, times);
        }
    }
}

/// Chooses among a region's upstreams.
pub fn choose(pool: &RegionPool, wish: &Wish<'_>, now: Instant) -> Result<Choice, NoRoom> {
    let Homes {
        healthy,
        last,
        passed_over,
    } = match wish.by_object {
        true => homes(pool, wish, now, HOMES),
        false => first_by_chance(pool, wish, now),
    };
    let chosen = best(healthy, wish).or_else(|no_room| {
        // Those that come last help only where no other can be reached.
        match no_room.is_reachable() {
            true => Err(no_room),
            false => best(last, wish),
        }
    });
    match chosen {
        Ok(choice) => Ok(Choice {
            passed_over: passed_over.named,
            ..choice
        }),
        Err(no_room) => Err(explained(no_room, passed_over, wish)),
    }
}

/// The refusal with what the upstreams have said that were passed over.
fn explained(no_room: NoRoom, passed_over: PassedOver, wish: &Wish<'_>) -> NoRoom {
    let no_room = match (passed_over.rest, passed_over.limit) {
        _ if no_room.is_reachable() => no_room,
        (Some(rest), limit) if limit.is_none_or(|limit| rest < limit.wait) => {
            NoRoom::resting(rest, wish.usual)
        }
        (_, Some(limit)) => NoRoom::limited(limit),
        _ => no_room,
    };
    NoRoom {
        passed_over: passed_over.named,
        ..no_room
    }
}

/// Work on no object goes to the better of two by chance: two choices balance nearly as
/// well as all, and hosts that know the same loads do not all run to the same upstream
/// (Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
/// Transactions on Parallel and Distributed Systems 12(10), 2001). Where both are full,
/// all are weighed.
fn first_by_chance(pool: &RegionPool, wish: &Wish<'_>, now: Instant) -> Homes {
    let first_two = homes(pool, wish, now, 2);
    let is_free = |choice: &Choice| choice.expectation.wait.is_zero();
    match first_two.healthy.iter().any(is_free) {
        true => first_two,
        false => homes(pool, wish, now, usize::MAX),
    }
}

/// Usable upstreams in the order of an object's ranking.
#[derive(Default)]
struct Homes {
    healthy: Vec<Choice>,
    /// Those in a doubted zone, or whose limit leaves this object to others.
    last: Vec<Choice>,
    passed_over: PassedOver,
}

/// The first `most` healthy upstreams in the object's ranking, and the others before them.
fn homes(pool: &RegionPool, wish: &Wish<'_>, now: Instant, most: usize) -> Homes {
    let members = pool.upstreams.iter();
    let members = members.map(|upstream| (upstream.hash, f64::from(upstream.report.slots)));
    let mut homes = Homes::default();
    for (rank, at) in rank(wish.object, members).enumerate() {
        let upstream = &pool.upstreams[at];
        let obstacle = upstream.condition().obstacle(now);
        if let Some(obstacle) = obstacle {
            homes.passed_over.add(upstream, obstacle, HOMES);
            continue;
        }
        let Some(choice) = usable(upstream, rank, wish, now) else {
            continue;
        };
        let comes_last = upstream.zone().is_doubted(now) || !upstream.keeps(now, wish);
        match comes_last {
            true => homes.last.push(choice),
            false => homes.healthy.push(choice),
        }
        if homes.healthy.len() == most {
            break;
        }
    }
    homes
}

/// The one of most worth; the first of those of the same worth. Where its wait can't be
/// borne, another helps only an object that is asked for more than one upstream can bear:
/// for others it would fetch the object and forget another, and be full next.
fn best(ranked: Vec<Choice>, wish: &Wish<'_>) -> Result<Choice, NoRoom> {
    let first = &ranked.first().ok_or_else(unreachable)?.expectation;
    // A home that is late whatever it holds is none: another takes its place for long.
    let (first_wait, has_home) = (first.wait, !first.too_slow);
    let worth = |place: usize, choice: &Choice| {
        let is_replica = place > 0 && has_home && needs_replica(choice);
        choice.expectation.worth - if is_replica { REPLICA } else { 0.0 }
    };
    let ranked = ranked.into_iter().enumerate();
    let ranked = ranked.map(|(place, choice)| (worth(place, &choice), choice));
    let mut ranked: Vec<(f64, Choice)> = ranked.collect();
    // Stable, so that the order of the homes decides between equals.
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut ranked = ranked.into_iter().map(|(_, choice)| choice);
    let best = ranked.next().ok_or_else(unreachable)?;
    let is_bearable = |choice: &Choice| is_bearable(choice.expectation.wait, wish);
    if is_bearable(&best) {
        return Ok(best);
    }
    let is_hot = best.expectation.object_share >= HOT;
    let other = ranked.find(|choice| is_hot && is_bearable(choice));
    other.ok_or_else(|| NoRoom::full(first_wait))
}

/// Whether a home besides the first would have to fetch the object, as far as this host
/// knows.
fn needs_replica(choice: &Choice) -> bool {
    let standing = choice.expectation.standing;
    standing.is_some_and(|standing| standing.familiarity != Familiarity::Recent)
}

fn is_bearable(wait: Duration, wish: &Wish<'_>) -> bool {
    wait <= wish.goal.mul_f64(WAIT_MOST * wish.urgency)
}

fn unreachable() -> NoRoom {
    NoRoom::unreachable(Duration::ZERO)
}

/// The upstream as a home, where nothing stands against the request. One that had it
/// already is none, nor is a cold one whose part of this host is used up.
fn usable(upstream: &Arc<Upstream>, rank: usize, wish: &Wish<'_>, now: Instant) -> Option<Choice> {
    let hosts = wish.near_hosts.map_or(1, <[HostName]>::len);
    let load = upstream.load(now, hosts);
    let mut condition = upstream.condition();
    if wish.tried.contains(&upstream.report.id) {
        return None;
    }
    let bears = wish.terms.and_then(|terms| terms.cold_per_s);
    let cold = upstream.is_cold(now);
    if let Some(bears) = bears.filter(|_| cold) {
        let most = (wish.cold_bound)(bears);
        let share = cold_share(most, &upstream.report.id, wish.me, wish.near_hosts);
        if !condition.cold_part.has_room(now, share) {
            return None;
        }
    }
    let standing = wish.by_object.then(|| Standing {
        familiarity: condition.holding.familiarity(now, wish.object),
        rank,
    });
    let asked_per_s = condition.holding.per_s(now, wish.object) * hosts as f64;
    let seen = Seen {
        load,
        slots: f64::from(upstream.report.slots),
        standing,
        cold,
        speed: condition.speed.times(now),
        asked_per_s,
    };
    Some(Choice {
        upstream: Arc::clone(upstream),
        rank,
        load,
        load_age: condition.load_age(now),
        cold,
        expectation: expect(wish, &seen),
        connections: wish.terms.map(|terms| terms.connections),
        passed_over: Vec::new(),
        has_token: false,
    })
}
