//! What an upstream says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use crate::ids::{ServiceName, ZoneName};

/// Identity of one start of an upstream; a restart has another.
pub type UpstreamId = String;

/// An upstream's own report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedUpstream {
    /// This start of it. An address may pass on to another start.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone that it stands in.
    pub zone: ZoneName,
    /// Requests that it works on at once; at least 1.
    pub slots: u32,
    /// Whether it takes no more work.
    pub draining: bool,
    /// Time for which it stays cold, from the report on; zero where it is warm.
    pub cold_for: Duration,
}

impl ReportedUpstream {
    /// Hash of the report without what changes with time, the same on every host.
    pub fn fingerprint(&self) -> u64 {
        let ReportedUpstream {
            id,
            service,
            address,
            zone,
            slots,
            draining,
            ..
        } = self;
        let text = format!("{id}\n{service}\n{address}\n{zone}\n{slots}\n{draining}");
        XxHash3_64::oneshot(text.as_bytes())
    }
}
