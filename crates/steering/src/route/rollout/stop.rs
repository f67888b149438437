//! The end of a roll-out that the store may not have yet.

use serde::{Deserialize, Serialize};

use super::coordinator::StageChange;
use super::status::{RolloutReason, RolloutStage, RolloutStatus};
use crate::ids::ServiceName;

/// A coordinator's decision to roll back, which hosts apply before it is written. A status
/// can't say so: of two statuses with one number only the written one may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStop {
    /// The service.
    pub service: ServiceName,
    /// Revision of the order. A stop holds for no other order.
    pub order_revision: u64,
    /// Why the roll-out is stopped.
    pub reason: RolloutReason,
}

impl RolloutStop {
    /// Returns the stop of an undecided roll-out.
    pub fn of(status: &RolloutStatus, reason: RolloutReason) -> Self {
        RolloutStop {
            service: status.service.clone(),
            order_revision: status.order_revision,
            reason,
        }
    }

    /// Returns whether the stop holds under a status. A decided status goes before it: the
    /// store has it, and operators act on it.
    pub fn holds(&self, status: &RolloutStatus) -> bool {
        self.order_revision == status.order_revision && !status.stage.is_final()
    }

    /// Returns the stage that any coordinator has to write after the stop.
    pub fn change(&self) -> StageChange {
        StageChange {
            stage: RolloutStage::RolledBack,
            reason: self.reason,
            moves_at: None,
        }
    }

    /// Returns the hash of the stop, the same on every host.
    pub(super) fn fingerprint(&self) -> u64 {
        let RolloutStop {
            service,
            order_revision,
            ..
        } = self;
        crate::rendezvous::hash(format!("stop {service} {order_revision}").as_bytes())
    }
}
