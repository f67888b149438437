//! Orders and statuses of roll-outs, as known to one host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::RolloutOrder;
use super::status::RolloutStatus;
use super::versions::VersionRule;
use crate::ids::ServiceName;
use crate::route::feed::{FeedDigest, Record};

/// Orders and statuses by service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rollouts {
    orders: BTreeMap<ServiceName, RolloutOrder>,
    statuses: BTreeMap<ServiceName, RolloutStatus>,
    /// Planned moves that this host has begun by itself; not shared with other hosts.
    begun_moves: BTreeMap<ServiceName, RolloutStatus>,
    /// Whether a version gets requests only by an order, except the most common one.
    orders_required: bool,
}

/// A roll-out that is not decided yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ActiveRollout<'a> {
    /// The order; `None` if it has been withdrawn.
    pub order: Option<&'a RolloutOrder>,
    /// The last known status of this order; `None` if none is known.
    pub status: Option<&'a RolloutStatus>,
}

impl Rollouts {
    /// Creates a state without orders. If `orders_required`, a service's upstreams of another
    /// version than most get requests only by an order.
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
    /// that follows it and has begun.
    pub fn applied_status(&self, service: &str) -> Option<&RolloutStatus> {
        let known = self.statuses.get(service)?;
        let begun = self.begun_moves.get(service);
        Some(
            begun
                .filter(|begun| begun.is_newer_than(known))
                .unwrap_or(known),
        )
    }

    /// Returns the next planned instant at which requests move, by the store's clock.
    pub fn next_move_at(&self) -> Option<Duration> {
        let applied = self.statuses.keys();
        let applied = applied.filter_map(|service| self.applied_status(service));
        applied.filter_map(|status| status.moves_at).min()
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
            (!is_decided).then_some((service, ActiveRollout { order, status }))
        });
        active.collect()
    }

    /// Returns the rule for the upstreams of a service; see [`VersionRule::new`].
    pub fn rule(&self, service: &str, upstreams: &BTreeMap<&str, usize>) -> VersionRule {
        let (order, status) = (self.orders.get(service), self.applied_status(service));
        match VersionRule::new(order, status, upstreams) {
            VersionRule::Any if self.orders_required => VersionRule::most_common(upstreams),
            rule => rule,
        }
    }

    /// Returns the services whose upstreams are used depending on their version.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let without_order = self.statuses.keys();
        let without_order = without_order.filter(|service| !self.orders.contains_key(*service));
        self.orders.keys().chain(without_order)
    }

    /// Returns all orders and statuses as records.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let orders = self.orders.values().cloned().map(Record::RolloutOrder);
        let statuses = self.statuses.values().cloned().map(Record::Rollout);
        orders.chain(statuses)
    }

    /// Returns the digest of all orders and statuses.
    pub fn digest(&self) -> FeedDigest {
        let orders = self.orders.values();
        let orders = orders.fold(0, |digest, order| {
            let text = format!("{} {}", order.service, order.revision);
            digest ^ crate::rendezvous::hash(text.as_bytes())
        });
        let statuses = self.statuses.values();
        statuses.fold(orders, |digest, status| digest ^ status.fingerprint())
    }
}
