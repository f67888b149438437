//! Which upstream of a region gets a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::document::ServiceTerms;
use super::homes::rank;
use super::pace::cold_share;
use super::upstream::UpstreamId;
use super::view::{RegionPool, Upstream};
use crate::ids::HostName;

/// Homes of an object: the first so many upstreams that are usable. Nobody else gets
/// it, since work at an upstream that does not hold the object takes three times as
/// long, and makes that upstream forget another object.
const HOMES: usize = 2;
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
    let ranked = rank(wish.object, members).into_iter().enumerate();
    let usable = ranked.filter_map(|(rank, at)| usable(&pool.upstreams[at], rank, wish, now));
    let (slow, healthy): (Vec<Home>, Vec<Home>) = usable.partition(|home| home.is_slow);
    let homes: Vec<Home> = healthy.into_iter().chain(slow).take(HOMES).collect();
    let waits: Vec<Duration> = homes.iter().map(|home| wait(&home.choice, wish)).collect();
    let room = (0..homes.len()).find(|place| waits[*place] <= tolerated(*place, wish));
    let least = (0..homes.len()).min_by_key(|place| waits[*place]);
    let enough = wish.goal.mul_f64(WAIT_MOST * wish.urgency);
    match room.or(least.filter(|place| waits[*place] <= enough)) {
        Some(place) => {
            let choice = &homes[place].choice;
            choice.upstream.condition().cold_part.take(now);
            Ok(choice.clone())
        }
        None => Err(NoRoom {
            reachable: least.is_some(),
            come_back: least.map_or(COME_BACK_LEAST, |place| waits[place].max(COME_BACK_LEAST)),
        }),
    }
}

/// An upstream that can take the request.
struct Home {
    choice: Choice,
    is_slow: bool,
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
    Some(Home {
        is_slow: condition.is_slow(now),
        choice: Choice {
            upstream: Arc::clone(upstream),
            rank,
            load: condition.load(now),
            load_age: condition.load_age(now),
            cold: upstream.is_cold(now),
        },
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
