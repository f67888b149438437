//! The report with which an upstream registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

use super::rollout::SoftwareVersion;
use crate::ids::{ServiceName, ZoneName};

/// Identity of an upstream. A restarted process has another identity, or the same identity
/// with a later start time.
pub type UpstreamId = String;

/// An upstream's registration report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportedUpstream {
    /// Identity; an address may be reused by another upstream.
    pub id: UpstreamId,
    /// Start time of the process in milliseconds since 1970; `None` if not reported.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// Service to which the upstream belongs.
    pub service: ServiceName,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Version of the upstream's software; empty if not reported.
    #[serde(default)]
    pub version: SoftwareVersion,
    /// Requests that the upstream works on concurrently; at least 1.
    pub slots: u32,
    /// Whether the upstream accepts no more work.
    pub draining: bool,
    /// Remaining warm-up time at the time of the report; zero if the upstream is warm.
    pub cold_for: Duration,
}

impl ReportedUpstream {
    /// Returns the identity and start time of this process. Knowledge about another start
    /// does not apply to it.
    pub fn start(&self) -> (UpstreamId, Option<u64>) {
        (self.id.clone(), self.started_ms)
    }

    /// Returns the hash of this process start, the same on every host.
    pub fn start_hash(&self) -> u64 {
        XxHash3_64::oneshot(format!("{} {:?}", self.id, self.started_ms).as_bytes())
    }

    /// Returns whether this is a delayed report of an earlier process start than `known`.
    pub fn is_before(&self, known: &ReportedUpstream) -> bool {
        matches!((self.started_ms, known.started_ms), (Some(own), Some(known)) if own < known)
    }

    /// Returns the hash of the report without its time-dependent fields, the same on every
    /// host.
    pub fn fingerprint(&self) -> u64 {
        let ReportedUpstream {
            id,
            started_ms,
            service,
            address,
            zone,
            version,
            slots,
            draining,
            ..
        } = self;
        let text = format!(
            "{id}\n{started_ms:?}\n{service}\n{address}\n{zone}\n{version}\n{slots}\n{draining}"
        );
        XxHash3_64::oneshot(text.as_bytes())
    }
}
