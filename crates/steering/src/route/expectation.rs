//! Predicts the wait and work time of a request at an upstream, and the utility of sending
//! it there.

use std::time::Duration;

use super::estimate::{Affinity, WorkTime};
use super::requirements::Requirements;

/// Utility of an answer after the latency goal, relative to one within the goal.
const LATE_UTILITY: f64 = 0.2;
/// Spread of work times, as a share of the work time.
const WORK_SPREAD: f64 = 0.12;
/// Share of the goal available to wait and work; the rest is network time to and from the
/// caller.
const GOAL_SHARE_FOR_WORK: f64 = 0.9;
/// Utility that typical work takes from other requests at a full upstream by delaying them.
/// The values 0.8, 0.4 and 0.2 are compared in docs/decisions/expected-worth.md.
const CONGESTION_COST: f64 = 0.4;
/// Load, as a multiple of its slots, from which an upstream counts as full.
const FULL_LOAD: f64 = 1.5;

/// Prediction for a request at an upstream, used to judge the answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// Inputs to the probability that the upstream holds the object; `None` for a request
    /// without an object.
    pub affinity: Option<Affinity>,
    /// Predicted time until a slot is free.
    pub wait: Duration,
    /// Predicted work time.
    pub work: WorkTime,
    /// Response time of the upstream relative to the service's typical one.
    pub speed: f64,
    /// Share of the upstream's slots taken by recent requests for the object.
    pub object_share: f64,
    /// Whether the upstream would miss the goal even with the object held, a free slot and
    /// the whole goal left.
    pub too_slow: bool,
    /// Utility of the answer, less what the work takes from other requests; at most 1.
    pub worth: f64,
}

impl Expectation {
    /// Returns the time until the answer if the object is not held.
    pub fn longest(&self) -> Duration {
        self.wait + self.work.if_fetched
    }

    /// Returns the longest expected response time plus twice its spread. Few answers take longer.
    pub fn upper_bound(&self) -> Duration {
        self.longest().mul_f64(1.0 + 2.0 * WORK_SPREAD)
    }
}

/// State of an upstream when a request is evaluated.
pub(super) struct UpstreamSnapshot {
    /// Requests running and waiting at the upstream.
    pub load: f64,
    /// Requests that the upstream works on concurrently.
    pub slots: f64,
    /// `None` for a request without an object.
    pub affinity: Option<Affinity>,
    /// Whether the upstream is cold.
    pub cold: bool,
    /// Response time relative to the service's typical one.
    pub speed: f64,
    /// Requests per second of all hosts for the object.
    pub object_requests_per_s: f64,
}

/// Predicts how a request fares at an upstream.
pub(super) fn predict(requirements: &Requirements<'_>, snapshot: &UpstreamSnapshot) -> Expectation {
    let UpstreamSnapshot {
        load,
        slots,
        affinity,
        cold,
        speed,
        object_requests_per_s,
    } = *snapshot;
    let queued_ahead = (load + 1.0 - slots).max(0.0);
    let wait = requirements
        .typical_work
        .mul_f64(speed * queued_ahead / slots);
    let work = requirements.estimate.work(affinity, cold).times(speed);
    let after_wait = |work: Duration| on_time_probability(requirements, wait + work);
    let on_time = work.hit_probability * after_wait(work.if_held)
        + (1.0 - work.hit_probability) * after_wait(work.if_fetched);
    let answer_utility = LATE_UTILITY + (1.0 - LATE_UTILITY) * on_time;
    let load_factor = (load / slots / FULL_LOAD).min(1.0);
    let relative_work =
        work.mean().as_secs_f64() / requirements.typical_work.as_secs_f64().max(1e-6);
    Expectation {
        affinity,
        wait,
        work,
        speed,
        object_share: object_requests_per_s * work.if_held.as_secs_f64() / slots,
        too_slow: speed > 1.0
            && work.if_held > requirements.latency_goal.mul_f64(GOAL_SHARE_FOR_WORK),
        worth: requirements.urgency * answer_utility
            - CONGESTION_COST * relative_work * load_factor * load_factor,
    }
}

/// Returns the probability that a request is answered within its goal if it takes
/// `remaining` from now on.
fn on_time_probability(requirements: &Requirements<'_>, remaining: Duration) -> f64 {
    let goal_left = requirements
        .latency_goal
        .mul_f64(GOAL_SHARE_FOR_WORK)
        .as_secs_f64()
        - requirements.elapsed.as_secs_f64();
    let spread = WORK_SPREAD * remaining.as_secs_f64() + 0.005;
    1.0 / (1.0 + ((remaining.as_secs_f64() - goal_left) / spread).exp())
}
