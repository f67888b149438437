//! Immutable snapshot of all that a host knows about routes and upstreams, as used by
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use super::catalog::Catalog;
use super::customer::CustomerTable;
use super::document::{RouteDocument, ServiceTerms};
use super::feed::{FeedDigest, Record};
use super::homes::unit_hash;
use super::region_load::RegionLoad;
use super::requirements::Requirements;
use super::rollout::{Rollouts, SoftwareVersion, VersionRule, VersionUsage};
use super::table::RouteTable;
use super::upstream::ReportedUpstream;
use super::upstream_state::{UpstreamState, estimate_others};
use super::zone_health::ZoneHealth;
use crate::ids::{HostName, RegionName, ServiceName, ZoneName};
use crate::statement::Obstacle;

/// Time after an answer with a rate limit during which objects are reassigned because of
/// the limit.
const LIMIT_REASSIGNS_FOR: Duration = Duration::from_secs(5);
/// Number of steps in which the share of objects that a limited upstream keeps changes.
/// Hosts whose load estimates differ slightly then keep the same objects.
const KEPT_SHARE_STEPS: f64 = 8.0;
/// Factor by which the objects that an upstream keeps may exceed its rate limit. Objects
/// are requested unevenly, and requests beyond the limit get no token.
const KEPT_RATE_FACTOR: f64 = 1.5;

/// Share of the new version's upstreams that is used on trial, relative to the share of the
/// requests.
const TRIAL_UPSTREAMS_FACTOR: f64 = 1.5;

/// An upstream that may receive requests.
#[derive(Debug)]
pub struct Upstream {
    /// The upstream's registration report.
    pub report: Arc<ReportedUpstream>,
    /// Hash of the upstream's identity, the same on every host.
    pub hash: u64,
    /// End of the warm-up; `None` if the upstream is warm.
    pub cold_until: Option<Instant>,
    state: Arc<LazyState>,
    zone: Arc<Mutex<ZoneHealth>>,
    region: Arc<Mutex<RegionLoad>>,
}

/// This host's observations of one start of an upstream process, created when needed: a host
/// sends requests to a small part of the upstreams of a large deployment.
#[derive(Debug, Default)]
struct LazyState(OnceLock<Box<Mutex<UpstreamState>>>);

