//! Orders and statuses of roll-outs, as known to one host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::incumbent::{Incumbent, IncumbentReason};
use super::order::{RolloutOrder, SoftwareVersion};
use super::service_versions::ServiceVersions;
use super::status::{RolloutStage, RolloutStatus};
use super::stop::RolloutStop;
use super::versions::VersionRule;
use crate::ids::ServiceName;
use crate::route::catalog::Catalog;
use crate::route::feed::{FeedDigest, Record};

/// Orders and statuses by service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rollouts {
    orders: BTreeMap<ServiceName, RolloutOrder>,
    statuses: BTreeMap<ServiceName, RolloutStatus>,
    /// Planned moves that this host has begun by itself; not shared with other hosts.
    begun_moves: BTreeMap<ServiceName, RolloutStatus>,
    /// Stops that the store may not have yet, at most one of each service.
    stops: BTreeMap<ServiceName, RolloutStop>,
    /// Versions in use; empty unless `orders_required`.
    incumbents: BTreeMap<ServiceName, Incumbent>,
    /// Whether a version gets requests only by an order, except the one in use.
    orders_required: bool,
}

/// A roll-out that is not decided yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ActiveRollout<'a> {
    /// The order; `None` if it has been withdrawn.
    pub order: Option<&'a RolloutOrder>,
    /// The last known status of this order; `None` if none is known.
    pub status: Option<&'a RolloutStatus>,
    /// The decision to stop it, which may not have been written yet.
    pub stop: Option<&'a RolloutStop>,
}

impl Rollouts {
    /// Creates a state without orders. If `orders_required`, a service's upstreams of another
    /// version than the one in use get requests only by an order.
    pub fn new(orders_required: bool) -> Self {
        Rollouts {
            orders_required,
            ..Rollouts::default()
        }
    }

    /// Returns whether a version needs an order to get requests.
    pub fn orders_required(&self) -> bool {
        self.orders_required
    }

    /// Applies an order. Returns whether it is new.
    pub fn order(&mut self, order: &RolloutOrder) -> bool {
        let known = self.orders.get(&order.service);
        if known.is_some_and(|known| known.revision >= order.revision) {
            return false;
        }
        self.orders.insert(order.service.clone(), order.clone());
        true
    }

    /// Removes the order of a service. Returns whether there was one.
    pub fn withdraw(&mut self, service: &str) -> bool {
        self.orders.remove(service).is_some()
    }

    /// Applies a status. Returns whether it is newer than the known one.
    pub fn update(&mut self, status: &RolloutStatus) -> bool {
        let known = self.statuses.get(&status.service);
        if known.is_some_and(|known| !status.is_newer_than(known)) {
            return false;
        }
        self.statuses.insert(status.service.clone(), status.clone());
        let stop = self.stops.get(&status.service);
        if stop.is_some_and(|stop| !is_stop_needed(stop, Some(status))) {
            self.stops.remove(&status.service);
        }
        if let Some(incumbent) = Incumbent::of_completed(status) {
            self.set_incumbent(&incumbent);
        }
        true
    }

    /// Begins the moves whose planned instant has come. Returns whether there are any.
    pub fn begin_moves(&mut self, store_time: Duration) -> bool {
        let planned = self.statuses.iter().filter_map(|(service, status)| {
            let planned = status.planned_move(store_time)?;
            let has_begun = self
                .begun_moves
                .get(service)
                .is_some_and(|begun| !planned.is_newer_than(begun));
            (!has_begun).then(|| (service.clone(), planned))
        });
        let planned: Vec<_> = planned.collect();
        let begins = !planned.is_empty();
        self.begun_moves.extend(planned);
        begins
    }

    /// Returns the status by which this host sends requests: the last known one, or the move
    /// that follows it and has begun. `None` while a stop holds.
    pub fn applied_status(&self, service: &str) -> Option<&RolloutStatus> {
        let known = self.statuses.get(service)?;
        let begun = self.begun_moves.get(service);
        let begun = begun.filter(|begun| begun.is_newer_than(known));
        let stop = self.stops.get(service);
        let applied = begun.unwrap_or(known);
        (!stop.is_some_and(|stop| stop.holds(applied))).then_some(applied)
    }

