//! What one document changes in another.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::customer::Customer;
use super::document::{CallerLimits, Route, RouteDocument, ServiceTerms};
use crate::ids::{CustomerName, ServiceName};

/// Domain and prefix of a route; no two routes of a document have the same.
type RoutePlace = (String, String);

/// A document in terms of an earlier one. It is as large as what has changed, however
/// many routes there are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Version that it changes; it is of use to no other.
    base: u64,
    version: u64,
    limits: CallerLimits,
    /// Routes that are new, or that have changed.
    routes: Vec<Route>,
    dropped_routes: Vec<RoutePlace>,
    /// Services that are new, or that have changed.
    services: BTreeMap<ServiceName, ServiceTerms>,
    dropped_services: BTreeSet<ServiceName>,
    /// Customers that are new, or that have changed.
    customers: Vec<Customer>,
    dropped_customers: BTreeSet<CustomerName>,
}

impl DocumentChange {
    /// What `newer` changes in `base`.
    pub fn between(base: &RouteDocument, newer: &RouteDocument) -> Self {
        let mut before: HashMap<RoutePlace, &Route> = places(base).collect();
        let routes = places(newer).filter(|(place, route)| before.remove(place) != Some(route));
        let routes = routes.map(|(_, route)| route.clone()).collect();
        let services = newer.services.iter();
        let changed = services.filter(|(name, terms)| base.services.get(*name) != Some(terms));
        let kept = |name: &&ServiceName| newer.services.contains_key(*name);
        let mut dropped: BTreeMap<&CustomerName, &Customer> = by_name(base);
        let customers = newer.customers.iter();
        let customers = customers.filter(|new| dropped.remove(&new.name) != Some(*new));
        let customers = customers.cloned().collect();
        DocumentChange {
            base: base.version,
            version: newer.version,
            limits: newer.limits,
            routes,
            dropped_routes: before.into_keys().collect(),
            services: changed
                .map(|(n, terms)| (n.clone(), terms.clone()))
                .collect(),
            dropped_services: base.services.keys().filter(|n| !kept(n)).cloned().collect(),
            customers,
            dropped_customers: dropped.into_keys().cloned().collect(),
        }
    }

    /// The newer document; none where `base` is not the one that it changes.
    pub fn apply(&self, base: &RouteDocument) -> Option<RouteDocument> {
        if base.version != self.base {
            return None;
        }
        let mut routes: BTreeMap<RoutePlace, &Route> = places(base).collect();
        for place in &self.dropped_routes {
            routes.remove(place);
        }
        routes.extend(self.routes.iter().map(|route| (place(route), route)));
        let mut services = base.services.clone();
        services.retain(|name, _| !self.dropped_services.contains(name));
        services.extend(self.services.clone());
        let mut customers = by_name(base);
        customers.retain(|name, _| !self.dropped_customers.contains(*name));
        customers.extend(self.customers.iter().map(|new| (&new.name, new)));
        Some(RouteDocument {
            version: self.version,
            limits: self.limits,
            routes: routes.into_values().cloned().collect(),
            customers: customers.into_values().cloned().collect(),
            services,
        })
    }
}

fn by_name(document: &RouteDocument) -> BTreeMap<&CustomerName, &Customer> {
    let customers = document.customers.iter();
    customers
        .map(|customer| (&customer.name, customer))
        .collect()
}

fn places(document: &RouteDocument) -> impl Iterator<Item = (RoutePlace, &Route)> {
    document.routes.iter().map(|route| (place(route), route))
}

fn place(route: &Route) -> RoutePlace {
    (route.domain.clone(), route.prefix.clone())
}
