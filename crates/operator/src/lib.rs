//! The operators' endpoint and its client.
//!
//! Every host answers operators at its operator address. A change goes to the
//! platform from whichever host is asked.

mod client;
mod messages;
mod server;

pub use client::{ClientError, OperatorClient};
pub use messages::{InForce, PoolStatus, Status, UpstreamStatus, ZoneLoad};
pub use server::{OperatorHandler, OperatorServer};

/// Path of a host's status.
const STATUS_PATH: &str = "/v1/status";
/// Path of a host's whole state.
const DUMP_PATH: &str = "/v1/dump";
/// Path of the configuration in force.
const DOCUMENT_PATH: &str = "/v1/document";
/// Path of proposals.
const CHANGES_PATH: &str = "/v1/changes";
/// Path of metrics, as Prometheus text.
const METRICS_PATH: &str = "/metrics";
