//! Index built from a configuration: pools, caller classes, rules and limits by zone.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use crate::blocks::{BlockTable, ClassId, NO_CLASS};
use crate::document::{Document, Operation, Place, Rule, Service, Upstream};
use crate::ids::{ServiceName, ZoneName};
use crate::labels::{self, Labels};
use crate::limiter::{LimitKey, Units};

/// Maximum number of upstreams in one pool.
pub const POOL_SIZE: usize = 16;

/// Name of a pool: `service/zone/index`.
pub type PoolKey = String;

/// A pool: up to [`POOL_SIZE`] upstreams of a service in one zone.
///
/// One host owns each pool, see [`View::owners`](crate::view::View::owners).
#[derive(Debug, Clone, PartialEq)]
pub struct PoolPlan {
    /// Name of the pool, the same on every host.
    pub key: PoolKey,
    /// Upstreams of the pool: draining ones are included, retired ones are not.
    pub upstreams: Vec<Arc<Upstream>>,
}

/// The upstreams of a service in one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Sum of the slots of upstreams that accept new requests; 0 if the zone is draining.
    pub slots: u32,
    /// Pools in the order of their index; together they hold all upstreams.
    pub pools: Vec<PoolPlan>,
}

/// A service and the zones that have upstreams of it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    /// The service as configured.
    pub service: Service,
    /// Zones with at least one upstream that is not retired, sorted by name.
    pub zones: Vec<ZonePlan>,
}

impl ServicePlan {
    /// Returns the service's upstreams in a zone; `None` if the zone has none.
    pub fn zone(&self, name: &str) -> Option<&ZonePlan> {
        self.zones.iter().find(|zone| zone.zone == name)
    }
}

/// CallerIndex that every rule treats alike: they have the same zone and the same labels.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerClass {
    /// Zone nearest to the callers; `None` if no client block contains their address.
    pub zone: Option<ZoneName>,
    /// Labels of the client block, with `zone` added.
    pub labels: Labels,
}

/// The rule that applies to a request.
#[derive(Debug, Clone, Copy)]
pub struct RuleMatch<'a> {
    /// The first rule whose traffic selectors match.
    pub rule: &'a Rule,
}

impl<'a> RuleMatch<'a> {
    /// Returns the place that selects a zone with these labels, and its index in the rule.
    pub fn place(&self, zone: &Labels) -> Option<(usize, &'a Place)> {
        let places = self.rule.places.iter().enumerate();
        places
            .into_iter()
            .find(|(_, place)| place.zones.matches(zone))
    }
}

/// Index of the client blocks. Every class id in `blocks` except [`NO_CLASS`] is an
/// index into `classes`.
#[derive(Debug, Default)]
struct CallerIndex {
    classes: Vec<CallerClass>,
    blocks: BlockTable,
}

/// An immutable index built from one revision of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The configuration that the index was built from.
    pub document: Arc<Document>,
    /// All services by name, with their upstreams.
    pub services: HashMap<ServiceName, ServicePlan>,
    zone_labels: HashMap<ZoneName, Labels>,
    callers: Arc<CallerIndex>,
    default_class: CallerClass,
}

impl Plan {
    /// Builds the index for a configuration that has passed [`Document::check`].
    pub fn new(document: Arc<Document>) -> Self {
        let callers = Arc::new(index_callers(&document));
        Plan::from_parts(document, callers)
    }

    /// Builds the index for the next configuration.
    ///
    /// Reuses the table of client blocks if both configurations share the same list,
    /// since the table can hold over a million blocks.
    pub fn next(&self, document: Arc<Document>) -> Self {
        if Arc::ptr_eq(&document.blocks, &self.document.blocks) {
            return Plan::from_parts(document, Arc::clone(&self.callers));
        }
        Plan::new(document)
    }

    fn from_parts(document: Arc<Document>, callers: Arc<CallerIndex>) -> Self {
        let services = document
            .services
            .iter()
            .map(|service| (service.name.clone(), plan_service(&document, service)))
            .collect();
        let zone_labels = document
            .zones
            .iter()
            .map(|zone| (zone.name.clone(), zone.selectable_labels()))
            .collect();
        Plan {
            services,
            zone_labels,
            callers,
            default_class: CallerClass::default(),
            document,
        }
    }

