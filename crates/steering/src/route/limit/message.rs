//! Messages between hosts about limits that upstreams request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;
use crate::route::reported_upstream::UpstreamId;

/// Request for a token for one request to an upstream with a limit. Hosts of versions that do not
/// know this message do not answer, and are treated as silent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitTokenRequest {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone of the upstream; the holders are hosts of its region.
    pub zone: ZoneName,
    /// Start time of the upstream process in Unix milliseconds, if its report contains one.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// The limit in requests per second, as the sender last received it.
    pub per_s: f64,
    /// Time since the sender received the limit, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub age_ms: u32,
    /// Urgency of the request: 1 for the most urgent, lower for others.
    pub urgency: f64,
}

impl LimitTokenRequest {
    /// Text that identifies the start of the upstream.
    pub fn start(&self) -> String {
        match self.started_ms {
            Some(started_ms) => format!("{} {started_ms}", self.upstream),
            None => self.upstream.clone(),
        }
    }

    /// Time since the sender received the limit.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// Reply to a [`LimitTokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The request may be sent now.
    Granted,
    /// There is no token; one is reserved for the sender after this many milliseconds.
    #[serde(rename = "Dry")]
    Exhausted(u32),
    /// The host holds no share of this limit.
    #[serde(rename = "NoPart")]
    NotAHolder,
}
