//! What hosts say to each other about limits that upstreams name.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::ZoneName;
use crate::route::upstream::UpstreamId;

/// A host's question for one request to an upstream that names a limit. A host that does not
/// know such questions yet answers none, and counts as silent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitTokenRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its availability zone, among whose region's hosts the holders are.
    pub zone: ZoneName,
    /// When this start of it was born, where its report says so.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// The limit in requests a second, as the asker has last heard it.
    pub per_s: f64,
    /// Time since then, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub age_ms: u32,
    /// 1 for the most urgent requests, less for others.
    pub urgency: f64,
}

impl LimitTokenRequest {
    /// The start that is meant, as text.
    pub fn start(&self) -> String {
        match self.started_ms {
            Some(started_ms) => format!("{} {started_ms}", self.upstream),
            None => self.upstream.clone(),
        }
    }

    /// Time since the asker has heard the limit.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}

/// The answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The request may be sent now.
    Granted,
    /// There is no token; one is promised after so many milliseconds.
    #[serde(rename = "Dry")]
    Exhausted(u32),
    /// The host holds no part of this limit.
    #[serde(rename = "NoPart")]
    NotAHolder,
}