impl LazyState {
    fn get(&self) -> Option<MutexGuard<'_, UpstreamState>> {
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
    fn capacity(&self, now: Instant, typical_work: Option<Duration>) -> f64 {
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

/// Returns whether the observations of a process start without a report must be kept. The
/// report may come back, and the upstream's statements still hold then. A request in flight
/// holds the state as well, as its answer may bring a statement.
fn must_be_kept(state: &Arc<LazyState>, now: Instant) -> bool {
    let is_remembered = |state: MutexGuard<'_, UpstreamState>| state.statements.is_remembered(now);
    Arc::strong_count(state) > 1 || state.get().is_some_and(is_remembered)
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Upstreams of a service in a region.
#[derive(Debug, Default)]
pub struct RegionPool {
    /// Upstreams that accept work, ordered by identity.
    pub upstreams: Vec<Arc<Upstream>>,
    /// During a roll-out, the upstreams of the version on trial, or of the old version once
    /// all requests go to the new one.
    pub other_version: Option<Box<RegionPool>>,
    /// Sum of the upstreams' slots, computed when first needed.
    slots: OnceLock<u32>,
}

impl RegionPool {
    /// Keeps the upstreams that are used while their version is on trial. With all of them,
    /// each would get too few requests to show how the version behaves under load.
    fn keep_for_trial(&mut self, order_revision: u64, share_per_mille: u16) {
        let share = f64::from(share_per_mille) / 1_000.0 * TRIAL_UPSTREAMS_FACTOR;
        let count = (self.upstreams.len() as f64 * share).ceil() as usize;
        let place = |upstream: &Arc<Upstream>| unit_hash(upstream.hash ^ order_revision);
        self.upstreams.sort_by(|a, b| place(a).total_cmp(&place(b)));
        self.upstreams.truncate(count.max(1));
        self.slots = OnceLock::new();
    }

    /// Returns the sum of the upstreams' slots.
    pub fn slots(&self) -> u32 {
        let slots = self.upstreams.iter().map(|upstream| upstream.report.slots);
        *self.slots.get_or_init(|| slots.sum())
    }

    /// Returns the number of requests that the upstreams may work on concurrently within
    /// the rate limits that they declare. `typical_work` is the typical work time.
    pub fn capacity(&self, now: Instant, typical_work: Option<Duration>) -> f64 {
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|upstream| upstream.capacity(now, typical_work))
            .sum()
    }

    /// Returns the load relative to the capacity; 1 is full. Unusable upstreams count as
    /// full. `hosts` is the number of hosts that send to the upstreams, `typical_work` the
    /// typical work time.
    pub fn utilization(&self, now: Instant, hosts: usize, typical_work: Option<Duration>) -> f64 {
        let region = self.upstreams.first().map(|upstream| &upstream.region);
        let use_of_slots = region.and_then(|region| lock(region).use_of_slots(now));
        let (mut load, mut capacity) = (0.0, 0.0);
        for upstream in &self.upstreams {
            // A host has observed a small part of the upstreams of a large deployment.
            let Some(state) = upstream.observed_state() else {
                let slots = f64::from(upstream.report.slots);
                capacity += slots;
                load += estimate_others(0.0, hosts, use_of_slots.map(|share| share * slots));
                continue;
            };
            let is_usable = state.is_usable(now);
            drop(state);
            let own_capacity = upstream.capacity(now, typical_work);
            capacity += own_capacity;
            load += match is_usable {
                true => upstream.load(now, hosts),
                false => own_capacity,
            };
        }
        if capacity == 0.0 {
            return f64::INFINITY;
        }
        load / capacity
    }
}

/// Upstreams of a service by region.
#[derive(Debug, Default)]
pub struct ServicePool {
    /// Regions with at least one upstream.
    pub regions: BTreeMap<RegionName, RegionPool>,
    /// Settings of the service; `None` if the document does not list it.
    pub terms: Option<ServiceTerms>,
    /// The roll-out that has not been decided yet, if any.
    pub rollout: Option<ServiceRollout>,
}

/// A roll-out that has not been decided yet.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRollout {
    /// Revision of the order.
    pub order_revision: u64,
    /// The version that is rolled out.
    pub version: SoftwareVersion,
    /// Thousandths of the requests that go to the version while it is on trial; `None` once
    /// all requests go to it.
    pub trial_per_mille: Option<u16>,
}

/// Number of a service's upstreams whose statements to this host restrict the work sent to
/// them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementCounts {
    /// Upstreams that asked for rest or have just finished one.
    pub resting: usize,
    /// Upstreams that are shutting down.
    pub leaving: usize,
    /// Upstreams that declare a rate limit.
    pub limiting: usize,
}

impl ServicePool {
    /// Applies the rule of a roll-out to the pools.
    fn begin_rollout(&mut self, rule: &VersionRule) {
        self.rollout = rule.rollout();
        let trial = self.rollout.as_ref();
        let Some((order_revision, share_per_mille)) =
            trial.and_then(|rollout| Some((rollout.order_revision, rollout.trial_per_mille?)))
        else {
            return;
        };
        let pools = self.regions.values_mut();
        for pool in pools.filter_map(|pool| pool.other_version.as_mut()) {
            pool.keep_for_trial(order_revision, share_per_mille);
        }
    }

    /// Counts the service's upstreams by their statements.
    pub fn statement_counts(&self, now: Instant) -> StatementCounts {
        let mut counts = StatementCounts::default();
        let pools = self.regions.values();
        for upstream in pools.flat_map(|region| &region.upstreams) {
            let Some(state) = upstream.observed_state() else {
                continue;
            };
            counts.limiting += usize::from(state.statements.known_limit(now).is_some());
            match state.obstacle(now) {
                Some(Obstacle::Rests(_) | Obstacle::TrialPending) => counts.resting += 1,
                Some(Obstacle::Leaves) => counts.leaving += 1,
                _ => {}
            }
        }
        counts
    }
}

