//! What one host believes at a moment, ready to be used by requests.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use super::catalog::Catalog;
use super::condition::Condition;
use super::customer::CustomerTable;
use super::document::{RouteDocument, ServiceTerms};
use super::feed::{FeedDigest, Record};
use super::homes::place;
use super::region_load::RegionLoad;
use super::table::RouteTable;
use super::upstream::{ReportedUpstream, UpstreamId};
use super::wish::Wish;
use super::zone_condition::ZoneCondition;
use crate::ids::{HostName, RegionName, ServiceName, ZoneName};
use crate::statement::Obstacle;

/// Time after an answer that names a limit for which objects are kept away for it.
const LIMIT_FRESH: Duration = Duration::from_secs(5);
/// Steps in which the share of objects changes that a limited upstream keeps: hosts that
/// believe a little different loads then keep the same ones.
const KEPT_STEPS: f64 = 8.0;
/// Times of its limit by which objects are kept: they are asked for unevenly, and what is too
/// much finds no token.
const KEPT_MORE: f64 = 1.5;

/// An upstream that requests may go to.
#[derive(Debug)]
pub struct Upstream {
    /// Its report.
    pub report: ReportedUpstream,
    /// Hash of its identity, the same on every host.
    pub hash: u64,
    /// End of its warm-up, where it is cold.
    pub cold_until: Option<Instant>,
    condition: Arc<Mutex<Condition>>,
    zone: Arc<Mutex<ZoneCondition>>,
    region: Arc<Mutex<RegionLoad>>,
}

