//! HTTP endpoint for operators, and its client.
//!
//! Every host serves operators at its operator address. A change can be proposed to any host, which
//! writes the change to the platform.

mod client;
mod messages;
mod server;

pub use client::{ClientError, OperatorClient};
pub use messages::{InForce, PoolStatus, Status, UpstreamStatus, ZoneLoad};
pub use server::{OperatorHandler, OperatorServer};

/// Path of the status of a host.
const STATUS_PATH: &str = "/v1/status";
/// Path of the complete state of a host.
const DUMP_PATH: &str = "/v1/dump";
/// Path of the configuration in force.
const DOCUMENT_PATH: &str = "/v1/document";
/// Path to propose changes.
const CHANGES_PATH: &str = "/v1/changes";
/// Path of metrics, as Prometheus text.
const METRICS_PATH: &str = "/metrics";
