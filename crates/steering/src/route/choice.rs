//! Which upstream of a region gets a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::document::ServiceTerms;
use super::homes::rank;
use super::upstream::UpstreamId;
use super::view::{RegionPool, Upstream};

/// Homes of an object: the first so many upstreams that are usable. Nobody else gets
/// it, since work at an upstream that does not hold the object takes three times as
/// long, and makes that upstream forget another object.
const HOMES: usize = 3;
/// Share of the goal that may be spent waiting at an object's first home: waiting
/// there is shorter than doing the work at an upstream that does not hold the object.
const WAIT_SHARE: f64 = 0.4;
/// Share of the goal beyond which a wait is worth no send.
const WAIT_MOST: f64 = 1.0;
/// Least time after which a refused caller should come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);

/// What a request wants of a service.
pub struct Wish<'a> {
    /// Hash of its object.
    pub object: u64,
    /// Time within which its answer is worth most.
    pub goal: Duration,
    /// 1 for the most urgent requests of the service, less for others.
    pub urgency: f64,
    /// Upstreams that had it already, or could not be reached.
    pub tried: &'a [UpstreamId],
    /// Usual time of the service's answers.
    pub usual: Duration,
    /// Bounds of the service.
    pub terms: Option<&'a ServiceTerms>,
    /// Requests in a second that a cold upstream may receive from all hosts, given
    /// what it bears.
    pub cold_bound: &'a dyn Fn(f64) -> f64,
    /// Hosts that share the bounds.
    pub sharers: usize,
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
}

/// No upstream can take the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom {
    /// Whether any upstream could be reached.
    pub reachable: bool,
    /// When the caller may try again.
    pub come_back: Duration,
}

/// Chooses among a region's upstreams, and takes from a cold one's part where needed.
pub fn choose(pool: &RegionPool, wish: &Wish<'_>, now: Instant) -> Result<Choice, NoRoom> {
    let members = pool.upstreams.iter();
    let members = members.map(|upstream| (upstream.hash, f64::from(upstream.report.slots)));
    let ranked: Vec<Choice> = rank(wish.object, members)
        .into_iter()
        .enumerate()
        .filter_map(|(rank, place)| usable(&pool.upstreams[place], rank, wish, now))
        .collect();
    let healthy = |choice: &&Choice| !choice.upstream.condition().is_slow(now);
    let slow = |choice: &&Choice| choice.upstream.condition().is_slow(now);
    let ordered: Vec<&Choice> = ranked
        .iter()
        .filter(healthy)
        .chain(ranked.iter().filter(slow))
        .take(HOMES)
        .collect();
    let room = ordered.iter().enumerate().find(|(place, choice)| {
        wait(choice, wish) <= tolerated(*place, wish) && take_cold(choice, wish, now)
    });
    if let Some((_, choice)) = room {
        return Ok((*choice).clone());
    }
    let least = ordered.iter().min_by_key(|choice| wait(choice, wish));
    match least {
        Some(choice) if wait(choice, wish) <= wish.goal.mul_f64(WAIT_MOST * wish.urgency) => {
            match take_cold(choice, wish, now) {
                true => Ok((*choice).clone()),
                false => Err(no_room(wish, Some(choice))),
            }
        }
        least => Err(no_room(wish, least.copied())),
    }
}

fn usable(upstream: &Arc<Upstream>, rank: usize, wish: &Wish<'_>, now: Instant) -> Option<Choice> {
    let condition = upstream.condition();
    let tried = wish.tried.contains(&upstream.report.id);
    if tried || !condition.is_usable(now) {
        return None;
    }
    Some(Choice {
        upstream: Arc::clone(upstream),
        rank,
        load: condition.load(now),
    })
}

/// Time until a slot is free, from the load and the usual time.
fn wait(choice: &Choice, wish: &Wish<'_>) -> Duration {
    let slots = f64::from(choice.upstream.report.slots);
    let ahead = (choice.load + 1.0 - slots).max(0.0);
    wish.usual.mul_f64(ahead / slots)
}

fn tolerated(place: usize, wish: &Wish<'_>) -> Duration {
    match place {
        0 => wish.goal.mul_f64(WAIT_SHARE * wish.urgency),
        _ => Duration::ZERO,
    }
}

/// True where the upstream is warm, or this host's part of its bound has room.
fn take_cold(choice: &Choice, wish: &Wish<'_>, now: Instant) -> bool {
    if !choice.upstream.is_cold(now) {
        return true;
    }
    let bears = wish.terms.map_or(0.0, |terms| terms.cold_per_s);
    let most = (wish.cold_bound)(bears);
    let mut condition = choice.upstream.condition();
    condition.cold_part.take(now, most, wish.sharers)
}

fn no_room(wish: &Wish<'_>, least: Option<&Choice>) -> NoRoom {
    NoRoom {
        reachable: least.is_some(),
        come_back: least.map_or(COME_BACK_LEAST, |choice| {
            wait(choice, wish).max(COME_BACK_LEAST)
        }),
    }
}
