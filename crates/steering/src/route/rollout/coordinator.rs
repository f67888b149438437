//! Decides the stages of one roll-out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, RouteCounts};
use super::move_plan::{NOTICE, moving_after};
use super::moved::MovedHosts;
use super::order::RolloutOrder;
use super::status::{RolloutReason, RolloutStage, RolloutStatus};
use super::trial_share::ExposureBound;
use super::verdict::Verdict;
use crate::ids::{HostName, Incarnation, RuleName};

/// Share of the requests on trial, relative to the operator's bound. The rest of the bound is
/// for the time from the move to the deadline.
const FIRST_SHARE: f64 = 0.35;
/// Share of the requests on trial if the first share does not decide.
const SECOND_SHARE: f64 = 0.8;
/// Part of the order's time after which a version that is not decided gets the second share.
const FIRST_PART: f64 = 0.6;
/// Part of the time between the move and the deadline for which the new version is watched
/// before the old one may stop.
const WATCHED_PART: f64 = 0.5;
/// Part of the order's time after which a trial that is not decided is rolled back.
const TRIAL_END: f64 = 0.9;
/// Multiple of the order's time after which a version to which some host has not moved is
/// rolled back.
const MOVING_END: f64 = 2.0;
const PER_MILLE: f64 = 1_000.0;

/// Progress of a host, as it reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostProgress {
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Number of the status that the host applies.
    pub sequence: u64,
    /// Whether requests of the host run at the old version.
    pub uses_old_version: bool,
    /// Answers that the host has counted since it knows of the roll-out.
    pub counts: BTreeMap<RuleName, RouteCounts>,
}

/// A stage that the coordinator has decided on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChange {
    /// The next stage.
    pub stage: RolloutStage,
    /// Why it follows.
    pub reason: RolloutReason,
    /// Time by the store's clock at which all requests move; `None` if that is not decided.
    pub moves_at: Option<Duration>,
}

/// What the coordinating host knows of a roll-out.
///
/// A host that takes over needs nothing of the one before: it has the status from the store,
/// and all hosts report their totals to it.
#[derive(Debug, Default)]
pub struct Coordinator {
    evidence: Evidence,
    moved: MovedHosts,
}

impl Coordinator {
    /// Returns the first stage of a roll-out.
    pub fn first_stage(bound: ExposureBound) -> RolloutStage {
        RolloutStage::Trial {
            share_per_mille: per_mille(bound, FIRST_SHARE),
        }
    }

    /// Records a host's report.
    pub fn report(&mut self, now: Instant, host: &str, progress: HostProgress) {
        let HostProgress {
            incarnation,
            sequence,
            uses_old_version,
            counts,
        } = progress;
        self.moved.report(now, host, sequence, uses_old_version);
        self.evidence.record(host, incarnation, counts);
    }

    /// Records that a host sent something else than a report.
    pub fn heard(&mut self, at: Instant, host: &str) {
        self.moved.heard(at, host);
    }

    /// Returns the answers that all hosts have counted.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the stage that follows `status`, if it is time for it. `store_time` is the
    /// time by the store's clock, `hosts` are the hosts of the deployment.
    pub fn next_stage<'a>(
        &self,
        order: Option<&RolloutOrder>,
        status: &RolloutStatus,
        bound: ExposureBound,
        store_time: Duration,
        now: Instant,
        hosts: impl IntoIterator<Item = &'a HostName>,
    ) -> Option<StageChange> {
        if status.stage.is_final() {
            return None;
        }
        let change = |stage, reason| {
            Some(StageChange {
                stage,
                reason,
                moves_at: None,
            })
        };
        let back = |reason| change(RolloutStage::RolledBack, reason);
        let Some(order) = order else {
            return back(RolloutReason::OrderWithdrawn);
        };
        let verdict = Verdict::of(&self.evidence);
        if verdict == Verdict::Bad {
            return back(RolloutReason::BadAnswers);
        }
        let elapsed = store_time.saturating_sub(status.ordered_at);
        let part = |part: f64| order.duration.mul_f64(part);
        match status.stage {
            RolloutStage::Trial { .. } if status.moves_at.is_some_and(|at| at <= store_time) => {
                change(RolloutStage::Moving, RolloutReason::GoodAnswers)
            }
            RolloutStage::Trial { .. } if status.moves_at.is_some() => None,
            RolloutStage::Trial { share_per_mille } if verdict == Verdict::Good => {
                let share = f64::from(share_per_mille) / PER_MILLE;
                let moving = status.ordered_at
                    + moving_after(order, bound, &self.evidence.total(), elapsed, share);
                (store_time + NOTICE >= moving).then(|| StageChange {
                    stage: status.stage,
                    reason: RolloutReason::GoodAnswers,
                    moves_at: Some(moving.max(store_time + NOTICE)),
                })
            }
            RolloutStage::Trial { .. } if elapsed >= part(TRIAL_END) => {
                back(RolloutReason::UndecidedInTime)
            }
            RolloutStage::Trial { share_per_mille } => {
                let next = per_mille(bound, SECOND_SHARE);
                let is_due = share_per_mille < next && elapsed >= part(FIRST_PART);
                let next = RolloutStage::Trial {
                    share_per_mille: next,
                };
                is_due.then(|| change(next, RolloutReason::FewAnswers))?
            }
            RolloutStage::Moving if elapsed >= part(MOVING_END) => {
                back(RolloutReason::UndecidedInTime)
            }
            RolloutStage::Moving => {
                let left = (status.ordered_at + order.duration).saturating_sub(status.changed_at);
                let in_stage = store_time.saturating_sub(status.changed_at);
                let has_moved = |host: &HostName| self.moved.has_moved(host, status, now);
                let is_due =
                    in_stage >= left.mul_f64(WATCHED_PART) && hosts.into_iter().all(has_moved);
                is_due.then(|| change(RolloutStage::Completed, RolloutReason::AllMoved))?
            }
            RolloutStage::Completed | RolloutStage::RolledBack => None,
        }
    }
}

/// Share of the requests on trial, in thousandths.
fn per_mille(bound: ExposureBound, times: f64) -> u16 {
    let share = (bound.share * times).clamp(0.0, 1.0);
    (share * PER_MILLE).round() as u16
}
