//! What a host tells operators.

use serde::{Deserialize, Serialize};
use steering::Document;
use steering::ids::{HostName, Incarnation, Revision, UpstreamName, ZoneName};
use steering::load_estimate::ServiceLoad;
use steering::membership::HostEntry;

/// The configuration in force on a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// The configuration.
    pub document: Document,
}

/// A host's status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Revision in force.
    pub revision: Revision,
    /// Digest of that revision.
    pub digest: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time since the platform last answered, in milliseconds; none: never.
    pub store_silent_ms: Option<u64>,
    /// Requests in flight on it.
    pub in_flight: u32,
    /// Hosts that it knows of.
    pub hosts: Vec<HostEntry>,
    /// Load of each zone as it believes.
    pub zones: Vec<ZoneLoad>,
    /// Pools that it admits to.
    pub pools: Vec<PoolStatus>,
}

/// Load of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// The zone.
    pub zone: ZoneName,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Load of its services.
    pub services: Vec<ServiceLoad>,
}

/// A pool that a host admits to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Its name.
    pub pool: String,
    /// Requests that wait.
    pub queued: u32,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// An upstream as its owner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Its name.
    pub name: UpstreamName,
    /// Requests in flight from this host.
    pub in_flight: u32,
    /// Slots that may be used now.
    pub allowed: u32,
    /// Whether it takes new work.
    pub usable: bool,
    /// Smoothed time to first byte, in milliseconds.
    pub latency_ms: f64,
}
