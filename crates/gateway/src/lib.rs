//! Serves routes: forwards callers' requests to upstreams selected by domain, path and object.
//!
//! The control thread keeps the host's state and publishes it as a read-only view. The traffic
//! thread serves callers from the latest view. All routing decisions are made in `steering::route`.

mod allowances;
mod control;
mod host;
mod limits;
mod rollouts;
mod settings;
mod suspects;
mod traffic;
mod wire_format;

pub use host::{GatewayError, GatewayHost, RecordsFactory, RenderMetrics};
pub use settings::{Bounds, GatewaySettings};
pub use wire_format::{HeaderNames, HostLookup, ReportedLoad, WireFormat};