    /// Returns the next planned instant at which requests move, by the store's clock.
    pub fn next_move_at(&self) -> Option<Duration> {
        let applied = self.statuses.keys();
        let applied = applied.filter_map(|service| self.applied_status(service));
        applied.filter_map(|status| status.moves_at).min()
    }

    /// Applies a stop. Returns whether it is new.
    pub fn stop(&mut self, stop: &RolloutStop) -> bool {
        let known = self.stops.get(&stop.service);
        let is_known = known.is_some_and(|known| known.order_revision >= stop.order_revision);
        if is_known || !is_stop_needed(stop, self.statuses.get(&stop.service)) {
            return false;
        }
        self.stops.insert(stop.service.clone(), stop.clone());
        true
    }

    /// Returns whether a stop of the service's roll-out holds that may not have been written.
    pub fn is_stopped(&self, service: &str) -> bool {
        self.statuses.contains_key(service) && self.applied_status(service).is_none()
    }

    /// Applies a record of a version in use. Returns whether it is newer than the known one.
    /// Where versions need no orders, it changes nothing.
    pub fn set_incumbent(&mut self, incumbent: &Incumbent) -> bool {
        let known = self.incumbents.get(&incumbent.service);
        let is_known = known.is_some_and(|known| !incumbent.is_newer_than(known));
        if is_known || !self.orders_required {
            return false;
        }
        let service = incumbent.service.clone();
        self.incumbents.insert(service, incumbent.clone());
        true
    }

    /// Assumes which version is in use where no record says so, from a complete list. The
    /// assumption stays until a record replaces it or none of its upstreams is left.
    pub fn assume_incumbents(&mut self, catalog: &Catalog) {
        if !self.orders_required || !catalog.is_read() {
            return;
        }
        for (service, versions) in ServiceVersions::by_service(catalog) {
            let known = self.incumbents.get(service);
            let is_kept = known.is_some_and(|known| {
                let is_assumed = known.order_revision == 0 && !known.is_recorded();
                !is_assumed || versions.0.contains_key(&known.version)
            });
            let first = self.first_version(service, &versions);
            let Some(version) = first.filter(|_| !is_kept) else {
                continue;
            };
            let assumed = Incumbent {
                service: service.to_owned(),
                version: version.clone(),
                order_revision: 0,
                record: 0,
                reason: IncumbentReason::First,
                zones: versions.zones(version),
            };
            self.incumbents.insert(service.to_owned(), assumed);
        }
    }

