//! Selects the upstream of a region that receives a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::cold_sends::cold_share;
use super::estimate::{Affinity, LastSent};
use super::expectation::{Expectation, UpstreamSnapshot, predict};
use super::region_pool::RegionPool;
use super::reported_upstream::UpstreamId;
use super::requirements::Requirements;
use super::unavailable::{SkippedUpstreams, Unavailable};
use super::upstream::Upstream;
use crate::ids::HostName;
use crate::statement::{KnownLimit, Obstacle};

/// Longest queueing time accepted at an object's home, as a multiple of the latency goal.
/// At an upstream that does not hold the object the work takes three times as long and
/// evicts another object, so waiting is better up to this time. Beyond it the request is
/// refused with a retry time. See docs/decisions/platform.md.
const MAX_WAIT_GOALS: f64 = 1.5;
/// Number of an object's homes that are compared.
const HOMES_COMPARED: usize = 2;
/// Utility subtracted for a further upstream that has to fetch the object: it evicts
/// another object for it.
const REPLICA_COST: f64 = 1.5;
/// Share of an upstream's slots taken by the requests of all hosts for one object, from
/// which a second home may relieve a first that is too full.
const HOT_OBJECT_SHARE: f64 = 0.5;

/// The selected upstream with the data that led to its selection.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The selected upstream.
    pub upstream: Arc<Upstream>,
    /// Rank among the object's homes; 0 is the first.
    pub rank: usize,
    /// Requests running and waiting there, as estimated at selection.
    pub load: f64,
    /// Age of the upstream's load report; `None` if no current report exists.
    pub load_age: Option<Duration>,
    /// Whether the upstream counted as cold.
    pub cold: bool,
    /// Maximum number of connections to the upstream; `None` if the operator sets no limit.
    pub connections: Option<u32>,
    /// Predicted wait, work time and utility.
    pub expectation: Expectation,
    /// Higher-ranked upstreams skipped because of their own statements.
    pub passed_over: Vec<UpstreamId>,
    /// Whether the request holds a token of the rate limit that the upstream declares.
    pub has_token: bool,
}

impl Choice {
    /// Returns what the upstream has declared since its selection that forbids sending the
    /// request. A request may wait up to 300 ms for a connection, and the upstream may
    /// answer others meanwhile.
    pub fn new_obstacle(&self, now: Instant) -> Option<Obstacle> {
        let state = self.upstream.state();
        let obstacle = state.obstacle(now);
        let blocking = obstacle.filter(|obstacle| obstacle.blocks_chosen_request());
        let lacks_token = !self.has_token && state.statements.known_limit(now).is_some();
        blocking.or(lacks_token.then_some(Obstacle::LimitExhausted(Duration::ZERO)))
    }

    /// Returns the rate limit of which the request needs a token before it is sent.
    pub fn limit(&self, now: Instant) -> Option<KnownLimit> {
        self.upstream.state().statements.known_limit(now)
    }

    /// Counts a request that is about to be sent. `object` is the hash of its object, if it
    /// has one.
    pub fn note_sent(&self, now: Instant, object: Option<u64>) {
        let mut state = self.upstream.state();
        state.cold_sends.take(now);
        if let Some(object) = object {
            state.sent_objects.sent(now, object);
        }
    }

    /// Records that no answer arrived within `silent`, as a lower bound of the upstream's
    /// response time.
    pub fn note_timeout(&self, now: Instant, silent: Duration) {
        let expected = self.expectation.longest();
        let times = self.expectation.speed * silent.as_secs_f64() / expected.as_secs_f64();
        if times > 1.0 {
            self.upstream.state().speed.take(now, times);
        }
    }
}

