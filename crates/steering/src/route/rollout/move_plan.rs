//! When all requests of a service move to the new version.

use std::time::Duration;

use super::coordinator::StageChange;
use super::evidence::RouteCounts;
use super::order::RolloutOrder;
use super::status::{RolloutReason, RolloutStage, RolloutStatus};
use super::trial_share::ExposureBound;
use crate::ids::HostName;

/// Part of the operator's bound that a roll-out spends up to its deadline. Rates change, and
/// the deadline is known to within the interval between polls.
const SPENT_PART: f64 = 0.95;
/// Time between the decision to move and the move, in which all hosts learn of it.
pub(super) const NOTICE: Duration = Duration::from_secs(2);

/// Returns the time from the order to the instant at which all requests move. `elapsed` is the
/// time since the order, `stage_share` the share of the requests that are on trial until then.
///
/// A version may turn bad at any moment, so all requests that it gets before the deadline
/// count: those counted so far, a share of them until this instant, and all of them from
/// then on.
pub(super) fn moving_after(
    order: &RolloutOrder,
    bound: ExposureBound,
    counts: &RouteCounts,
    elapsed: Duration,
    stage_share: f64,
) -> Duration {
    let duration_s = order.duration.as_secs_f64();
    let answers = (counts.new.answers + counts.old.answers).max(1) as f64;
    let spent_s = counts.new.answers as f64 / answers * elapsed.as_secs_f64();
    let unspent_s = duration_s * bound.share * SPENT_PART - spent_s;
    let trial_s = stage_share * elapsed.as_secs_f64();
    let by_share_s = (duration_s - unspent_s - trial_s) / (1.0 - stage_share).max(f64::EPSILON);
    let by_share = Duration::from_secs_f64(by_share_s.clamp(0.0, duration_s));
    by_share.min(order.duration.saturating_sub(bound.min_moving_time))
}

impl RolloutStatus {
    /// Returns the status that follows by a decision of the host `coordinator`.
    ///
    /// Hosts apply a planned move by themselves under the next number, so any other decision
    /// goes by the number after it and replaces the move also where it has begun.
    pub fn followed_by(
        &self,
        change: StageChange,
        coordinator: HostName,
        store_time: Duration,
    ) -> RolloutStatus {
        let StageChange {
            stage,
            reason,
            moves_at,
        } = change;
        let is_planned = stage == RolloutStage::Moving;
        let step = match self.moves_at.is_some() && !is_planned {
            true => 2,
            false => 1,
        };
        RolloutStatus {
            sequence: self.sequence + step,
            stage,
            reason,
            coordinator,
            changed_at: match stage == self.stage {
                true => self.changed_at,
                false => store_time,
            },
            moves_at,
            ..self.clone()
        }
    }

    /// Returns the status that a host applies by itself once the planned instant has come.
    pub fn planned_move(&self, store_time: Duration) -> Option<RolloutStatus> {
        let moves_at = self.moves_at.filter(|at| *at <= store_time)?;
        let change = StageChange {
            stage: RolloutStage::Moving,
            reason: RolloutReason::GoodAnswers,
            moves_at: None,
        };
        Some(self.followed_by(change, self.coordinator.clone(), moves_at))
    }
}