/// Immutable snapshot; a newer one replaces it as a whole.
#[derive(Debug, Default)]
pub struct RouteView {
    /// Version of the document in force; 0 before the first one.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: super::document::CallerLimits,
    /// Routes of the document.
    pub table: Arc<RouteTable>,
    /// Customers of the document.
    pub customers: Arc<CustomerTable>,
    /// Whether the upstreams' reports have been read.
    pub upstreams_loaded: bool,
    /// Whether other hosts have been asked which work they refuse.
    pub refused_work_loaded: bool,
    /// Upstreams by service.
    pub services: Arc<HashMap<ServiceName, ServicePool>>,
    /// Caller addresses of the live hosts, by region.
    pub hosts: BTreeMap<RegionName, Vec<SocketAddr>>,
    /// Number of hosts that share the global limits, this one included; `None` until the
    /// hosts are known.
    pub sharing_hosts: Option<usize>,
    /// Hosts of this host's region, this one included; `None` until the hosts are known.
    /// Only these hosts may send to the region's cold upstreams.
    pub region_hosts: Option<Vec<HostName>>,
}

/// Zones that are or were evacuated.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Evacuations {
    /// Zones that must get no work now.
    pub wanted: BTreeSet<ZoneName>,
    /// Time at which each evacuation ended. Upstreams may have turned cold shortly before
    /// and say so only in their next report, so they count as cold until a warm-up from
    /// that time would be over.
    pub ended: BTreeMap<ZoneName, Instant>,
}

impl Evacuations {
    /// Replaces the set of evacuated zones and returns the changes.
    pub fn take(&mut self, now: Instant, wanted: BTreeSet<ZoneName>) -> Vec<Record> {
        let ended: Vec<ZoneName> = self.wanted.difference(&wanted).cloned().collect();
        let changes = wanted.symmetric_difference(&self.wanted);
        let changes = changes.map(|zone| Record::Evacuation {
            zone: zone.clone(),
            wanted: wanted.contains(zone),
        });
        let changes = changes.collect();
        self.ended.extend(ended.into_iter().map(|zone| (zone, now)));
        self.wanted = wanted;
        changes
    }

    /// Returns the digest of the zones that must get no work now.
    pub fn digest(&self) -> FeedDigest {
        let zones = self.wanted.iter();
        zones.fold(0, |digest, zone| {
            digest ^ crate::rendezvous::hash(zone.as_bytes())
        })
    }
}

/// One start of an upstream process.
#[derive(Debug, Default)]
struct ObservedUpstream {
    state: Arc<LazyState>,
    /// The upstream as in the last view; shared with the next one unless it changes.
    upstream: Option<Arc<Upstream>>,
    /// Whether the catalog lists the start.
    is_listed: bool,
}

/// Observations of this host, which outlive a view.
#[derive(Debug, Default)]
pub struct ObservedState {
    /// By the hash of the start: each start of an upstream process has its own entry, even if
    /// two starts share an identity.
    upstreams: HashMap<u64, ObservedUpstream>,
    zones: HashMap<ZoneName, Arc<Mutex<ZoneHealth>>>,
    regions: HashMap<(ServiceName, RegionName), Arc<Mutex<RegionLoad>>>,
}

