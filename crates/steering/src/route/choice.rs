//! Which upstream of a region gets a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::document::ServiceTerms;
use super::estimate::{Estimate, Familiarity, Standing, Work};
use super::homes::rank;
use super::pace::cold_share;
use super::upstream::UpstreamId;
use super::view::{RegionPool, Upstream};
use crate::ids::HostName;

/// Wait at an object's home, as a share of its goal, up to which it is sent there. Work
/// at an upstream that does not hold the object takes three times as long, and makes
/// that upstream forget another object: waiting is better, and beyond this share a
/// refusal with a time to come back is. Measured in docs/decisions/platform.md.
const WAIT_MOST: f64 = 1.5;
/// Homes of an object among which the best is chosen.
const HOMES: usize = 2;
/// What an answer after the goal is worth, beside one within it.
const LATE_WORTH: f64 = 0.2;
/// Spread of the times of work, as a share of them.
const SPREAD: f64 = 0.12;
/// Share of the goal that is left for the ways to the caller and back.
const GOAL_USED: f64 = 0.9;
/// What usual work takes from others at an upstream that is full: one of them comes late.
const PRICE: f64 = 0.4;
/// What it costs to have an object held by one more upstream, which must fetch it and
/// forgets another for it.
const REPLICA: f64 = 1.5;
/// Share of an upstream that one object takes, by the requests of all hosts, from which
/// on another home helps where the first is too full.
const HOT: f64 = 0.5;
/// Load, as a share of its slots, from which on an upstream counts as full.
const FULL: f64 = 1.5;
/// Least time after which a refused caller should come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);

/// What a request wants of a service.
pub struct Wish<'a> {
    /// Hash of its object; any number where it has none.
    pub object: u64,
    /// Whether upstreams that have lately seen the object do its work faster.
    pub by_object: bool,
    /// Time within which its answer is worth most.
    pub goal: Duration,
    /// 1 for the most urgent requests of the service, less for others.
    pub urgency: f64,
    /// Upstreams that had it already, or could not be reached.
    pub tried: &'a [UpstreamId],
    /// Usual time of the service's work.
    pub usual: Duration,
    /// What is known of the times of this class of work.
    pub estimate: &'a Estimate,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Bounds of the service.
    pub terms: Option<&'a ServiceTerms>,
    /// Requests in a second that a cold upstream may receive from all hosts, given
    /// what it bears.
    pub cold_bound: &'a dyn Fn(f64) -> f64,
    /// This host.
    pub me: &'a str,
    /// Hosts that may send to cold upstreams of the pool, this one among them; none
    /// where this host may not, or while they are not known.
    pub near_hosts: Option<&'a [HostName]>,
}

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
}

/// What a request was expected to meet at an upstream, from which its answer is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// What decides whether its object is held there; none for work on no object.
    pub standing: Option<Standing>,
    /// Time until a slot is free.
    pub wait: Duration,
    /// The work itself.
    pub work: Work,
    /// Times as long as usual that the upstream takes.
    pub speed: f64,
    /// Share of the upstream's slots that the object's requests lately took.
    pub object_share: f64,
    /// Probability that the answer comes within the goal.
    pub timely: f64,
    /// Worth of the answer, less what the work takes from others; 1 at most.
    pub worth: f64,
}

/// No upstream can take the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom {
    /// Whether any upstream could be reached.
    pub reachable: bool,
    /// When the caller may try again.
    pub come_back: Duration,
}

/// Chooses among a region's upstreams; takes from a cold one's part where needed.
pub fn choose(pool: &RegionPool, wish: &Wish<'_>, now: Instant) -> Result<Choice, NoRoom> {
    let Homes { healthy, last } = match wish.by_object {
        true => homes(pool, wish, now, HOMES),
        false => first_by_chance(pool, wish, now),
    };
    let choice = best(healthy, wish).or_else(|no_room| {
        // Those that come last help only where no other can be reached.
        if no_room.reachable {
            Err(no_room)
        } else {
            best(last, wish)
        }
    })?;
    let mut condition = choice.upstream.condition();
    condition.cold_part.take(now);
    if wish.by_object {
        condition.holding.sent(now, wish.object);
    }
    drop(condition);
    Ok(choice)
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
    /// Those in a doubted zone.
    last: Vec<Choice>,
}

/// The first `most` healthy upstreams in the object's ranking, and the others before them.
fn homes(pool: &RegionPool, wish: &Wish<'_>, now: Instant, most: usize) -> Homes {
    let members = pool.upstreams.iter();
    let members = members.map(|upstream| (upstream.hash, f64::from(upstream.report.slots)));
    let mut homes = Homes::default();
    for (rank, at) in rank(wish.object, members).enumerate() {
        match usable(&pool.upstreams[at], rank, wish, now) {
            Some(home) if home.is_last => homes.last.push(home.choice),
            Some(home) => homes.healthy.push(home.choice),
            None => {}
        }
        if homes.healthy.len() == most {
            break;
        }
    }
    homes
}

