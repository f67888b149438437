//! A configuration made ready for deciding: what each request may use, and where.

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::Arc;

use crate::blocks::{BlockTable, ClassId, NO_CLASS};
use crate::document::{Document, Operation, Place, Rule, Service, Upstream};
use crate::ids::{ServiceName, ZoneName};
use crate::labels::{self, Labels};
use crate::limiter::{LimitKey, Units};

/// Most upstreams in one pool.
pub const POOL_SIZE: usize = 16;

/// Name of a pool: `service/zone/number`.
pub type PoolKey = String;

/// A service's upstreams in a zone, or a part of them, with one owner.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolPlan {
    /// Its name.
    pub key: PoolKey,
    /// Its upstreams, leaving ones included, retired ones not.
    pub upstreams: Vec<Arc<Upstream>>,
}

/// A service in a zone.
#[derive(Debug, Clone, PartialEq)]
pub struct ZonePlan {
    /// The zone.
    pub zone: ZoneName,
    /// Slots of upstreams that take new work.
    pub slots: u32,
    /// Its pools.
    pub pools: Vec<PoolPlan>,
}

/// A service with its places.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePlan {
    /// The service.
    pub service: Service,
    /// Zones that have upstreams of it, by name.
    pub zones: Vec<ZonePlan>,
}

impl ServicePlan {
    /// The service's part in a zone.
    pub fn zone(&self, name: &str) -> Option<&ZonePlan> {
        self.zones.iter().find(|zone| zone.zone == name)
    }
}

/// Callers that are alike for choosing: same zone, same labels.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerClass {
    /// Zone nearest to them; none where no block holds them.
    pub zone: Option<ZoneName>,
    /// Labels, with `zone` set.
    pub labels: Labels,
}

/// The rule for a request.
#[derive(Debug, Clone, Copy)]
pub struct RuleMatch<'a> {
    /// The rule.
    pub rule: &'a Rule,
}

impl<'a> RuleMatch<'a> {
    /// Number of the place that holds the zone.
    pub fn place(&self, zone: &Labels) -> Option<(usize, &'a Place)> {
        let places = self.rule.places.iter().enumerate();
        places
            .into_iter()
            .find(|(_, place)| place.zones.matches(zone))
    }
}

/// Client blocks made ready; `classes` holds every class that `blocks` names.
#[derive(Debug, Default)]
struct Callers {
    classes: Vec<CallerClass>,
    blocks: BlockTable,
}

/// A configuration made ready for deciding.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The configuration.
    pub document: Arc<Document>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServicePlan>,
    zone_labels: HashMap<ZoneName, Labels>,
    callers: Arc<Callers>,
    everybody: CallerClass,
}

impl Plan {
    /// Makes a configuration ready.
    pub fn new(document: Arc<Document>) -> Self {
        let callers = Arc::new(classify(&document));
        Plan::with(document, callers)
    }

    /// Makes the next configuration ready; client blocks that it shares with this
    /// one are taken over as they are.
    pub fn next(&self, document: Arc<Document>) -> Self {
        if Arc::ptr_eq(&document.blocks, &self.document.blocks) {
            return Plan::with(document, Arc::clone(&self.callers));
        }
        Plan::new(document)
    }