impl RouteView {
    /// Returns whether requests can be served: a document is in force, the upstreams are
    /// known, and other hosts have been asked which work they refuse, as far as they can be
    /// reached.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && self.upstreams_loaded && self.refused_work_loaded
    }

    /// Builds the pools by service and region. Upstreams that drain, are in an evacuated
    /// zone or in a zone without a known region are omitted.
    pub fn pools(
        document: &RouteDocument,
        catalog: &Catalog,
        evacuations: &Evacuations,
        regions: &BTreeMap<ZoneName, RegionName>,
        rollouts: &Rollouts,
        states: &mut ObservedState,
        now: Instant,
    ) -> HashMap<ServiceName, ServicePool> {
        let rules = version_rules(rollouts, catalog);
        for observed in states.upstreams.values_mut() {
            observed.is_listed = false;
        }
        let mut pools: HashMap<ServiceName, ServicePool> = HashMap::new();
        for entry in catalog.listed() {
            let report = &entry.report;
            let observed = states.upstreams.entry(entry.start_hash).or_default();
            observed.is_listed = true;
            let Some(region) = regions.get(&report.zone) else {
                continue;
            };
            if report.draining || evacuations.wanted.contains(&report.zone) {
                observed.upstream = None;
                continue;
            }
            let usage = match rules.get(report.service.as_str()) {
                Some(rule) => rule.usage(&report.version),
                None => VersionUsage::Regular,
            };
            if usage == VersionUsage::Unused {
                observed.upstream = None;
                continue;
            }
            let warm_up = document.services.get(&report.service);
            let warm_up = warm_up.map_or(Duration::ZERO, |terms| terms.warm_up);
            let cold_after_evacuation = evacuations.ended.get(&report.zone).map(|at| *at + warm_up);
            let cold_until = entry.cold_until.max(cold_after_evacuation);
            let is_same = |upstream: &&Arc<Upstream>| {
                Arc::ptr_eq(&upstream.report, report) && upstream.cold_until == cold_until
            };
            let upstream = match observed.upstream.as_ref().filter(is_same) {
                Some(upstream) => Arc::clone(upstream),
                None => {
                    let zone = states.zones.entry(report.zone.clone()).or_default();
                    let at = (report.service.clone(), region.clone());
                    let region = states.regions.entry(at).or_default();
                    Arc::new(Upstream {
                        hash: crate::rendezvous::hash(report.id.as_bytes()),
                        cold_until,
                        state: Arc::clone(&observed.state),
                        zone: Arc::clone(zone),
                        region: Arc::clone(region),
                        report: Arc::clone(report),
                    })
                }
            };
            observed.upstream = Some(Arc::clone(&upstream));
            let pool = region_pool(&mut pools, &report.service, region);
            let pool = match usage {
                VersionUsage::Other => pool.other_version.get_or_insert_default(),
                _ => pool,
            };
            pool.upstreams.push(upstream);
        }
        for (name, pool) in &mut pools {
            pool.terms = document.services.get(name).cloned();
            if let Some(rule) = rules.get(name.as_str()) {
                pool.begin_rollout(rule);
            }
        }
        let regions = &mut states.regions;
        regions.retain(|(service, _), _| pools.contains_key(service));
        states.upstreams.retain(|_, observed| {
            if !observed.is_listed {
                observed.upstream = None;
            }
            observed.is_listed || must_be_kept(&observed.state, now)
        });
        pools
    }
}

/// Returns the rules of the services whose upstreams are used depending on their version.
fn version_rules<'a>(
    rollouts: &'a Rollouts,
    catalog: &'a Catalog,
) -> HashMap<&'a str, VersionRule> {
    let mut versions: HashMap<&str, BTreeMap<&str, usize>> = HashMap::new();
    for service in rollouts.services() {
        versions.insert(service, BTreeMap::new());
    }
    if versions.is_empty() && !rollouts.orders_required() {
        return HashMap::new();
    }
    let reports = catalog.listed().map(|listed| &listed.report);
    for report in reports.filter(|report| !report.draining) {
        let of_service = match rollouts.orders_required() {
            true => Some(versions.entry(report.service.as_str()).or_default()),
            false => versions.get_mut(report.service.as_str()),
        };
        if let Some(of_service) = of_service {
            *of_service.entry(report.version.as_str()).or_default() += 1;
        }
    }
    let rules = versions.into_iter();
    rules
        .map(|(service, versions)| (service, rollouts.rule(service, &versions)))
        .collect()
}

/// Returns the pool of a service in a region, which is created if necessary.
fn region_pool<'a>(
    pools: &'a mut HashMap<ServiceName, ServicePool>,
    service: &str,
    region: &str,
) -> &'a mut RegionPool {
    if !pools.contains_key(service) {
        pools.insert(service.to_owned(), ServicePool::default());
    }
    let pool = pools
        .get_mut(service)
        .expect("the entry exists or was just inserted");
    if !pool.regions.contains_key(region) {
        pool.regions
            .insert(region.to_owned(), RegionPool::default());
    }
    pool.regions
        .get_mut(region)
        .expect("the entry exists or was just inserted")
}
