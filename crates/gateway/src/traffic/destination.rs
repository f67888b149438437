//! Selects the service and region for a request.

use std::time::Instant;

use steering::ids::{RegionName, ServiceName};
use steering::route::{
    HomeIndex, RegionPool, Route, Sender, ServicePool, WorkLength, object_hash, unit_hash,
};

use super::Traffic;
use crate::settings::Bounds;

/// Service and region for a request.
pub(super) struct Destination {
    pub service: ServiceName,
    /// None if no region may or can serve the request.
    pub region: Option<RegionName>,
    /// Hash of the request's object, or a random number if it has none.
    pub object: u64,
    pub by_object: bool,
    /// Whether the request may be sent to a version of the service that is on trial.
    pub is_on_trial: bool,
}

impl Destination {
    /// Selects the service by weight, and the region by the object's position within the region's
    /// share. Counts the request.
    pub fn find(
        traffic: &Traffic,
        route: &Route,
        sender: &Sender,
        object: Option<&[u8]>,
    ) -> Destination {
        let service = traffic.stats().pick_service(route).clone();
        let object = object.filter(|_| route.by_object);
        let by_object = object.is_some();
        let object = object.map_or_else(rand::random, |object| object_hash(&service, object));
        let bounds = traffic.common.bounds();
        let now = clock::now();
        let length = {
            let mut stats = traffic.stats();
            stats.count_request(&service, &bounds, now);
            stats.count_work(&service, route)
        };
        let is_allowed = |region: &str| may_run_in(route, sender, region);
        Destination {
            is_on_trial: is_on_trial(traffic, &service, object, &bounds, now),
            region: select_region(traffic, &service, length, object, &is_allowed),
            service,
            object,
            by_object,
        }
    }

    /// Hash of the object; none if the request has none.
    pub fn own_object(&self) -> Option<u64> {
        self.by_object.then_some(self.object)
    }

    /// Regions to try: the selected one first, then the others that may serve the request.
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

/// Whether a request may be sent to a version of its service that is on trial. A host whose
/// state of the roll-out is old sends nothing there.
fn is_on_trial(
    traffic: &Traffic,
    service: &ServiceName,
    object: u64,
    bounds: &Bounds,
    now: Instant,
) -> bool {
    let view = traffic.common.view.load();
    let pool = view.services.get(service);
    let Some(rollout) = pool.and_then(|pool| pool.rollout.as_ref()) else {
        return false;
    };
    let position = unit_hash(object ^ rollout.order_revision);
    let counters = &traffic.common.rollouts;
    let is_selected = counters.request_received(service, rollout, bounds.exposure, position);
    is_selected && knows_rollout(traffic, bounds, now)
}

/// Whether this host's state of roll-outs is recent enough to send to a new version.
pub(super) fn knows_rollout(traffic: &Traffic, bounds: &Bounds, now: Instant) -> bool {
    let age = traffic.common.document_age.age(now);
    age.is_some_and(|age| age <= bounds.rollback_time / 2)
}

/// Whether the route and the customer both allow a region.
pub(super) fn may_run_in(route: &Route, sender: &Sender, region: &str) -> bool {
    route.may_run_in(region) && sender.may_run_in(region)
}

/// Selects the region for a request; none if no region may or can serve it.
fn select_region(
    traffic: &Traffic,
    service: &ServiceName,
    length: Option<WorkLength>,
    object: u64,
    is_allowed: &dyn Fn(&str) -> bool,
) -> Option<RegionName> {
    let view = traffic.common.view.load();
    let pool = view.services.get(service)?;
    let own = &traffic.common.settings.region;
    let can_serve = |region: &RegionName| pool.regions.contains_key(region) && is_allowed(region);
    let position = unit_hash(object);
    let now = clock::now();
    if can_serve(own)
        && traffic
            .stats()
            .stays_in_region(service, pool, length, position, now)
    {
        return Some(own.clone());
    }
    let others = pool.regions.iter();
    let others = others.filter(|(region, _)| *region != own && is_allowed(region));
    let other = other_region(object, others);
    other.or_else(|| can_serve(own).then(|| own.clone()))
}

/// Selects a region other than this host's for an object, weighted by the regions' slots.
fn other_region<'a>(
    object: u64,
    regions: impl Iterator<Item = (&'a RegionName, &'a RegionPool)>,
) -> Option<RegionName> {
    let regions: Vec<(&RegionName, &RegionPool)> = regions.collect();
    let members = regions.iter();
    let members = members.map(|(name, pool)| {
        let hash = steering::rendezvous::hash(name.as_bytes());
        (hash, f64::from(pool.slots()))
    });
    let first = HomeIndex::new(members).rank(object).next();
    first.map(|first| regions[first].0.clone())
}
