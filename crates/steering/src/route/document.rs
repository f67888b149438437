//! The operator's document of routes, services and customers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::customer::Customer;
use crate::ids::{RegionName, RuleName, ServiceName};

/// One version of the whole configuration of routes, services and customers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Increases with each document; a lower version never replaces a higher one.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// All routes; no two have the same domain and prefix.
    pub routes: Vec<Route>,
    /// Customers; if empty, requests need no API key.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Settings of the services to which routes refer.
    pub services: BTreeMap<ServiceName, ServiceTerms>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time for the arrival of a request's head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until the first document is read.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Destination of the requests for a domain and a path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, unique in the document.
    pub name: RuleName,
    /// Domain in the request's `Host` header, in lower case.
    pub domain: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether upstreams that recently worked on a request's object do its work faster.
    pub by_object: bool,
    /// Whether requests need no API key even if there are customers.
    pub public: bool,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Response time up to which an answer has its full utility.
    pub goal: Duration,
    /// Maximum time that a request may take; `None` if the operator sets no limit.
    pub timeout: Option<Duration>,
    /// Maximum number of upstreams that one request may be sent to; at least 1.
    pub attempts: u32,
    /// Services among which requests are distributed; never empty.
    pub parts: Vec<WeightedService>,
    /// The only regions that may serve requests; empty if all may.
    pub home_regions: Vec<RegionName>,
}

impl Route {
    /// Returns whether requests of the route may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        allow(&self.home_regions, region)
    }
}

/// Returns whether the home regions include a region; an empty list includes all.
pub(super) fn allow(home_regions: &[RegionName], region: &str) -> bool {
    home_regions.is_empty() || home_regions.iter().any(|home| home == region)
}

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the route's other services; not negative.
    pub weight: f64,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Maximum number of connections to one upstream from all hosts together.
    pub connections: u32,
    /// Time after its start for which an upstream counts as cold.
    pub warm_up: Duration,
    /// Requests per second that a cold upstream may receive from all hosts together; `None`
    /// if the operator sets no limit.
    pub cold_per_s: Option<f64>,
}