/// Selects one of a region's upstreams.
///
/// # Errors
///
/// Returns [`Unavailable`] with the cause and a retry time if no upstream can take the
/// request.
pub fn choose(
    pool: &RegionPool,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Result<Choice, Unavailable> {
    let Candidates {
        healthy,
        fallback,
        skipped,
    } = match requirements.by_object {
        true => ranked_candidates(pool, requirements, now, HOMES_COMPARED),
        false => random_candidates(pool, requirements, now),
    };
    let chosen = best(healthy, requirements).or_else(|unavailable| {
        // Fallback candidates are used only if no other candidate is reachable.
        match unavailable.is_reachable() {
            true => Err(unavailable),
            false => best(fallback, requirements),
        }
    });
    match chosen {
        Ok(choice) => Ok(Choice {
            passed_over: skipped.first_ids,
            ..choice
        }),
        Err(unavailable) => Err(with_stated_cause(unavailable, skipped, requirements)),
    }
}

/// Adds the skipped upstreams, and the cause that their statements give.
fn with_stated_cause(
    unavailable: Unavailable,
    skipped: SkippedUpstreams,
    requirements: &Requirements<'_>,
) -> Unavailable {
    let unavailable = match (skipped.rest, skipped.next_token) {
        _ if unavailable.is_reachable() => unavailable,
        (Some(rest), limit) if limit.is_none_or(|limit| rest < limit.wait) => {
            Unavailable::resting(rest, requirements.typical_work)
        }
        (_, Some(limit)) => Unavailable::rate_limited(limit),
        _ => unavailable,
    };
    Unavailable {
        passed_over: skipped.first_ids,
        ..unavailable
    }
}

/// Selects candidates for a request without an object: the first two of a random ranking.
/// Two random choices balance nearly as well as a comparison of all upstreams, and hosts
/// that know the same loads do not all send to the same upstream (Mitzenmacher, "The power
/// of two choices in randomized load balancing", IEEE Transactions on Parallel and
/// Distributed Systems 12(10), 2001). If both are full, all upstreams are compared.
fn random_candidates(
    pool: &RegionPool,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Candidates {
    let candidates = ranked_candidates(pool, requirements, now, 2);
    let is_free = |choice: &Choice| choice.expectation.wait.is_zero();
    match candidates.healthy.iter().any(is_free) {
        true => candidates,
        false => ranked_candidates(pool, requirements, now, usize::MAX),
    }
}

/// Usable upstreams in rank order.
#[derive(Default)]
struct Candidates {
    healthy: Vec<Choice>,
    /// Upstreams in a zone that is suspected to be down, or whose rate limit assigns the
    /// object to other upstreams.
    fallback: Vec<Choice>,
    skipped: SkippedUpstreams,
}

/// Returns the first `max` healthy upstreams in the object's ranking, and the fallback and
/// skipped upstreams ranked before them.
fn ranked_candidates(
    pool: &RegionPool,
    requirements: &Requirements<'_>,
    now: Instant,
    max: usize,
) -> Candidates {
    let mut candidates = Candidates::default();
    let ranked = pool.rank_for(requirements.object, requirements.part);
    for (rank, index) in ranked.enumerate() {
        let upstream = &pool.upstreams[index];
        let obstacle = upstream
            .observed_state()
            .and_then(|state| state.obstacle(now));
        if let Some(obstacle) = obstacle {
            candidates.skipped.add(upstream, obstacle, HOMES_COMPARED);
            continue;
        }
        let Some(choice) = candidate(upstream, rank, requirements, now) else {
            continue;
        };
        let is_fallback =
            upstream.zone().is_suspected_down(now) || !upstream.keeps_object(now, requirements);
        match is_fallback {
            true => candidates.fallback.push(choice),
            false => candidates.healthy.push(choice),
        }
        if candidates.healthy.len() == max {
            break;
        }
    }
    candidates
}

/// Returns the candidate of highest utility, and the first in rank order among equals. If
/// its wait is too long, another candidate is used only for an object whose requests are
/// more than one upstream can serve. For any other object a further upstream would have to
/// fetch the object and evict another one, and would be full next.
fn best(ranked: Vec<Choice>, requirements: &Requirements<'_>) -> Result<Choice, Unavailable> {
    let first = &ranked.first().ok_or_else(no_candidates)?.expectation;
    // A first home that misses the goal even for held objects does not count as a home:
    // another upstream takes over its objects for a long time.
    let (first_wait, has_home) = (first.wait, !first.too_slow);
    let worth = |place: usize, choice: &Choice| {
        let is_replica = place > 0 && has_home && needs_replica(choice);
        choice.expectation.worth - if is_replica { REPLICA_COST } else { 0.0 }
    };
    let ranked = ranked.into_iter().enumerate();
    let ranked = ranked.map(|(place, choice)| (worth(place, &choice), choice));
    let mut ranked: Vec<(f64, Choice)> = ranked.collect();
    // The sort is stable, so rank order decides between equals.
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut ranked = ranked.into_iter().map(|(_, choice)| choice);
    let best = ranked.next().ok_or_else(no_candidates)?;
    let is_acceptable = |choice: &Choice| is_acceptable(choice.expectation.wait, requirements);
    if is_acceptable(&best) {
        return Ok(best);
    }
    let is_hot = best.expectation.object_share >= HOT_OBJECT_SHARE;
    let other = ranked.find(|choice| is_hot && is_acceptable(choice));
    other.ok_or_else(|| Unavailable::full(first_wait))
}

/// Returns whether a candidate other than the first home would have to fetch the object, by
/// what this host has sent there.
fn needs_replica(choice: &Choice) -> bool {
    let affinity = choice.expectation.affinity;
    affinity.is_some_and(|affinity| affinity.last_sent != LastSent::Recent)
}

fn is_acceptable(wait: Duration, requirements: &Requirements<'_>) -> bool {
    wait <= acceptable_wait(requirements.latency_goal, requirements.urgency)
}

/// Returns the longest wait for room that a request accepts.
pub fn acceptable_wait(latency_goal: Duration, urgency: f64) -> Duration {
    latency_goal.mul_f64(MAX_WAIT_GOALS * urgency)
}

fn no_candidates() -> Unavailable {
    Unavailable::unreachable(Duration::ZERO)
}

/// Returns the upstream as a candidate. `None` for an upstream that already received the
/// request, or a cold one for which this host's share is used up.
fn candidate(
    upstream: &Arc<Upstream>,
    rank: usize,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Option<Choice> {
    let hosts = requirements.region_hosts.map_or(1, <[HostName]>::len);
    let load = upstream.load(now, hosts);
    let mut state = upstream.state();
    if requirements.excluded.contains(&upstream.report.id) {
        return None;
    }
    let limit_per_s = requirements.terms.and_then(|terms| terms.cold_per_s);
    let cold = upstream.is_cold(now);
    if let Some(limit_per_s) = limit_per_s.filter(|_| cold) {
        let max = (requirements.cold_limit_per_s)(limit_per_s);
        let share = cold_share(
            max,
            &upstream.report.id,
            requirements.this_host,
            requirements.region_hosts,
            requirements.running_for,
        );
        if !state.cold_sends.has_room(now, share) {
            return None;
        }
    }
    let affinity = requirements.by_object.then(|| Affinity {
        last_sent: state.sent_objects.last_sent(now, requirements.object),
        rank,
    });
    let object_requests_per_s = state.sent_objects.per_s(now, requirements.object) * hosts as f64;
    let snapshot = UpstreamSnapshot {
        load,
        slots: f64::from(upstream.report.slots),
        affinity,
        cold,
        speed: state.speed.times(now),
        object_requests_per_s,
    };
    Some(Choice {
        upstream: Arc::clone(upstream),
        rank,
        load,
        load_age: state.load_age(now),
        cold,
        expectation: predict(requirements, &snapshot),
        connections: requirements.terms.map(|terms| terms.connections),
        passed_over: Vec::new(),
        has_token: false,
    })
}
