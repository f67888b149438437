//! Differences between two versions of the document.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::customer::Customer;
use super::document::{CallerLimits, Route, RouteDocument, ServiceTerms};
use crate::ids::{CustomerName, ServiceName};

/// Domain and prefix of a route, which are unique within a document.
type RouteKey = (String, String);

/// A document as a difference from an earlier one. Its size depends on the changes and not
/// on the number of routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Version to which the change applies; it applies to no other.
    base: u64,
    version: u64,
    limits: CallerLimits,
    /// Routes that are new or have changed.
    routes: Vec<Route>,
    dropped_routes: Vec<RouteKey>,
    /// Services that are new or have changed.
    services: BTreeMap<ServiceName, ServiceTerms>,
    dropped_services: BTreeSet<ServiceName>,
    /// Customers that are new or have changed.
    customers: Vec<Customer>,
    dropped_customers: BTreeSet<CustomerName>,
}

impl DocumentChange {
    /// Returns the changes from `base` to `newer`.
    pub fn between(base: &RouteDocument, newer: &RouteDocument) -> Self {
        let mut base_routes: HashMap<RouteKey, &Route> = routes_by_key(base).collect();
        let routes = routes_by_key(newer)
            .filter(|(route_key, route)| base_routes.remove(route_key) != Some(route));
        let routes = routes.map(|(_, route)| route.clone()).collect();
        let services = newer.services.iter();
        let changed = services.filter(|(name, terms)| base.services.get(*name) != Some(terms));
        let is_kept = |name: &&ServiceName| newer.services.contains_key(*name);
        let mut dropped: BTreeMap<&CustomerName, &Customer> = by_name(base);
        let customers = newer.customers.iter();
        let customers = customers.filter(|new| dropped.remove(&new.name) != Some(*new));
        let customers = customers.cloned().collect();
        DocumentChange {
            base: base.version,
            version: newer.version,
            limits: newer.limits,
            routes,
            dropped_routes: base_routes.into_keys().collect(),
            services: changed
                .map(|(n, terms)| (n.clone(), terms.clone()))
                .collect(),
            dropped_services: base
                .services
                .keys()
                .filter(|n| !is_kept(n))
                .cloned()
                .collect(),
            customers,
            dropped_customers: dropped.into_keys().cloned().collect(),
        }
    }

    /// Returns the newer document; `None` if `base` is not the version to which the change
    /// applies.
    pub fn apply(&self, base: &RouteDocument) -> Option<RouteDocument> {
        if base.version != self.base {
            return None;
        }
        let mut routes: BTreeMap<RouteKey, &Route> = routes_by_key(base).collect();
        for route_key in &self.dropped_routes {
            routes.remove(route_key);
        }
        routes.extend(self.routes.iter().map(|route| (route_key(route), route)));
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

fn routes_by_key(document: &RouteDocument) -> impl Iterator<Item = (RouteKey, &Route)> {
    document
        .routes
        .iter()
        .map(|route| (route_key(route), route))
}

fn route_key(route: &Route) -> RouteKey {
    (route.domain.clone(), route.prefix.clone())
}