    fn with(document: Arc<Document>, callers: Arc<Callers>) -> Self {
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
            everybody: CallerClass::default(),
            document,
        }
    }

    /// The class of a caller's address.
    pub fn class_of(&self, address: IpAddr) -> ClassId {
        self.callers.blocks.find(address)
    }

    /// A class by its number.
    pub fn class(&self, id: ClassId) -> &CallerClass {
        if id == NO_CLASS {
            return &self.everybody;
        }
        self.callers
            .classes
            .get(id as usize)
            .unwrap_or(&self.everybody)
    }

    /// Labels of a zone, with `zone` and `region` set.
    pub fn zone_labels(&self, zone: &str) -> Option<&Labels> {
        self.zone_labels.get(zone)
    }

    /// The region of a zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.zone_labels(zone)?.get("region").map(String::as_str)
    }

    /// The first rule for a request.
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

    /// The limits that a request into `zone` comes under.
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
                let (number, place) = found.place(labels)?;
                Some((found.rule, number, place.clone()))
            });
        if let Some((rule, number, place)) = place {
            if place.cap_in_flight.is_some() {
                keys.push(LimitKey::RuleFlight(rule.name.clone(), number));
            }
            if place.cap_per_s.is_some() {
                keys.push(LimitKey::RuleRate(rule.name.clone(), number));
            }
        }
        keys
    }

    /// All limits of a zone, with its own units of each.
    pub fn zone_limits(&self, zone: &str) -> BTreeMap<LimitKey, Units> {
        let mut limits = BTreeMap::new();
        let Some(own) = self.document.zone(zone) else {
            return limits;
        };
        if let Some(units) = own.limit_in_flight {
            limits.insert(LimitKey::Zone, units);
        }
        let in_region = |labels: &Labels| labels.get("region") == Some(&own.region);
        let region = self
            .document
            .regions
            .iter()
            .find(|region| region.name == own.region);
        if let Some(units) = region.and_then(|region| region.limit_in_flight) {
            limits.insert(LimitKey::Region, self.part(units, zone, in_region));
        }
        for link in &self.document.links {
            let Some(units) = link.limit_in_flight else {
                continue;
            };
            let from = match &own.region {
                region if *region == link.to => &link.from,
                region if *region == link.from => &link.to,
                _ => continue,
            };
            limits.insert(
                LimitKey::Link(from.clone()),
                self.part(units, zone, in_region),
            );
        }
        self.rule_limits(zone, &mut limits);
        limits
    }

    fn rule_limits(&self, zone: &str, limits: &mut BTreeMap<LimitKey, Units>) {
        let Some(labels) = self.zone_labels(zone) else {
            return;
        };
        for rule in &self.document.rules {
            let Some((number, place)) = (RuleMatch { rule }).place(labels) else {
                continue;
            };
            let in_place = |labels: &Labels| place.zones.matches(labels);
            if let Some(cap) = place.cap_in_flight {
                let key = LimitKey::RuleFlight(rule.name.clone(), number);
                limits.insert(key, self.part(cap, zone, in_place));
            }
            if let Some(cap) = place.cap_per_s {
                let key = LimitKey::RuleRate(rule.name.clone(), number);
                limits.insert(key, self.part(cap, zone, in_place));
            }
        }
    }

    /// A zone's part of units that several zones share, by their slots.
    ///
    /// Parts are cut off a running sum, so that they sum to exactly `units`.
    fn part(&self, units: Units, zone: &str, shares: impl Fn(&Labels) -> bool) -> Units {
        let mut names: Vec<&ZoneName> = self
            .zone_labels
            .iter()
            .filter(|(_, labels)| shares(labels))
            .map(|(name, _)| name)
            .collect();
        names.sort();
        let weight = |name: &str| u64::from(self.zone_slots(name)).max(1);
        let sum: u64 = names.iter().map(|name| weight(name)).sum();
        let mut before = 0;
        for name in names {
            let after = before + weight(name);
            if name == zone {
                let cut = |sum_so_far: u64| u64::from(units) * sum_so_far / sum;
                return (cut(after) - cut(before)) as Units;
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

    /// Memory of the table of client blocks, in bytes.
    pub fn block_bytes(&self) -> usize {
        self.callers.blocks.bytes()
    }
}

fn classify(document: &Document) -> Callers {
    let mut numbers: HashMap<CallerClass, ClassId> = HashMap::new();
    let mut classes = Vec::new();
    let mut rows = Vec::with_capacity(document.blocks.len());
    for block in document.blocks.iter() {
        let mut labels = block.labels.clone();
        labels.insert("zone".to_owned(), block.zone.clone());
        let class = CallerClass {
            zone: Some(block.zone.clone()),
            labels,
        };
        let next = numbers.len() as ClassId;
        let id = *numbers.entry(class).or_insert_with_key(|class| {
            classes.push(class.clone());
            next
        });
        rows.push((block.prefix, id));
    }
    Callers {
        classes,
        blocks: BlockTable::build(rows),
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
    let open = document
        .zone(zone)
        .is_some_and(|zone| labels::takes_new_work(&zone.labels));
    let slots = upstreams
        .iter()
        .filter(|upstream| open && labels::takes_new_work(&upstream.labels))
        .map(|upstream| upstream.slots)
        .sum();
    let pools = upstreams
        .chunks(POOL_SIZE)
        .enumerate()
        .map(|(number, upstreams)| PoolPlan {
            key: format!("{}/{zone}/{number}", service.name),
            upstreams: upstreams.to_vec(),
        })
        .collect();
    ZonePlan {
        zone: zone.to_owned(),
        slots,
        pools,
    }
}
