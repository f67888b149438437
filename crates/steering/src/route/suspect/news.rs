//! What hosts tell each other of work under which upstreams end.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::work::WorkIdentity;

/// Something learned of a request that may come again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkNews {
    /// The work.
    pub work: WorkIdentity,
    /// What was learned.
    pub told: WorkTold,
}

/// What is learned of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkTold {
    /// An upstream has ended while it was in flight there.
    Ended {
        /// Hash of the upstream's start.
        start: u64,
        /// Time since the work was sent there, in milliseconds.
        sent_ms: u32,
        /// Time since the end, in milliseconds.
        ended_ms: u32,
    },
    /// An upstream has answered it: whatever ended others was something else, or is mended.
    Answered {
        /// Time since the work was sent there, in milliseconds.
        sent_ms: u32,
    },
    /// One request of it is sent to find out whether that is so; others wait for what comes.
    Tried,
    /// An operator wants it refused.
    Refused,
    /// An operator wants it served again.
    Cleared,
}

impl WorkTold {
    /// As it is told so much later.
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
