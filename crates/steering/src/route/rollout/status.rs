//! Progress of a roll-out, shared by all hosts and kept in the store.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::order::SoftwareVersion;
use crate::ids::{HostName, ServiceName};

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutStage {
    /// A small share of the requests goes to the new version.
    #[display("trial")]
    Trial {
        /// Thousandths of the requests.
        share_per_mille: u16,
    },
    /// All requests go to the new version; the upstreams of the old one still run.
    #[display("moving")]
    Moving,
    /// The upstreams of the old version may stop.
    #[display("completed")]
    Completed,
    /// No requests go to the new version.
    #[display("rolled_back")]
    RolledBack,
}

impl RolloutStage {
    /// Returns whether the roll-out is decided.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutStage::Completed | RolloutStage::RolledBack)
    }
}

/// Why a roll-out is in its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum RolloutReason {
    /// The operator has ordered it.
    #[display("ordered")]
    Ordered,
    /// The answers of the new version are as good as those of the old one.
    #[display("good_answers")]
    GoodAnswers,
    /// The new version has too few answers to judge it.
    #[display("few_answers")]
    FewAnswers,
    /// The new version gives bad answers more often than the old one.
    #[display("bad_answers")]
    BadAnswers,
    /// Every host sends to the new version only.
    #[display("all_moved")]
    AllMoved,
    /// The time ended before the roll-out could be decided.
    #[display("undecided_in_time")]
    UndecidedInTime,
    /// The operator has withdrawn or replaced the order.
    #[display("order_withdrawn")]
    OrderWithdrawn,
}

/// Progress of a roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// Version that the requests move to.
    pub to_version: SoftwareVersion,
    /// Revision of the order.
    pub order_revision: u64,
    /// Number of the status within the roll-out; each write increases it.
    pub sequence: u64,
    /// Current stage.
    pub stage: RolloutStage,
    /// Cause of the last change of the stage.
    pub reason: RolloutReason,
    /// Host that wrote the status and decides the next stage.
    pub coordinator: HostName,
    /// Time of the order by the store's clock.
    pub ordered_at: Duration,
    /// Time of the last change of the stage by the store's clock.
    pub changed_at: Duration,
    /// Time by the store's clock at which all requests move, unless a later status replaces
    /// this one; `None` if that is not decided.
    #[serde(default)]
    pub moves_at: Option<Duration>,
}

impl RolloutStatus {
    /// Returns whether this status replaces `other`.
    pub fn is_newer_than(&self, other: &RolloutStatus) -> bool {
        (self.order_revision, self.sequence) > (other.order_revision, other.sequence)
    }

    /// Returns the hash of the status, the same on every host.
    pub(super) fn fingerprint(&self) -> u64 {
        let RolloutStatus {
            service,
            order_revision,
            sequence,
            ..
        } = self;
        crate::rendezvous::hash(format!("{service} {order_revision} {sequence}").as_bytes())
    }
}