    /// Returns the caller class of an address; [`NO_CLASS`] if no client block contains it.
    pub fn class_of(&self, address: IpAddr) -> ClassId {
        self.callers.blocks.find(address)
    }

    /// Returns a class by its id.
    ///
    /// Unknown ids and [`NO_CLASS`] give the default class: no zone and no labels.
    pub fn class(&self, id: ClassId) -> &CallerClass {
        if id == NO_CLASS {
            return &self.default_class;
        }
        self.callers
            .classes
            .get(id as usize)
            .unwrap_or(&self.default_class)
    }

    /// Returns the labels of a zone, with `zone` and `region` added.
    pub fn zone_labels(&self, zone: &str) -> Option<&Labels> {
        self.zone_labels.get(zone)
    }

    /// Returns the region of a zone; `None` if no zone has this name.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.zone_labels(zone)?.get("region").map(String::as_str)
    }

    /// Returns the first rule whose traffic selectors match the request.
    pub fn rule(
        &self,
        service: &Service,
        operation: Option<&Operation>,
        caller: &CallerClass,
    ) -> Option<RuleMatch<'_>> {
        if self.document.rules.is_empty() {
            return None;
        }
        let service = service.selectable_labels();
        let operation = operation
            .map(Operation::selectable_labels)
            .unwrap_or_default();
        let matches = |rule: &&Rule| {
            rule.traffic.service.matches(&service)
                && rule.traffic.operation.matches(&operation)
                && rule.traffic.caller.matches(&caller.labels)
        };
        let rule = self.document.rules.iter().find(matches)?;
        Some(RuleMatch { rule })
    }

    /// Returns the limits that apply to a request forwarded to `zone`.
    ///
    /// `from_region` is the region that the request arrived in; the limit of a link
    /// applies if `zone` lies in another region.
    pub fn limits_of(
        &self,
        rule: Option<RuleMatch<'_>>,
        from_region: Option<&str>,
        zone: &str,
    ) -> Vec<LimitKey> {
        let mut keys = vec![LimitKey::Zone, LimitKey::Region];
        if let Some(from) = from_region
            && Some(from) != self.region(zone)
        {
            keys.push(LimitKey::Link(from.to_owned()));
        }
        let place = rule
            .zip(self.zone_labels(zone))
            .and_then(|(found, labels)| {
                let (index, place) = found.place(labels)?;
                Some((found.rule, index, place.clone()))
            });
        if let Some((rule, index, place)) = place {
            if place.cap_in_flight.is_some() {
                keys.push(LimitKey::RuleFlight(rule.name.clone(), index));
            }
            if place.cap_per_s.is_some() {
                keys.push(LimitKey::RuleRate(rule.name.clone(), index));
            }
        }
        keys
    }

    /// Returns all limits of a zone with the zone's share of each, in units.
    pub fn zone_limits(&self, zone: &str) -> BTreeMap<LimitKey, Units> {
        let mut limits = BTreeMap::new();
        let Some(zone_object) = self.document.zone(zone) else {
            return limits;
        };
        if let Some(units) = zone_object.limit_in_flight {
            limits.insert(LimitKey::Zone, units);
        }
        let in_region = |labels: &Labels| labels.get("region") == Some(&zone_object.region);
        let region = self
            .document
            .regions
            .iter()
            .find(|region| region.name == zone_object.region);
        if let Some(units) = region.and_then(|region| region.limit_in_flight) {
            limits.insert(LimitKey::Region, self.zone_share(units, zone, in_region));
        }
        for link in &self.document.links {
            let Some(units) = link.limit_in_flight else {
                continue;
            };
            let from = match &zone_object.region {
                region if *region == link.to => &link.from,
                region if *region == link.from => &link.to,
                _ => continue,
            };
            limits.insert(
                LimitKey::Link(from.clone()),
                self.zone_share(units, zone, in_region),
            );
        }
        self.add_rule_limits(zone, &mut limits);
        limits
    }

    fn add_rule_limits(&self, zone: &str, limits: &mut BTreeMap<LimitKey, Units>) {
        let Some(labels) = self.zone_labels(zone) else {
            return;
        };
        for rule in &self.document.rules {
            let Some((index, place)) = (RuleMatch { rule }).place(labels) else {
                continue;
            };
            let in_place = |labels: &Labels| place.zones.matches(labels);
            if let Some(cap) = place.cap_in_flight {
                let key = LimitKey::RuleFlight(rule.name.clone(), index);
                limits.insert(key, self.zone_share(cap, zone, in_place));
            }
            if let Some(cap) = place.cap_per_s {
                let key = LimitKey::RuleRate(rule.name.clone(), index);
                limits.insert(key, self.zone_share(cap, zone, in_place));
            }
        }
    }

    /// Returns a zone's share of a limit that several zones divide among themselves,
    /// proportional to their slots; a zone without slots counts as one slot.
    ///
    /// Shares are differences of a running sum that is rounded down, so that they add up
    /// to exactly `units`.
    fn zone_share(&self, units: Units, zone: &str, in_scope: impl Fn(&Labels) -> bool) -> Units {
        let mut names: Vec<&ZoneName> = self
            .zone_labels
            .iter()
            .filter(|(_, labels)| in_scope(labels))
            .map(|(name, _)| name)
            .collect();
        names.sort();
        let weight = |name: &str| u64::from(self.zone_slots(name)).max(1);
        let sum: u64 = names.iter().map(|name| weight(name)).sum();
        let mut before = 0;
        for name in names {
            let after = before + weight(name);
            if name == zone {
                let rounded = |sum_so_far: u64| u64::from(units) * sum_so_far / sum;
                return (rounded(after) - rounded(before)) as Units;
            }
            before = after;
        }
        0
    }

    fn zone_slots(&self, zone: &str) -> u32 {
        let upstreams = self.document.upstreams.iter();
        let slots = upstreams
            .filter(|upstream| upstream.zone == zone)
            .map(|upstream| upstream.slots);
        slots.sum()
    }

    /// Returns the memory used by the table of client blocks, in bytes.
    pub fn block_bytes(&self) -> usize {
        self.callers.blocks.bytes()
    }
}

