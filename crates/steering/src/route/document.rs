//! What an operator says of routes and services.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::customer::Customer;
use crate::ids::{RegionName, RuleName, ServiceName};

/// A whole set of routes, as one version of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Rises with each document; a lower one never replaces a higher one.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Every route; no two have the same domain and prefix.
    pub routes: Vec<Route>,
    /// Customers; where there are none, requests need no key.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// The services that routes name.
    pub services: BTreeMap<ServiceName, ServiceTerms>,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time in which a head arrives.
    pub head_timeout: Duration,
    /// Longest time for which a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until an operator's document says otherwise.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Where requests for a domain and a path prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RuleName,
    /// Domain that the request names in its `Host` header, in lower case.
    pub domain: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether upstreams that have lately seen a request's object do its work faster.
    pub by_object: bool,
    /// Whether its requests need no key, though there are customers.
    pub public: bool,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u32,
    /// Time within which an answer is worth all that it can be worth.
    pub goal: Duration,
    /// Longest time that a request may take here, where the operator bounds it.
    pub timeout: Option<Duration>,
    /// Most upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Services that share its requests; never empty.
    pub parts: Vec<Part>,
    /// Regions that alone may serve it; empty where all may.
    pub home_regions: Vec<RegionName>,
}

impl Route {
    /// Whether its requests may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        allow(&self.home_regions, region)
    }
}

/// Whether home regions allow a region; none allow all.
pub(super) fn allow(home_regions: &[RegionName], region: &str) -> bool {
    home_regions.is_empty() || home_regions.iter().any(|home| home == region)
}

/// A service's share in a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the route's other parts; not negative.
    pub weight: f64,
}

/// What an operator says of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Most connections to one upstream from all hosts together.
    pub connections: u32,
    /// Time for which an upstream counts as cold after its start.
    pub warm_up: Duration,
    /// Requests a second that a cold upstream bears, from all hosts together; none where
    /// the operator sets no bound.
    pub cold_per_s: Option<f64>,
}
