//! What a roll-out came to.

use std::time::Duration;

use steering::route::RolloutStage;

use super::plan::RolloutPlan;

/// Bad answers of a version from which the time to stop counts.
pub(super) const COUNTED_BAD: u64 = 50;

/// What was seen of a roll-out. Times are since the order.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOutcome {
    /// The last stage.
    pub stage: RolloutStage,
    /// Time of the decision for it.
    pub decided_at: Duration,
    /// Requests of the service before the deadline.
    pub requests: u64,
    /// Those of them that were sent to the new version.
    pub exposed: u64,
    /// Bad answers of the new version.
    pub bad_of_new: u64,
    /// Time of the 50th of them.
    pub counted_at: Option<Duration>,
    /// Time of the last request that was sent to the new version.
    pub last_sent: Duration,
    /// Requests that ran at the old version when the roll-out was completed.
    pub cut: u64,
}

impl RolloutOutcome {
    /// Requests that a bad version may get.
    pub fn allowed(&self, plan: &RolloutPlan) -> u64 {
        (self.requests as f64 * plan.bound.share) as u64 + plan.exposure_slack
    }

    /// Time from the 50th bad answer to the last request, if the version was rolled back.
    pub fn stopped_after(&self) -> Option<Duration> {
        let counted_at = self.counted_at?;
        let is_stopped = self.stage == RolloutStage::RolledBack;
        is_stopped.then(|| self.last_sent.saturating_sub(counted_at))
    }

    /// Whether the version was completed by the deadline.
    pub fn is_in_time(&self, plan: &RolloutPlan) -> bool {
        self.stage == RolloutStage::Completed && self.decided_at <= plan.duration
    }
}