fn index_callers(document: &Document) -> CallerIndex {
    let mut class_ids: HashMap<CallerClass, ClassId> = HashMap::new();
    let mut classes = Vec::new();
    let mut prefixes = Vec::with_capacity(document.blocks.len());
    for block in document.blocks.iter() {
        let mut labels = block.labels.clone();
        labels.insert("zone".to_owned(), block.zone.clone());
        let class = CallerClass {
            zone: Some(block.zone.clone()),
            labels,
        };
        let next = class_ids.len() as ClassId;
        let id = *class_ids.entry(class).or_insert_with_key(|class| {
            classes.push(class.clone());
            next
        });
        prefixes.push((block.prefix, id));
    }
    CallerIndex {
        classes,
        blocks: BlockTable::build(prefixes),
    }
}

fn plan_service(document: &Document, service: &Service) -> ServicePlan {
    let mut by_zone: BTreeMap<&str, Vec<Arc<Upstream>>> = BTreeMap::new();
    for upstream in &document.upstreams {
        let retired =
            upstream.labels.get(labels::STATE).map(String::as_str) == Some(labels::STATE_RETIRED);
        if upstream.service == service.name && !retired {
            by_zone
                .entry(&upstream.zone)
                .or_default()
                .push(Arc::new(upstream.clone()));
        }
    }
    let zones = by_zone
        .into_iter()
        .map(|(zone, upstreams)| plan_zone(document, service, zone, upstreams))
        .collect();
    ServicePlan {
        service: service.clone(),
        zones,
    }
}

fn plan_zone(
    document: &Document,
    service: &Service,
    zone: &str,
    mut upstreams: Vec<Arc<Upstream>>,
) -> ZonePlan {
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let zone_accepts_requests = document
        .zone(zone)
        .is_some_and(|zone| labels::takes_new_work(&zone.labels));
    let slots = upstreams
        .iter()
        .filter(|upstream| zone_accepts_requests && labels::takes_new_work(&upstream.labels))
        .map(|upstream| upstream.slots)
        .sum();
    let pools = upstreams
        .chunks(POOL_SIZE)
        .enumerate()
        .map(|(index, upstreams)| PoolPlan {
            key: format!("{}/{zone}/{index}", service.name),
            upstreams: upstreams.to_vec(),
        })
        .collect();
    ZonePlan {
        zone: zone.to_owned(),
        slots,
        pools,
    }
}
