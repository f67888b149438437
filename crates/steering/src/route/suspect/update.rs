//! Updates between hosts about work that crashes upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::work::WorkIdentity;

/// Update about one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkUpdate {
    /// The work that the update is about.
    pub work: WorkIdentity,
    /// What happened to the work.
    #[serde(rename = "told")]
    pub event: WorkEvent,
}

/// What happened to a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkEvent {
    /// An upstream crashed while the work was in flight there.
    #[serde(rename = "Ended")]
    Crashed {
        /// Hash of the upstream's start.
        start: u64,
        /// Time since the work was sent to the upstream, in milliseconds.
        sent_ms: u32,
        /// Time since the crash, in milliseconds.
        #[serde(rename = "ended_ms")]
        crashed_ms: u32,
    },
    /// An upstream answered the work, so the earlier crashes had another cause, or the fault is
    /// fixed.
    Answered {
        /// Time since the work was sent to the upstream, in milliseconds.
        sent_ms: u32,
    },
    /// A single trial request was sent to see whether the work still crashes upstreams. Other
    /// requests wait for its result.
    #[serde(rename = "Tried")]
    TrialStarted,
    /// An operator ordered the work to be refused.
    Refused,
    /// An operator ordered the work to be served again.
    Cleared,
}

impl WorkEvent {
    /// The same update with all ages increased by `by`, for delivery after a delay.
    pub fn aged_by(self, by: Duration) -> Self {
        let by = by.as_millis() as u32;
        match self {
            WorkEvent::Crashed {
                start,
                sent_ms,
                crashed_ms,
            } => WorkEvent::Crashed {
                start,
                sent_ms: sent_ms.saturating_add(by),
                crashed_ms: crashed_ms.saturating_add(by),
            },
            WorkEvent::Answered { sent_ms } => WorkEvent::Answered {
                sent_ms: sent_ms.saturating_add(by),
            },
            event @ (WorkEvent::TrialStarted | WorkEvent::Refused | WorkEvent::Cleared) => event,
        }
    }
}
