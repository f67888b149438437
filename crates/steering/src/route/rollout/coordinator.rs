//! Decides the stages of one roll-out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::evidence::{Evidence, RouteCounts};
use super::moved::MovedHosts;
use super::order::RolloutOrder;
use super::status::{RolloutReason, RolloutStage, RolloutStatus};
use super::trial_share::ExposureBound;
use super::verdict::Verdict;
use crate::ids::{HostName, Incarnation, RuleName};

/// Share of the requests in the first part of the trial, relative to the operator's bound.
const FIRST_SHARE: f64 = 0.5;
/// Share of the requests in the second part, in which each upstream on trial gets more load.
const SECOND_SHARE: f64 = 2.0;
/// Part of the order's time for the first part of the trial. A version may turn bad some
/// time after its start, so the trial is not cut short by good answers.
const FIRST_PART: f64 = 0.45;
/// Part of the order's time for the second part of the trial.
const SECOND_PART: f64 = 0.1;
/// Part of the order's time for which all requests go to the new version before the old one
/// may stop.
const WATCHED_PART: f64 = 0.1;
/// Part of the order's time after which a trial that is not decided is rolled back.
const TRIAL_END: f64 = 0.9;
/// Multiple of the order's time after which a version to which some host has not moved is
/// rolled back.
const MOVING_END: f64 = 2.0;

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
        trial(bound, FIRST_SHARE)
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
        let change = |stage, reason| Some(StageChange { stage, reason });
        let back = |reason| change(RolloutStage::RolledBack, reason);
        let Some(order) = order else {
            return back(RolloutReason::OrderWithdrawn);
        };
        let verdict = Verdict::of(&self.evidence);
        if verdict == Verdict::Bad {
            return back(RolloutReason::BadAnswers);
        }
        let elapsed = store_time.saturating_sub(status.ordered_at);
        let in_stage = store_time.saturating_sub(status.changed_at);
        let part = |part: f64| order.duration.mul_f64(part);
        let is_good = verdict == Verdict::Good;
        match status.stage {
            RolloutStage::Trial { .. } if elapsed >= part(TRIAL_END) => {
                back(RolloutReason::UndecidedInTime)
            }
            stage if stage == trial(bound, FIRST_SHARE) => {
                let is_due = is_good && elapsed >= part(FIRST_PART);
                let next = is_due.then(|| trial(bound, SECOND_SHARE))?;
                change(next, RolloutReason::GoodAnswers)
            }
            RolloutStage::Trial { .. } => {
                let is_due = is_good && in_stage >= part(SECOND_PART);
                is_due.then_some(StageChange {
                    stage: RolloutStage::Moving,
                    reason: RolloutReason::GoodAnswers,
                })
            }
            RolloutStage::Moving if elapsed >= part(MOVING_END) => {
                back(RolloutReason::UndecidedInTime)
            }
            RolloutStage::Moving => {
                let has_moved = |host: &HostName| self.moved.has_moved(host, status, now);
                let is_due = in_stage >= part(WATCHED_PART) && hosts.into_iter().all(has_moved);
                is_due.then_some(StageChange {
                    stage: RolloutStage::Completed,
                    reason: RolloutReason::AllMoved,
                })
            }
            RolloutStage::Completed | RolloutStage::RolledBack => None,
        }
    }
}

fn trial(bound: ExposureBound, times: f64) -> RolloutStage {
    let share = (bound.share * times).clamp(0.0, 1.0);
    RolloutStage::Trial {
        share_per_mille: (share * 1_000.0).round() as u16,
    }
}
