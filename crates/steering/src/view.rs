//! The data that traffic threads read: the indexed configuration, the known hosts and
//! the estimated load of each zone.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use rand::{Rng, RngCore};

use crate::choice::ZoneCandidate;
use crate::ids::{Incarnation, Revision, ServiceName, ZoneName};
use crate::load_estimate::LoadReports;
use crate::membership::HostEntry;
use crate::plan::{Plan, PoolKey, RuleMatch, ServicePlan, ZonePlan};
use crate::rendezvous;

/// Numbers of requests that this host has in flight, by service and zone.
///
/// Traffic threads update the counters in place.
pub type InFlightCounts = HashMap<(ServiceName, ZoneName), Arc<AtomicU32>>;

/// An immutable snapshot that the control thread replaces as a whole.
#[derive(Debug, Clone)]
pub struct View {
    /// Revision of the configuration that `plan` was built from.
    pub revision: Revision,
    /// The indexed configuration.
    pub plan: Arc<Plan>,
    /// Name, zone and addresses of this host.
    pub me: HostEntry,
    /// Incarnation of this host's process.
    pub incarnation: Incarnation,
    /// Whether this host is shutting down and takes no new requests.
    pub leaving: bool,
    /// Hosts that requests can be relayed to, by zone; hosts that are shutting down are
    /// left out.
    pub hosts: BTreeMap<ZoneName, Vec<HostEntry>>,
    /// Latest load report of each service in each zone.
    pub load_reports: LoadReports,
    /// This host's requests in flight, with an entry for every service and zone of `plan`.
    pub own_in_flight: InFlightCounts,
}

/// A zone that a request may be forwarded to.
#[derive(Debug, Clone)]
pub struct Target<'a> {
    /// The service's upstreams in the zone.
    pub zone: &'a ZonePlan,
    /// Input for the choice of a zone: share, distance and estimated load.
    pub place: ZoneCandidate,
}

impl View {
    /// Creates a view with an empty configuration that knows only this host.
    pub fn new(me: HostEntry, incarnation: Incarnation) -> Self {
        View {
            revision: 0,
            plan: Arc::default(),
            hosts: BTreeMap::from([(me.zone.clone(), vec![me.clone()])]),
            me,
            incarnation,
            leaving: false,
            load_reports: LoadReports::default(),
            own_in_flight: InFlightCounts::new(),
        }
    }

    /// Returns the counter of this host's requests in flight for a service in a zone.
    pub fn own_in_flight_count(&self, service: &str, zone: &str) -> Option<&Arc<AtomicU32>> {
        self.own_in_flight
            .get(&(service.to_owned(), zone.to_owned()))
    }

    /// Returns the zones that a request may be forwarded to under its rule.
    ///
    /// Leaves out zones without slots, without known hosts, or that no place of the rule
    /// selects.
    pub fn targets<'a>(
        &'a self,
        now: Instant,
        service: &'a ServicePlan,
        rule: Option<RuleMatch<'_>>,
    ) -> Vec<Target<'a>> {
        let zone_shares = self.zone_shares(service, rule);
        let is_usable = |zone: &&ZonePlan| zone.slots > 0 && self.has_hosts(&zone.zone);
        service
            .zones
            .iter()
            .filter(is_usable)
            .filter_map(|zone| {
                let share = match (&zone_shares, rule) {
                    (_, None) => None,
                    (zone_shares, Some(_)) => Some(*zone_shares.get(zone.zone.as_str())?),
                };
                Some(self.target(now, service, zone, share))
            })
            .collect()
    }

    fn target<'a>(
        &'a self,
        now: Instant,
        service: &'a ServicePlan,
        zone: &'a ZonePlan,
        share: Option<f64>,
    ) -> Target<'a> {
        let name = &service.service.name;
        let own = self.own_in_flight_count(name, &zone.zone);
        let own = own.map_or(0, |count| count.load(Ordering::Relaxed));
        let estimate = self
            .load_reports
            .estimate(now, &zone.zone, name, zone.slots, own);
        let place = ZoneCandidate {
            zone: zone.zone.clone(),
            share,
            one_way_ms: self.plan.document.one_way_ms(&self.me.zone, &zone.zone),
            capacity: estimate.capacity,
            in_flight: estimate.in_flight,
            latency_ms: match estimate.latency_ms {
                known if known > 0.0 => known,
                _ => service.service.expected_ms,
            },
        };
        Target { zone, place }
    }

    /// Returns the share of each zone in percent: the share of a place divided among its
    /// zones in proportion to their slots.
    fn zone_shares<'a>(
        &self,
        service: &'a ServicePlan,
        rule: Option<RuleMatch<'_>>,
    ) -> HashMap<&'a str, f64> {
        let Some(rule) = rule else {
            return HashMap::new();
        };
        let mut zones_by_place: HashMap<usize, (f64, Vec<&ZonePlan>)> = HashMap::new();
        for zone in &service.zones {
            let labels = self.plan.zone_labels(&zone.zone);
            if let Some((index, place)) = labels.and_then(|labels| rule.place(labels)) {
                let (_, zones) = zones_by_place
                    .entry(index)
                    .or_insert_with(|| (place.share_percent, Vec::new()));
                zones.push(zone);
            }
        }
        let mut shares = HashMap::new();
        for (share, zones) in zones_by_place.into_values() {
            let slots: u32 = zones.iter().map(|zone| zone.slots).sum();
            for zone in zones {
                let fraction = f64::from(zone.slots) / f64::from(slots.max(1));
                shares.insert(zone.zone.as_str(), share * fraction);
            }
        }
        shares
    }

    fn has_hosts(&self, zone: &str) -> bool {
        self.hosts.get(zone).is_some_and(|hosts| !hosts.is_empty())
    }

    /// Draws one of a zone's pools at random, weighted by its number of upstreams.
    ///
    /// Returns `None` if the zone has no upstreams.
    pub fn draw_pool<'a>(&self, zone: &'a ZonePlan, rng: &mut dyn RngCore) -> Option<&'a str> {
        let upstreams: usize = zone.pools.iter().map(|pool| pool.upstreams.len()).sum();
        if upstreams == 0 {
            return None;
        }
        let mut point = rng.random_range(0..upstreams);
        for pool in &zone.pools {
            if point < pool.upstreams.len() {
                return Some(&pool.key);
            }
            point -= pool.upstreams.len();
        }
        None
    }

    /// Returns the hosts of a zone in their rendezvous order for a pool; the first host
    /// owns the pool.
    pub fn owners(&self, zone: &str, pool: &str) -> Vec<&HostEntry> {
        let Some(hosts) = self.hosts.get(zone) else {
            return Vec::new();
        };
        let ranked = rendezvous::rank(pool, hosts.iter().map(|host| host.name.as_str()));
        ranked
            .into_iter()
            .filter_map(|name| hosts.iter().find(|host| host.name == name))
            .collect()
    }

    /// Returns the pools in this host's zone that this host owns.
    pub fn owned_pools(&self) -> Vec<PoolKey> {
        let names = || {
            let hosts = self.hosts.get(&self.me.zone).into_iter().flatten();
            hosts.map(|host| host.name.as_str())
        };
        self.plan
            .services
            .values()
            .filter_map(|service| service.zone(&self.me.zone))
            .flat_map(|zone| &zone.pools)
            .filter(|pool| rendezvous::owner(&pool.key, names()) == Some(&self.me.name))
            .map(|pool| pool.key.clone())
            .collect()
    }

    /// Finds a known host by name, in any zone.
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.values().flatten().find(|host| host.name == name)
    }
}
