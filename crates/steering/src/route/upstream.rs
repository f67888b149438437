//! An upstream that requests may be sent to, with what this host has observed of it.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use super::object_hash::unit_hash;
use super::region_load::RegionLoad;
use super::reported_upstream::ReportedUpstream;
use super::requirements::Requirements;
use super::upstream_state::{UpstreamState, estimate_others};
use super::zone_health::ZoneHealth;

/// Time after an answer with a rate limit during which objects are reassigned because of
/// the limit.
const LIMIT_REASSIGNS_FOR: Duration = Duration::from_secs(5);
/// Number of steps in which the share of objects that a limited upstream keeps changes.
/// Hosts whose load estimates differ slightly then keep the same objects.
const KEPT_SHARE_STEPS: f64 = 8.0;
/// Factor by which the objects that an upstream keeps may exceed its rate limit. Objects
/// are requested unevenly, and requests beyond the limit get no token.
const KEPT_RATE_FACTOR: f64 = 1.5;

/// An upstream that may receive requests.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream's registration report.
    pub report: Arc<ReportedUpstream>,
    /// Hash of the upstream's identity, the same on every host.
    pub hash: u64,
    /// End of the warm-up; `None` if the upstream is warm.
    pub cold_until: Option<Instant>,
    pub(super) state: Arc<LazyState>,
    pub(super) zone: Arc<Mutex<ZoneHealth>>,
    pub(super) region: Arc<Mutex<RegionLoad>>,
}

/// This host's observations of one start of an upstream process, created when needed: a host
/// sends requests to a small part of the upstreams of a large deployment.
#[derive(Debug, Default)]
pub(super) struct LazyState(OnceLock<Box<Mutex<UpstreamState>>>);

impl LazyState {
    pub(super) fn get(&self) -> Option<MutexGuard<'_, UpstreamState>> {
        self.0.get().map(|state| lock(state))
    }

    fn get_or_create(&self) -> MutexGuard<'_, UpstreamState> {
        lock(self.0.get_or_init(Box::default))
    }
}

impl Upstream {
    /// Locks and returns this host's observations of the upstream.
    pub fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.get_or_create()
    }

    /// Locks and returns this host's observations of the upstream; `None` before the first
    /// one.
    pub fn observed_state(&self) -> Option<MutexGuard<'_, UpstreamState>> {
        self.state.get()
    }

    /// Locks and returns this host's observations of the upstream's zone.
    pub fn zone(&self) -> MutexGuard<'_, ZoneHealth> {
        lock(&self.zone)
    }

    /// Records a report of the upstream's whole load.
    pub fn load_reported(&self, now: Instant, running: u32, waiting: u32) {
        self.state().load_reported(now, running, waiting);
        let all = f64::from(running) + f64::from(waiting);
        let use_of_slots = all / f64::from(self.report.slots);
        lock(&self.region).take(now, use_of_slots);
    }

    /// Returns the estimated number of requests running and waiting at the upstream.
    /// `hosts` is the number of hosts that send to it.
    pub fn load(&self, now: Instant, hosts: usize) -> f64 {
        let typical_load = lock(&self.region).use_of_slots(now);
        let typical_load =
            typical_load.map(|use_of_slots| use_of_slots * f64::from(self.report.slots));
        match self.observed_state() {
            Some(state) => state.load(now, hosts, typical_load),
            None => estimate_others(0.0, hosts, typical_load),
        }
    }

    /// Returns whether requests of this host run at the upstream.
    pub fn is_working(&self) -> bool {
        self.observed_state()
            .is_some_and(|state| state.is_working())
    }

    /// Returns whether the upstream may be sent a request.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.observed_state()
            .is_none_or(|state| state.is_usable(now))
    }

    /// Returns whether a request that the upstream refused or broke off may be sent there
    /// again: it has a free slot, and failed attempts are an exception there.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let has_free_slot = self.load(now, 1) < f64::from(self.report.slots);
        has_free_slot && self.state().allows_retry(now)
    }

    /// Returns whether the upstream keeps an object despite the rate limit that it
    /// declares, if any.
    ///
    /// Objects beyond the limit go to their next homes as a whole, selected by a hash that
    /// all hosts share. A decision per request would make both homes hold the object.
    pub fn keeps_object(&self, now: Instant, requirements: &Requirements<'_>) -> bool {
        let Some(limit) = self.recent_limit_per_s(now) else {
            return true;
        };
        let received_per_s = self.received_per_s(now, requirements.typical_work);
        let kept_share = (KEPT_RATE_FACTOR * limit / received_per_s * KEPT_SHARE_STEPS).ceil()
            / KEPT_SHARE_STEPS;
        unit_hash(requirements.object ^ self.hash) < kept_share
    }

    /// Returns the rate limit in requests per second if it was declared recently. Later the
    /// limit no longer moves objects: an upstream that receives nothing can't declare
    /// another limit, so its objects return and bring its current limit with the answers.
    fn recent_limit_per_s(&self, now: Instant) -> Option<f64> {
        let limit = self.observed_state()?.statements.known_limit(now)?;
        (limit.age < LIMIT_REASSIGNS_FOR).then_some(limit.per_s)
    }

    /// Returns the requests per second that an upstream with this number of slots receives
    /// in its region.
    fn received_per_s(&self, now: Instant, typical_work: Duration) -> f64 {
        let use_of_slots = lock(&self.region).use_of_slots(now).unwrap_or(1.0);
        let slots = f64::from(self.report.slots);
        use_of_slots * slots / typical_work.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the number of requests that the upstream may work on concurrently: its
    /// slots, or what its rate limit allows during a typical work time if that is less.
    pub(super) fn capacity(&self, now: Instant, typical_work: Option<Duration>) -> f64 {
        let slots = f64::from(self.report.slots);
        match (self.recent_limit_per_s(now), typical_work) {
            (Some(per_s), Some(typical_work)) => slots.min(per_s * typical_work.as_secs_f64()),
            _ => slots,
        }
    }

    /// Returns whether the upstream is in its warm-up.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

pub(super) fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