impl Upstream {
    /// What this host has seen of it.
    pub fn condition(&self) -> MutexGuard<'_, Condition> {
        lock(&self.condition)
    }

    /// What this host has seen of its zone.
    pub fn zone(&self) -> MutexGuard<'_, ZoneCondition> {
        lock(&self.zone)
    }

    /// Takes a report of all its load.
    pub fn reported(&self, now: Instant, running: u32, waiting: u32) {
        self.condition().reported(now, running, waiting);
        let all = f64::from(running) + f64::from(waiting);
        let use_of_slots = all / f64::from(self.report.slots);
        lock(&self.region).take(now, use_of_slots);
    }

    /// Requests running and waiting there, as far as can be known; `hosts` send to it.
    pub fn load(&self, now: Instant, hosts: usize) -> f64 {
        let usual = lock(&self.region).use_of_slots(now);
        let usual = usual.map(|usual| usual * f64::from(self.report.slots));
        self.condition().load(now, hosts, usual)
    }

    /// Whether a request that it refused or broke off may be sent to it once more: it has
    /// room, and seldom does so.
    pub fn may_be_asked_again(&self, now: Instant) -> bool {
        let has_room = self.load(now, 1) < f64::from(self.report.slots);
        has_room && self.condition().may_be_asked_again(now)
    }

    /// Whether an object stays with it in spite of the limit that it names, if it names one.
    ///
    /// The objects that are too many for it go to their next homes as a whole and by their
    /// hash, which all hosts share: request by request, both homes would have to hold them.
    pub fn keeps(&self, now: Instant, wish: &Wish<'_>) -> bool {
        let Some(limit) = self.fresh_limit(now) else {
            return true;
        };
        let asked_per_s = self.asked_per_s(now, wish.usual);
        let kept = (KEPT_MORE * limit / asked_per_s * KEPT_STEPS).ceil() / KEPT_STEPS;
        place(wish.object ^ self.hash) < kept
    }

    /// Its limit, where this host has heard it lately. One that nothing is sent to names no
    /// other limit either: its objects come back to ask.
    fn fresh_limit(&self, now: Instant) -> Option<f64> {
        let limit = self.condition().stated.known_limit(now)?;
        (limit.age < LIMIT_FRESH).then_some(limit.per_s)
    }

    /// Requests a second that an upstream of its slots gets in its region.
    fn asked_per_s(&self, now: Instant, usual: Duration) -> f64 {
        let use_of_slots = lock(&self.region).use_of_slots(now).unwrap_or(1.0);
        let slots = f64::from(self.report.slots);
        use_of_slots * slots / usual.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Requests that it may work on at once: its slots, or what its limit allows in the
    /// usual time of its work.
    fn room(&self, now: Instant, usual: Option<Duration>) -> f64 {
        let slots = f64::from(self.report.slots);
        match (self.fresh_limit(now), usual) {
            (Some(per_s), Some(usual)) => slots.min(per_s * usual.as_secs_f64()),
            _ => slots,
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

/// Whether what was seen of a start that no report names must be kept: its report may come
/// back, and what it has said of itself still holds. It may yet say so while it answers a
/// request, which holds the condition then.
fn is_remembered(condition: &Arc<Mutex<Condition>>, now: Instant) -> bool {
    Arc::strong_count(condition) > 1 || lock(condition).stated.is_remembered(now)
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A service's upstreams in a region.
#[derive(Debug, Default)]
pub struct RegionPool {
    /// Those that take work; ordered by identity.
    pub upstreams: Vec<Arc<Upstream>>,
}

impl RegionPool {
    /// Requests that they work on at once, together.
    pub fn slots(&self) -> u32 {
        self.upstreams
            .iter()
            .map(|upstream| upstream.report.slots)
            .sum()
    }

    /// Requests that they may work on at once, together, within the limits that they name;
    /// `usual` is the usual time of their work.
    pub fn room(&self, now: Instant, usual: Option<Duration>) -> f64 {
        let upstreams = self.upstreams.iter();
        upstreams.map(|upstream| upstream.room(now, usual)).sum()
    }

    /// Load relative to room; 1 is full. Unusable upstreams count as full. `hosts` are those
    /// that send to them, `usual` is the usual time of their work.
    pub fn use_of_room(&self, now: Instant, hosts: usize, usual: Option<Duration>) -> f64 {
        let room = self.room(now, usual);
        if room == 0.0 {
            return f64::INFINITY;
        }
        let load = |upstream: &Arc<Upstream>| {
            let is_usable = upstream.condition().is_usable(now);
            match is_usable {
                true => upstream.load(now, hosts),
                false => upstream.room(now, usual),
            }
        };
        self.upstreams.iter().map(load).sum::<f64>() / room
    }
}

/// A service's upstreams by region.
#[derive(Debug, Default)]
pub struct ServicePool {
    /// Regions that have any.
    pub regions: BTreeMap<RegionName, RegionPool>,
    /// What the operator says of the service.
    pub terms: Option<ServiceTerms>,
}

/// How many upstreams have said to this host what keeps work from them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedCounts {
    /// Those that rest, or are just back from it.
    pub resting: usize,
    /// Those that leave.
    pub leaving: usize,
    /// Those that name a limit.
    pub limiting: usize,
}

impl ServicePool {
    /// Counts the service's upstreams by what they have said.
    pub fn stated(&self, now: Instant) -> StatedCounts {
        let mut counts = StatedCounts::default();
        let pools = self.regions.values();
        for upstream in pools.flat_map(|region| &region.upstreams) {
            let condition = upstream.condition();
            counts.limiting += usize::from(condition.stated.known_limit(now).is_some());
            match condition.obstacle(now) {
                Some(Obstacle::Rests(_) | Obstacle::TrialPending) => counts.resting += 1,
                Some(Obstacle::Leaves) => counts.leaving += 1,
                _ => {}
            }
        }
        counts
    }
}

/// Immutable; a newer one replaces it whole.
#[derive(Debug, Default)]
pub struct RouteView {
    /// Version of the document in force; 0 before the first.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: super::document::CallerLimits,
    /// The document's routes.
    pub table: Arc<RouteTable>,
    /// The document's customers.
    pub customers: Arc<CustomerTable>,
    /// Whether the upstreams' reports have been read.
    pub upstreams_known: bool,
    /// Whether other hosts have been asked what work they refuse.
    pub works_known: bool,
    /// Upstreams by service.
    pub services: Arc<HashMap<ServiceName, ServicePool>>,
    /// Addresses for callers of the hosts that are there, by region.
    pub hosts: BTreeMap<RegionName, Vec<SocketAddr>>,
    /// Hosts that share the bounds, this one included; none while they are not known.
    pub sharers: Option<usize>,
    /// Hosts of the own region, this one included; none while they are not known. Only
    /// they may send to the region's cold upstreams.
    pub near_hosts: Option<Vec<HostName>>,
}

/// Zones that are, or were, to get no work.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Evacuations {
    /// Those that are to get none now.
    pub wanted: BTreeSet<ZoneName>,
    /// When an evacuation ended. Upstreams may have turned cold shortly before, and say
    /// so only in their next report: until their warm-up would be over they count as cold.
    pub ended: BTreeMap<ZoneName, Instant>,
}

impl Evacuations {
    /// Takes what is wanted now; what has changed.
    pub fn take(&mut self, now: Instant, wanted: BTreeSet<ZoneName>) -> Vec<Record> {
        let ended: Vec<ZoneName> = self.wanted.difference(&wanted).cloned().collect();
        let turned = wanted.symmetric_difference(&self.wanted);
        let turned = turned.map(|zone| Record::Evacuation {
            zone: zone.clone(),
            wanted: wanted.contains(zone),
        });
        let turned = turned.collect();
        self.ended.extend(ended.into_iter().map(|zone| (zone, now)));
        self.wanted = wanted;
        turned
    }

    /// Digest of the zones that are to get no work now.
    pub fn digest(&self) -> FeedDigest {
        let zones = self.wanted.iter();
        zones.fold(0, |digest, zone| {
            digest ^ crate::rendezvous::hash(zone.as_bytes())
        })
    }
}

/// What this host has seen; it outlives views.
#[derive(Debug, Default)]
pub struct Conditions {
    /// Each start of an upstream has its own, also where two starts have the same identity.
    upstreams: HashMap<(UpstreamId, Option<u64>), Arc<Mutex<Condition>>>,
    zones: HashMap<ZoneName, Arc<Mutex<ZoneCondition>>>,
    regions: HashMap<(ServiceName, RegionName), Arc<Mutex<RegionLoad>>>,
}

impl RouteView {
    /// Whether requests can be served: a document is in force, upstreams are known, and what
    /// others refuse, as far as they can be asked.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && self.upstreams_known && self.works_known
    }

    /// Upstreams by service and region. Those that drain, stand in an evacuated zone or
    /// in a zone of no known region are left out.
    pub fn pools(
        document: &RouteDocument,
        catalog: &Catalog,
        evacuations: &Evacuations,
        regions: &BTreeMap<ZoneName, RegionName>,
        conditions: &mut Conditions,
        now: Instant,
    ) -> HashMap<ServiceName, ServicePool> {
        let mut pools: HashMap<ServiceName, ServicePool> = HashMap::new();
        for listed in catalog.listed() {
            let report = &listed.report;
            let condition = conditions.upstreams.entry(report.start()).or_default();
            let zone = conditions.zones.entry(report.zone.clone()).or_default();
            let Some(region) = regions.get(&report.zone) else {
                continue;
            };
            if report.draining || evacuations.wanted.contains(&report.zone) {
                continue;
            }
            let warm_up = document.services.get(&report.service);
            let warm_up = warm_up.map_or(Duration::ZERO, |terms| terms.warm_up);
            let taken_back = evacuations.ended.get(&report.zone).map(|at| *at + warm_up);
            let at = (report.service.clone(), region.clone());
            let upstream = Upstream {
                hash: crate::rendezvous::hash(report.id.as_bytes()),
                cold_until: listed.cold_until.max(taken_back),
                condition: Arc::clone(condition),
                zone: Arc::clone(zone),
                region: Arc::clone(conditions.regions.entry(at).or_default()),
                report: report.clone(),
            };
            let pool = pools.entry(report.service.clone()).or_default();
            let region = pool.regions.entry(region.clone()).or_default();
            region.upstreams.push(Arc::new(upstream));
        }
        for (name, pool) in &mut pools {
            pool.terms = document.services.get(name).cloned();
        }
        let regions = &mut conditions.regions;
        regions.retain(|(service, _), _| pools.contains_key(service));
        let kept: HashSet<_> = catalog.listed().map(|l| l.report.start()).collect();
        conditions
            .upstreams
            .retain(|start, condition| kept.contains(start) || is_remembered(condition, now));
        pools
    }
}
