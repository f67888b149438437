//! Answers of a host to operators.

use serde::{Deserialize, Serialize};
use steering::Document;
use steering::ids::{HostName, Incarnation, Revision, UpstreamName, ZoneName};
use steering::load_estimate::ServiceLoad;
use steering::membership::HostEntry;

/// The configuration in force on a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The configuration itself.
    pub document: Document,
}

/// Status of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Incarnation of the host: one run of its process.
    pub incarnation: Incarnation,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Digest of the history up to the revision in force.
    pub digest: String,
    /// Whether the host is leaving the deployment.
    pub leaving: bool,
    /// Time since the platform last answered, in milliseconds; none if it never did.
    pub store_silent_ms: Option<u64>,
    /// Number of requests in flight on the host.
    pub in_flight: u32,
    /// Hosts known to this host.
    pub hosts: Vec<HostEntry>,
    /// Load of each zone, as known to this host.
    pub zones: Vec<ZoneLoad>,
    /// Pools to which this host admits requests.
    pub pools: Vec<PoolStatus>,
}

/// Load of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Load of the services in the zone.
    pub services: Vec<ServiceLoad>,
}

/// A pool to which a host admits requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: String,
    /// Number of waiting requests.
    pub queued: u32,
    /// Upstreams of the pool.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream, as known to the host that owns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Number of requests in flight from this host.
    pub in_flight: u32,
    /// Number of slots that may be used at present.
    pub allowed: u32,
    /// Whether the upstream can be sent new requests.
    pub usable: bool,
    /// Smoothed time to first byte, in milliseconds.
    pub latency_ms: f64,
}