    /// Returns the version in use where no record says so: that of the oldest upstream, but
    /// not one that an order names or that was rolled back, unless there is no other.
    pub fn first_version<'a>(
        &self,
        service: &str,
        versions: &'a ServiceVersions,
    ) -> Option<&'a SoftwareVersion> {
        let ordered = self.orders.get(service).map(|order| &order.to_version);
        let excluded = ordered.map(String::as_str);
        let excluded = excluded.or_else(|| self.rolled_back_version(service));
        let oldest = versions.oldest(excluded);
        oldest.or_else(|| versions.oldest(None))
    }

    /// Returns the version in use; `None` if this host can't tell.
    pub fn incumbent(&self, service: &str) -> Option<&Incumbent> {
        self.incumbents.get(service)
    }

    /// Returns the version that the service's last roll-out was to move to, if it was rolled
    /// back.
    pub fn rolled_back_version(&self, service: &str) -> Option<&str> {
        let status = self.statuses.get(service);
        let status = status.filter(|status| status.stage == RolloutStage::RolledBack);
        status.map(|status| status.to_version.as_str())
    }

    /// Returns whether a roll-out of a service is not decided yet.
    pub fn is_undecided(&self, service: &str) -> bool {
        let order = self.orders.get(service);
        let status = self.statuses.get(service);
        match (order, status) {
            (Some(order), Some(status)) if order.revision <= status.order_revision => {
                !status.stage.is_final()
            }
            (Some(order), _) => {
                let incumbent = self.incumbents.get(service);
                incumbent.is_none_or(|incumbent| incumbent.version != order.to_version)
            }
            (None, status) => status.is_some_and(|status| !status.stage.is_final()),
        }
    }

    /// Returns the services with an order.
    pub fn ordered(&self) -> impl Iterator<Item = &ServiceName> {
        self.orders.keys()
    }

    /// Returns whether there is neither an order nor a status.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.statuses.is_empty()
    }

    /// Returns the status of a service's last roll-out.
    pub fn status(&self, service: &str) -> Option<&RolloutStatus> {
        self.statuses.get(service)
    }

    /// Returns the roll-outs that are not decided yet, by service.
    pub fn active(&self) -> BTreeMap<&ServiceName, ActiveRollout<'_>> {
        let services = self.orders.keys().chain(self.statuses.keys());
        let active = services.filter_map(|service| {
            let order = self.orders.get(service);
            let is_of_order = |status: &&RolloutStatus| {
                order.is_none_or(|order| order.revision == status.order_revision)
            };
            let status = self.statuses.get(service).filter(is_of_order);
            let is_decided = status.is_some_and(|status| status.stage.is_final());
            let stop = self.stops.get(service);
            let stop = stop.filter(|stop| status.is_some_and(|status| stop.holds(status)));
            let active = ActiveRollout {
                order,
                status,
                stop,
            };
            (!is_decided).then_some((service, active))
        });
        active.collect()
    }

    /// Returns the rule for the upstreams of a service; see [`VersionRule::new`] and
    /// [`VersionRule::of_incumbent`].
    pub fn rule(&self, service: &str, upstreams: &BTreeMap<&str, usize>) -> VersionRule {
        let (order, status) = (self.orders.get(service), self.applied_status(service));
        if !self.orders_required {
            return VersionRule::new(order, status, upstreams);
        }
        match self.incumbents.get(service) {
            Some(incumbent) => VersionRule::of_incumbent(incumbent, order, status),
            None => VersionRule::Nothing,
        }
    }

    /// Returns the services whose upstreams are used depending on their version.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let without_order = self.statuses.keys();
        let without_order = without_order.filter(|service| !self.orders.contains_key(*service));
        self.orders.keys().chain(without_order)
    }

    /// Returns all orders, statuses, stops and recorded versions in use as records.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let orders = self.orders.values().cloned().map(Record::RolloutOrder);
        let statuses = self.statuses.values().cloned().map(Record::Rollout);
        let incumbents = self.recorded_incumbents().cloned();
        let incumbents = incumbents.map(Record::Incumbent);
        let stops = self.stops.values().cloned().map(Record::RolloutStop);
        orders.chain(statuses).chain(stops).chain(incumbents)
    }

    fn recorded_incumbents(&self) -> impl Iterator<Item = &Incumbent> {
        let incumbents = self.incumbents.values();
        incumbents.filter(|incumbent| incumbent.is_recorded())
    }

    /// Returns the digest of all orders, statuses, stops and recorded versions in use.
    pub fn digest(&self) -> FeedDigest {
        let orders = self.orders.values();
        let orders = orders.fold(0, |digest, order| {
            let text = format!("{} {}", order.service, order.revision);
            digest ^ crate::rendezvous::hash(text.as_bytes())
        });
        let statuses = self.statuses.values();
        let statuses = statuses.fold(orders, |digest, status| digest ^ status.fingerprint());
        let stops = self.stops.values();
        let stops = stops.fold(statuses, |digest, stop| digest ^ stop.fingerprint());
        let incumbents = self.recorded_incumbents();
        incumbents.fold(stops, |digest, incumbent| digest ^ incumbent.fingerprint())
    }
}

/// Returns whether a stop may still have to be written. It may come before the status that
/// it stops.
fn is_stop_needed(stop: &RolloutStop, status: Option<&RolloutStatus>) -> bool {
    status.is_none_or(|status| stop.order_revision > status.order_revision || stop.holds(status))
}
