//! Which upstream of a region gets a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::document::ServiceTerms;
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
/// Load of the second home, as a share of its slots, up to which it helps a first one
/// that is too full: an object that is asked for more than one upstream can bear. Under
/// general load no upstream is so idle.
const IDLE: f64 = 0.25;
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
    /// Most connections to it, where the operator bounds them.
    pub connections: Option<u32>,
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
    let first_two = homes(pool, wish, now, 2);
    let choice = match wish.by_object {
        true => at_home(first_two, wish),
        false if first_two.iter().any(|choice| wait(choice, wish).is_zero()) => {
            least_loaded(first_two, wish)
        }
        false => least_loaded(homes(pool, wish, now, usize::MAX), wish),
    }?;
    choice.upstream.condition().cold_part.take(now);
    Ok(choice)
}

/// The first usable upstreams in the object's ranking, `most` of them that are neither
/// slow nor in a doubted zone; those that are come last.
fn homes(pool: &RegionPool, wish: &Wish<'_>, now: Instant, most: usize) -> Vec<Choice> {
    let members = pool.upstreams.iter();
    let members = members.map(|upstream| (upstream.hash, f64::from(upstream.report.slots)));
    let (mut healthy, mut last) = (Vec::new(), Vec::new());
    for (rank, at) in rank(wish.object, members).enumerate() {
        match usable(&pool.upstreams[at], rank, wish, now) {
            Some(home) if home.is_last => last.push(home.choice),
            Some(home) => healthy.push(home.choice),
            None => {}
        }
        if healthy.len() == most {
            break;
        }
    }
    healthy.append(&mut last);
    healthy
}

const UNREACHABLE: NoRoom = NoRoom {
    reachable: false,
    come_back: COME_BACK_LEAST,
};

/// An object's home is the first usable upstream in its ranking. Where it is too full,
/// the next one helps if it is idle.
fn at_home(ranked: Vec<Choice>, wish: &Wish<'_>) -> Result<Choice, NoRoom> {
    let mut ranked = ranked.into_iter();
    let first = ranked.next().ok_or(UNREACHABLE)?;
    let wait = wait(&first, wish);
    let choice = match is_bearable(wait, wish) {
        true => Some(first),
        false => ranked.next().filter(is_idle),
    };
    choice.ok_or(full(wait))
}

/// Work on no object goes to the less loaded of the first two. Its ranking is by chance:
/// two choices balance nearly as well as all, and hosts that know the same loads do not
/// all run to the same upstream (Mitzenmacher, "The power of two choices in randomized
/// load balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001).
/// Where both are full, any upstream with a free slot does, else the least wait.
fn least_loaded(mut ranked: Vec<Choice>, wish: &Wish<'_>) -> Result<Choice, NoRoom> {
    let by_use = |a: &Choice, b: &Choice| use_of_slots(a).total_cmp(&use_of_slots(b));
    if ranked.len() >= 2 && by_use(&ranked[1], &ranked[0]).is_lt() {
        ranked.swap(0, 1);
    }
    let free = ranked
        .iter()
        .position(|choice| wait(choice, wish).is_zero());
    let least = || (0..ranked.len()).min_by_key(|at| wait(&ranked[*at], wish));
    let at = free.or_else(least).ok_or(UNREACHABLE)?;
    let choice = ranked.swap_remove(at);
    let wait = wait(&choice, wish);
    match is_bearable(wait, wish) {
        true => Ok(choice),
        false => Err(full(wait)),
    }
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

fn use_of_slots(choice: &Choice) -> f64 {
    choice.load / f64::from(choice.upstream.report.slots)
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
    Some(Home {
        is_last: condition.is_slow(now) || upstream.zone().is_doubted(now),
        choice: Choice {
            upstream: Arc::clone(upstream),
            rank,
            load: condition.load(now, wish.near_hosts.map_or(1, <[HostName]>::len)),
            load_age: condition.load_age(now),
            cold: upstream.is_cold(now),
            connections: wish.terms.map(|terms| terms.connections),
        },
    })
}

/// Time until a slot is free, from the load and the usual time.
fn wait(choice: &Choice, wish: &Wish<'_>) -> Duration {
    let slots = f64::from(choice.upstream.report.slots);
    let ahead = (choice.load + 1.0 - slots).max(0.0);
    wish.usual.mul_f64(ahead / slots)
}

fn is_idle(choice: &Choice) -> bool {
    use_of_slots(choice) <= IDLE
}
