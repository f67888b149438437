//! What traffic threads read: a plan, the hosts, and what is believed of load.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use rand::{Rng, RngCore};

use crate::belief::Beliefs;
use crate::choice::ZoneCandidate;
use crate::ids::{Incarnation, Revision, ServiceName, ZoneName};
use crate::membership::HostEntry;
use crate::plan::{Plan, PoolKey, RuleMatch, ServicePlan, ZonePlan};
use crate::rendezvous;

/// Requests that this host has in flight, by service and zone.
pub type OwnCounts = HashMap<(ServiceName, ZoneName), Arc<AtomicU32>>;

/// An immutable view, replaced whole by the control thread.
#[derive(Debug, Clone)]
pub struct View {
    /// Revision of the plan.
    pub revision: Revision,
    /// The configuration made ready.
    pub plan: Arc<Plan>,
    /// This host.
    pub me: HostEntry,
    /// This start.
    pub incarnation: Incarnation,
    /// Whether this host is leaving.
    pub leaving: bool,
    /// Hosts that may be asked, by zone, leaving ones not among them.
    pub hosts: BTreeMap<ZoneName, Vec<HostEntry>>,
    /// Load of services in zones.
    pub beliefs: Beliefs,
    /// This host's own counts; every service and zone of the plan is there.
    pub own: OwnCounts,
}

/// A place for a request, with where to ask for it.
#[derive(Debug, Clone)]
pub struct Target<'a> {
    /// The zone.
    pub zone: &'a ZonePlan,
    /// As the choice sees it.
    pub place: ZoneCandidate,
}

impl View {
    /// A view of nothing but this host.
    pub fn new(me: HostEntry, incarnation: Incarnation) -> Self {
        View {
            revision: 0,
            plan: Arc::default(),
            hosts: BTreeMap::from([(me.zone.clone(), vec![me.clone()])]),
            me,
            incarnation,
            leaving: false,
            beliefs: Beliefs::default(),
            own: OwnCounts::new(),
        }
    }

    /// This host's count of a service in a zone.
    pub fn own_count(&self, service: &str, zone: &str) -> Option<&Arc<AtomicU32>> {
        self.own.get(&(service.to_owned(), zone.to_owned()))
    }

    /// The places that a request may go to, under its rule.
    pub fn targets<'a>(
        &'a self,
        now: Instant,
        service: &'a ServicePlan,
        rule: Option<RuleMatch<'_>>,
    ) -> Vec<Target<'a>> {
        let weights = self.shares(service, rule);
        let with_hosts = |zone: &&ZonePlan| zone.slots > 0 && self.has_hosts(&zone.zone);
        service
            .zones
            .iter()
            .filter(with_hosts)
            .filter_map(|zone| {
                let share = match (&weights, rule) {
                    (_, None) => None,
                    (weights, Some(_)) => Some(*weights.get(zone.zone.as_str())?),
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
        let own = self.own_count(name, &zone.zone);
        let own = own.map_or(0, |count| count.load(Ordering::Relaxed));
        let believed = self.beliefs.believe(now, &zone.zone, name, zone.slots, own);
        let place = ZoneCandidate {
            zone: zone.zone.clone(),
            share,
            one_way_ms: self.plan.document.one_way_ms(&self.me.zone, &zone.zone),
            capacity: believed.capacity,
            in_flight: believed.in_flight,
            latency_ms: match believed.latency_ms {
                known if known > 0.0 => known,
                _ => service.service.expected_ms,
            },
        };
        Target { zone, place }
    }

    /// Share of each zone: a place's share, split among its zones by their slots.
    fn shares<'a>(
        &self,
        service: &'a ServicePlan,
        rule: Option<RuleMatch<'_>>,
    ) -> HashMap<&'a str, f64> {
        let Some(rule) = rule else {
            return HashMap::new();
        };
        let mut of_place: HashMap<usize, (f64, Vec<&ZonePlan>)> = HashMap::new();
        for zone in &service.zones {
            let labels = self.plan.zone_labels(&zone.zone);
            if let Some((number, place)) = labels.and_then(|labels| rule.place(labels)) {
                let (_, zones) = of_place
                    .entry(number)
                    .or_insert_with(|| (place.share_percent, Vec::new()));
                zones.push(zone);
            }
        }
        let mut shares = HashMap::new();
        for (share, zones) in of_place.into_values() {
            let slots: u32 = zones.iter().map(|zone| zone.slots).sum();
            for zone in zones {
                let part = f64::from(zone.slots) / f64::from(slots.max(1));
                shares.insert(zone.zone.as_str(), share * part);
            }
        }
        shares
    }

    fn has_hosts(&self, zone: &str) -> bool {
        self.hosts.get(zone).is_some_and(|hosts| !hosts.is_empty())
    }

    /// One of a zone's pools, drawn by its share of the upstreams.
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

    /// Hosts of a zone in the order of their claim to a pool; the first owns it.
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

    /// Pools of this host's zone that it owns.
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

    /// A known host by name.
    pub fn host(&self, name: &str) -> Option<&HostEntry> {
        self.hosts.values().flatten().find(|host| host.name == name)
    }
}
