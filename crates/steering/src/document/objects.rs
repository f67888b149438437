//! The object types of a configuration.

use std::net::SocketAddr;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use super::Identity;
use crate::ids::{RegionName, RuleName, ServiceName, UpstreamName, ZoneName};
use crate::labels::{Labels, Selector};

/// A region: a group of zones that are close to each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique among regions.
    pub name: RegionName,
    /// Labels for operators; no selector matches them.
    #[serde(default)]
    pub labels: Labels,
    /// Maximum number of requests in flight in the region, at least 1; `None` is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

/// An availability zone, in which hosts and upstreams run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name, unique among zones.
    pub name: ZoneName,
    /// Region that the zone belongs to.
    pub region: RegionName,
    /// Labels; with `state=draining` the whole zone accepts no new requests.
    #[serde(default)]
    pub labels: Labels,
    /// One-way network latency to the other zones of the region, in milliseconds.
    #[serde(default = "default_zone_one_way_ms")]
    pub one_way_ms: f64,
    /// Maximum number of requests in flight in the zone, at least 1; `None` is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

fn default_zone_one_way_ms() -> f64 {
    1.0
}

/// A bidirectional network link between two regions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region at one end.
    pub from: RegionName,
    /// Region at the other end.
    pub to: RegionName,
    /// One-way network latency, in milliseconds.
    pub one_way_ms: f64,
    /// Maximum number of requests in flight over the link in each direction, at least 1;
    /// `None` is no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_in_flight: Option<u32>,
}

impl Link {
    /// Whether the link connects the two regions, in either order.
    pub fn joins(&self, a: &str, b: &str) -> bool {
        (self.from == a && self.to == b) || (self.from == b && self.to == a)
    }
}

/// How a service's tickets keep a request from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum TicketMode {
    /// Only the issuing host may run the request; nothing is written before dispatch.
    #[default]
    Home,
    /// A host writes a claim to the platform's table before dispatch.
    Store,
}

/// A service that callers send requests to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services; letters, digits, `-`, `_` and `.`.
    pub name: ServiceName,
    /// Labels that rules can select on.
    #[serde(default)]
    pub labels: Labels,
    /// How tickets keep a request from running twice.
    #[serde(default)]
    pub ticket_mode: TicketMode,
    /// Priority from 0 to 9; under overload, lower priorities are refused first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Default time to the first byte of an answer, in milliseconds, for operations that
    /// set none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum number of requests that wait for a slot in one pool.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Expected duration of a request on a warmed-up upstream, in milliseconds.
    #[serde(default = "default_expected_ms")]
    pub expected_ms: f64,
    /// Operations; the first one that matches a request applies.
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
    /// Name, unique in the service.
    pub name: String,
    /// HTTP methods; empty matches every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Prefix of the path below the service; empty matches every path.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether a request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// Time to the first byte of the answer, in milliseconds; `None` is the service's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Header fields that identify a request; `None` if a ticket or the caller's
    /// idempotency key does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub identity: Option<Identity>,
    /// Labels that rules can select on.
    #[serde(default)]
    pub labels: Labels,
}

impl Operation {
    /// Whether a request with this method and path is of this operation.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path_prefix)
    }
}

/// A process that answers requests of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: UpstreamName,
    /// Service whose requests the upstream answers.
    pub service: ServiceName,
    /// Zone that the upstream runs in.
    pub zone: ZoneName,
    /// IP address and port of the HTTP endpoint.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests, at least 1.
    pub slots: u32,
    /// Maximum number of connections, at least `slots`.
    #[serde(default = "default_connection_limit")]
    pub connection_limit: u32,
    /// Labels; `state` is `active`, `draining` or `retired`.
    #[serde(default)]
    pub labels: Labels,
}

fn default_connection_limit() -> u32 {
    330
}

/// Selects the traffic that a rule applies to; all selectors must match.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Matches the labels of the service, with its name as `service`.
    pub service: Selector,
    /// Matches the labels of the operation, with its name as `operation`.
    pub operation: Selector,
    /// Matches the labels of the caller's client block, with its zone as `zone`.
    pub caller: Selector,
}

/// A destination of a rule: a set of zones with a share of the traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Matches the labels of zones, with `zone` and `region` added.
    pub zones: Selector,
    /// Share of the rule's traffic, in percent; the shares of a rule sum to 100.
    pub share_percent: f64,
    /// Maximum number of the rule's requests in flight in these zones; `None` is no cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_in_flight: Option<u32>,
    /// Maximum number of the rule's requests in any second in these zones; `None` is no
    /// cap.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_per_s: Option<u32>,
}

/// Assigns traffic to zones, with shares and caps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name, unique among rules.
    pub name: RuleName,
    /// Traffic that the rule applies to; the default matches all.
    #[serde(default)]
    pub traffic: Traffic,
    /// Destinations, at least one; a zone belongs to at most one of them.
    pub places: Vec<Place>,
    /// Labels for operators; no selector matches them.
    #[serde(default)]
    pub labels: Labels,
}

/// A block of client addresses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Address prefix, unique among blocks.
    pub prefix: IpNet,
    /// Zone nearest to the callers in the block.
    pub zone: ZoneName,
    /// Labels that rules can select on.
    #[serde(default)]
    pub labels: Labels,
}

fn with_labels(labels: &Labels, extra: &[(&str, &str)]) -> Labels {
    let mut all = labels.clone();
    for (key, value) in extra {
        all.insert((*key).to_owned(), (*value).to_owned());
    }
    all
}

impl Zone {
    /// Returns the labels with `zone` and `region` added, as matched by [`Place::zones`].
    pub fn selectable_labels(&self) -> Labels {
        with_labels(
            &self.labels,
            &[("zone", &self.name), ("region", &self.region)],
        )
    }
}

impl Service {
    /// Returns the labels with `service` added, as matched by [`Traffic::service`].
    pub fn selectable_labels(&self) -> Labels {
        with_labels(&self.labels, &[("service", &self.name)])
    }

    /// Finds the operation of a request by its method and its path below the service.
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .find(|operation| operation.matches(method, path))
    }
}

impl Operation {
    /// Returns the labels with `operation` added, as matched by [`Traffic::operation`].
    pub fn selectable_labels(&self) -> Labels {
        with_labels(&self.labels, &[("operation", &self.name)])
    }
}
