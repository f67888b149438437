//! Which service and region a request goes to.

use steering::ids::{RegionName, ServiceName};
use steering::route::{RegionPool, Route, Sender, ServicePool, object_hash, rank, unit_hash};

use super::Traffic;

/// Where a request goes.
pub(super) struct Destination {
    pub service: ServiceName,
    /// None where no region may serve it, or can.
    pub region: Option<RegionName>,
    /// Hash of its object, or any number.
    pub object: u64,
    pub by_object: bool,
}

impl Destination {
    /// The service by weight, the region by the object's place in the region's share. Counts
    /// the request.
    pub fn find(
        traffic: &Traffic,
        route: &Route,
        sender: &Sender,
        object: Option<&[u8]>,
    ) -> Destination {
        let service = traffic.shares().part(route).clone();
        let object = object.filter(|_| route.by_object);
        let by_object = object.is_some();
        let object = object.map_or_else(rand::random, |object| object_hash(&service, object));
        let bounds = traffic.common.bounds();
        let now = clock::now();
        traffic.shares().request(&service, &bounds, now);
        let may = |region: &str| may_run_in(route, sender, region);
        Destination {
            region: region(traffic, &service, object, &may),
            service,
            object,
            by_object,
        }
    }

    /// The object's hash; none where it has none.
    pub fn own_object(&self) -> Option<u64> {
        self.by_object.then_some(self.object)
    }

    /// The chosen region first, then the others that may serve.
    pub fn regions_to_ask<'p>(
        &self,
        pool: &'p ServicePool,
        route: &Route,
        sender: &Sender,
    ) -> Vec<(&'p RegionName, &'p RegionPool)> {
        let regions = pool.regions.iter();
        let allowed = regions.filter(|(region, _)| may_run_in(route, sender, region));
        let mut allowed: Vec<(&RegionName, &RegionPool)> = allowed.collect();
        allowed.sort_by_key(|(region, _)| Some(*region) != self.region.as_ref());
        allowed
    }
}

/// Whether the homes of a request's route and of its customer both allow a region.
fn may_run_in(route: &Route, sender: &Sender, region: &str) -> bool {
    route.may_run_in(region) && sender.may_run_in(region)
}

/// The region that serves a request; none where no region may or can.
fn region(
    traffic: &Traffic,
    service: &ServiceName,
    object: u64,
    may: &dyn Fn(&str) -> bool,
) -> Option<RegionName> {
    let view = traffic.common.view.load();
    let pool = view.services.get(service)?;
    let own = &traffic.common.settings.region;
    let has = |region: &RegionName| pool.regions.contains_key(region) && may(region);
    let place = unit_hash(object);
    let now = clock::now();
    if has(own) && traffic.shares().stays(service, pool, place, now) {
        return Some(own.clone());
    }
    let others = pool.regions.iter();
    let others = others.filter(|(region, _)| *region != own && may(region));
    let far = far_region(object, others);
    far.or_else(|| has(own).then(|| own.clone()))
}

/// The region besides the own that an object goes to, by the regions' slots.
fn far_region<'a>(
    object: u64,
    regions: impl Iterator<Item = (&'a RegionName, &'a RegionPool)>,
) -> Option<RegionName> {
    let regions: Vec<(&RegionName, &RegionPool)> = regions.collect();
    let members = regions.iter();
    let members = members.map(|(name, pool)| {
        let hash = steering::rendezvous::hash(name.as_bytes());
        (hash, f64::from(pool.slots()))
    });
    let first = rank(object, members).next();
    first.map(|first| regions[first].0.clone())
}
