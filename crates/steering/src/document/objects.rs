//! The objects that a configuration is made of.

use std::net::SocketAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::Identity;
use crate::ids::{RegionName, RuleName, ServiceName, UpstreamName, ZoneName};
use crate::labels::{Labels, Selector};

/// A region: zones that are near each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique among regions.
    pub name: RegionName,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Most requests in flight in the region, at least 1; none is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

/// An availability zone: a place that hosts and upstreams stand in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name, unique among zones.
    pub name: ZoneName,
    /// Region that it lies in.
    pub region: RegionName,
    /// Labels; `state=draining` takes the whole zone out of choice.
    #[serde(default)]
    pub labels: Labels,
    /// One way to the other zones of its region, in milliseconds.
    #[serde(default = "default_zone_one_way_ms")]
    pub one_way_ms: f64,
    /// Most requests in flight in the zone, at least 1; none is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

fn default_zone_one_way_ms() -> f64 {
    1.0
}

/// A link between two regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end.
    pub from: RegionName,
    /// The other end.
    pub to: RegionName,
    /// One way, in milliseconds.
    pub one_way_ms: f64,
    /// Most requests in flight over the link into either end, at least 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

impl Link {
    /// Whether the link joins the two regions, in either order.
    pub fn joins(&self, a: &str, b: &str) -> bool {
        (self.from == a && self.to == b) || (self.from == b && self.to == a)
    }
}

/// How a service's tickets keep work from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum TicketMode {
    /// Only the issuing host may run it; no write before dispatch.
    #[default]
    Home,
    /// A claim is written to the platform's table before dispatch.
    Store,
}

/// A service that callers ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services; letters, digits and `-`.
    pub name: ServiceName,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// How tickets are kept.
    #[serde(default)]
    pub ticket_mode: TicketMode,
    /// Priority 0 to 9; higher is refused later.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Longest wait for the first byte of an answer where no operation says otherwise.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Most requests that wait for a slot in one pool.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Expected time of one request on a warm upstream, in milliseconds.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: f64,
    /// Operations; the first that matches decides.
    #[serde(default)]
    pub operations: Vec<Operation>,
}

fn default_priority() -> u8 {
    5
}

fn default_body_limit_bytes() -> u64 {
    1 << 20
}

fn default_deadline_ms() -> u64 {
    2_000
}

fn default_queue_limit() -> u32 {
    64
}

fn default_expected_ms() -> f64 {
    20.0
}

/// A kind of request of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name, unique in its service.
    pub name: String,
    /// HTTP methods; empty matches all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path prefix, below the service; empty matches all.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Longest wait for the first byte of the answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// What names its work; none: a ticket or a caller's own key does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub identity: Option<Identity>,
    /// Labels that rules can select on.
    #[serde(default)]
    pub labels: Labels,
}

impl Operation {
    /// Whether a request with this method and path is of this kind.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_fits && path.starts_with(&self.path_prefix)
    }
}

/// One target of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: UpstreamName,
    /// Service that it answers for.
    pub service: ServiceName,
    /// Zone that it stands in.
    pub zone: ZoneName,
    /// IP number and port of its HTTP endpoint.
    pub address: SocketAddr,
    /// Requests that it runs at the same time, at least 1.
    pub slots: u32,
    /// Connections that it accepts, at least `slots`.
    #[serde(default = "default_connection_limit")]
    pub connection_limit: u32,
    /// Labels; `state` is `active`, `draining` or `retired`.
    #[serde(default)]
    pub labels: Labels,
}

fn default_connection_limit() -> u32 {
    330
}

/// Which traffic a rule is for; all selectors must match.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Over the labels of the service, with `service` set to its name.
    pub service: Selector,
    /// Over the labels of the operation, with `operation` set to its name.
    pub operation: Selector,
    /// Over the labels of the caller's block, with `zone` set to its zone.
    pub caller: Selector,
}

/// A destination of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Over the labels of zones, with `zone` and `region` set.
    pub zones: Selector,
    /// Share of the rule's traffic, in percent; a rule's shares sum to 100.
    pub share_percent: f64,
    /// Most requests of this rule in flight in these zones; none is no cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_in_flight: Option<u32>,
    /// Most requests of this rule in any second in these zones; none is no cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_per_s: Option<u32>,
}

/// Which traffic may go where, in what shares and under which caps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique among rules.
    pub name: RuleName,
    /// Traffic that it is for.
    #[serde(default)]
    pub traffic: Traffic,
    /// Destinations, at least one.
    pub places: Vec<Place>,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
}

/// A block of client addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Address prefix, unique among blocks.
    pub prefix: IpNet,
    /// Zone nearest to its callers.
    pub zone: ZoneName,
    /// Labels that rules can select on.
    #[serde(default)]
    pub labels: Labels,
}

fn with(labels: &Labels, extra: &[(&str, &str)]) -> Labels {
    let mut all = labels.clone();
    for (key, value) in extra {
        all.insert((*key).to_owned(), (*value).to_owned());
    }
    all
}

impl Zone {
    /// Labels with `zone` and `region` set, as places select on them.
    pub fn selectable_labels(&self) -> Labels {
        with(
            &self.labels,
            &[("zone", &self.name), ("region", &self.region)],
        )
    }
}

impl Service {
    /// Labels with `service` set, as traffic selects on them.
    pub fn selectable_labels(&self) -> Labels {
        with(&self.labels, &[("service", &self.name)])
    }

    /// The operation that a request is, by method and path below the service.
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .find(|operation| operation.matches(method, path))
    }
}

impl Operation {
    /// Labels with `operation` set, as traffic selects on them.
    pub fn selectable_labels(&self) -> Labels {
        with(&self.labels, &[("operation", &self.name)])
    }
}
