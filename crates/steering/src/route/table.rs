//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::document::{Route, RouteDocument};
use crate::ids::RuleName;

/// Routes of a document by domain and prefix.
///
/// A look-up tries each prefix of the path, longest first. Its cost does not depend on the
/// number of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    domains: HashMap<String, HashMap<String, Arc<Route>>>,
}

impl RouteTable {
    /// Creates the table of a document's routes.
    pub fn new(document: &RouteDocument) -> Self {
        let mut domains: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in &document.routes {
            domains
                .entry(route.domain.clone())
                .or_default()
                .insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        RouteTable { domains }
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.domains.values().flat_map(HashMap::values)
    }

    /// Returns the names of all routes.
    pub fn names(&self) -> impl Iterator<Item = &RuleName> {
        self.routes().map(|route| &route.name)
    }

    /// Returns the longest time that a request may take; none if a route has no time of its own, or
    /// there are no routes.
    pub fn longest_timeout(&self) -> Option<Duration> {
        let mut longest = None;
        for route in self.routes() {
            longest = longest.max(Some(route.timeout?));
        }
        longest
    }

    /// Returns the route with the longest prefix of `path`; `host` may contain a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let domain = host.split(':').next().unwrap_or(host);
        let prefixes = match self.domains.get(domain) {
            Some(prefixes) => prefixes,
            None => self.domains.get(&domain.to_ascii_lowercase())?,
        };
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(at, slash)| &path[..at + slash.len()])
            .find_map(|prefix| prefixes.get(prefix))
    }
}