const UNREACHABLE: NoRoom = NoRoom {
    reachable: false,
    come_back: COME_BACK_LEAST,
};

/// The one of most worth; the first of those of the same worth. Where its wait can't be
/// borne, another helps only an object that is asked for more than one upstream can bear:
/// for others it would fetch the object and forget another, and be full next.
fn best(ranked: Vec<Choice>, wish: &Wish<'_>) -> Result<Choice, NoRoom> {
    let first_wait = ranked.first().ok_or(UNREACHABLE)?.expectation.wait;
    let worth = |place: usize, choice: &Choice| match place > 0 && needs_replica(choice) {
        true => choice.expectation.worth - REPLICA,
        false => choice.expectation.worth,
    };
    let ranked = ranked.into_iter().enumerate();
    let ranked = ranked.map(|(place, choice)| (worth(place, &choice), choice));
    let mut ranked: Vec<(f64, Choice)> = ranked.collect();
    // Stable, so that the order of the homes decides between equals.
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut ranked = ranked.into_iter().map(|(_, choice)| choice);
    let best = ranked.next().ok_or(UNREACHABLE)?;
    match is_bearable(best.expectation.wait, wish) {
        true => Ok(best),
        false if best.expectation.object_share >= HOT => {
            let bearable = |choice: &Choice| is_bearable(choice.expectation.wait, wish);
            ranked.find(bearable).ok_or(full(first_wait))
        }
        false => Err(full(first_wait)),
    }
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

fn full(wait: Duration) -> NoRoom {
    NoRoom {
        reachable: true,
        come_back: wait.max(COME_BACK_LEAST),
    }
}

/// An upstream that can take the request.
struct Home {
    choice: Choice,
    /// Whether it comes after all others.
    is_last: bool,
}

/// The upstream as a home, where it can be sent the request. A cold one whose part of
/// this host is used up can't.
fn usable(upstream: &Arc<Upstream>, rank: usize, wish: &Wish<'_>, now: Instant) -> Option<Home> {
    let mut condition = upstream.condition();
    if wish.tried.contains(&upstream.report.id) || !condition.is_usable(now) {
        return None;
    }
    let bears = wish.terms.and_then(|terms| terms.cold_per_s);
    if let Some(bears) = bears.filter(|_| upstream.is_cold(now)) {
        let most = (wish.cold_bound)(bears);
        let share = cold_share(most, &upstream.report.id, wish.me, wish.near_hosts);
        if !condition.cold_part.has_room(now, share) {
            return None;
        }
    }
    let cold = upstream.is_cold(now);
    let hosts = wish.near_hosts.map_or(1, <[HostName]>::len);
    let load = condition.load(now, hosts);
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
    let expectation = expect(wish, &seen);
    Some(Home {
        is_last: upstream.zone().is_doubted(now),
        choice: Choice {
            upstream: Arc::clone(upstream),
            rank,
            load,
            load_age: condition.load_age(now),
            cold,
            expectation,
            connections: wish.terms.map(|terms| terms.connections),
        },
    })
}

/// What is known of an upstream when a request is weighed.
struct Seen {
    load: f64,
    slots: f64,
    standing: Option<Standing>,
    cold: bool,
    speed: f64,
    /// Requests of all hosts on the object, a second.
    asked_per_s: f64,
}

/// What a request meets at an upstream.
fn expect(wish: &Wish<'_>, seen: &Seen) -> Expectation {
    let Seen {
        load,
        slots,
        standing,
        cold,
        speed,
        asked_per_s,
    } = *seen;
    let ahead = (load + 1.0 - slots).max(0.0);
    let wait = wish.usual.mul_f64(speed * ahead / slots);
    let work = wish.estimate.work(standing, cold).times(speed);
    let in_time = |work: Duration| in_time(wish, wait + work);
    let timely = work.held * in_time(work.if_held) + (1.0 - work.held) * in_time(work.if_fetched);
    let answer = LATE_WORTH + (1.0 - LATE_WORTH) * timely;
    let full = (load / slots / FULL).min(1.0);
    let amount = work.mean().as_secs_f64() / wish.usual.as_secs_f64().max(1e-6);
    Expectation {
        standing,
        wait,
        work,
        speed,
        object_share: asked_per_s * work.if_held.as_secs_f64() / slots,
        timely,
        worth: wish.urgency * answer - PRICE * amount * full * full,
    }
}

/// Probability that a request is answered within its goal, if it takes `more` from now on.
fn in_time(wish: &Wish<'_>, more: Duration) -> f64 {
    let left = wish.goal.mul_f64(GOAL_USED).as_secs_f64() - wish.elapsed.as_secs_f64();
    let spread = SPREAD * more.as_secs_f64() + 0.005;
    1.0 / (1.0 + ((more.as_secs_f64() - left) / spread).exp())
}
