//! Updates between hosts about work that crashes upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::work::WorkIdentity;

/// Update about one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkNews {
    /// The work that the update is about.
    pub work: WorkIdentity,
    /// What happened to the work.
    pub told: WorkTold,
}

/// What happened to a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkTold {
    /// An upstream crashed while the work was in flight there.
    Ended {
        /// Hash of the upstream's start.
        start: u64,
        /// Time since the work was sent to the upstream, in milliseconds.
        sent_ms: u32,
        /// Time since the crash, in milliseconds.
        ended_ms: u32,
    },
    /// An upstream answered the work, so the earlier crashes had another cause, or the fault is
    /// fixed.
    Answered {
        /// Time since the work was sent to the upstream, in milliseconds.
        sent_ms: u32,
    },
    /// A single trial request was sent to see whether the work still crashes upstreams. Other
    /// requests wait for its result.
    Tried,
    /// An operator ordered the work to be refused.
    Refused,
    /// An operator ordered the work to be served again.
    Cleared,
}

impl WorkTold {
    /// The same update with all ages increased by `by`, for delivery after a delay.
    pub fn later(self, by: Duration) -> Self {
        let by = by.as_millis() as u32;
        match self {
            WorkTold::Ended {
                start,
                sent_ms,
                ended_ms,
            } => WorkTold::Ended {
                start,
                sent_ms: sent_ms.saturating_add(by),
                ended_ms: ended_ms.saturating_add(by),
            },
            WorkTold::Answered { sent_ms } => WorkTold::Answered {
                sent_ms: sent_ms.saturating_add(by),
            },
            told @ (WorkTold::Tried | WorkTold::Refused | WorkTold::Cleared) => told,
        }
    }
}
