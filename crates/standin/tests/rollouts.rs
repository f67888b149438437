//! Roll-outs over hosts as values: verdicts, exposure and the time to stop, over sizes.

use std::time::Duration;

use rstest::rstest;
use standin::rollout::{Defect, ModelVersion, RolloutOutcome, RolloutPlan, run};
use steering::route::RolloutStage;

const ROLLBACK_TIME: Duration = Duration::from_secs(5);

fn assert_bounds(plan: &RolloutPlan, outcome: &RolloutOutcome) {
    assert!(outcome.exposed <= outcome.allowed(plan), "{outcome:?}");
    let stopped_after = outcome.stopped_after().unwrap_or_default();
    assert!(stopped_after <= ROLLBACK_TIME, "{outcome:?}");
    assert_eq!(outcome.cut, 0, "{outcome:?}");
}

/// Hosts and requests a second.
#[rstest]
fn versions_that_turn_bad_keep_the_bound_at_all_sizes(
    #[values((3, 200), (88, 1_400), (300, 1_400))] (hosts, rate_per_s): (usize, u64),
    #[values(0.0, 0.5, 0.8, 0.9, 0.95)] moment: f64,
    #[values(Defect::Fails, Defect::IsSlow)] defect: Defect,
) {
    let defaults = RolloutPlan::default();
    let version = ModelVersion {
        bad_from: defaults.duration.mul_f64(moment),
        ..ModelVersion::bad(0.2, defect)
    };
    let plan = RolloutPlan {
        hosts,
        rate_per_s,
        version,
        ..defaults
    };
    assert_bounds(&plan, &run(&plan));
}

#[rstest]
fn good_versions_are_completed_and_cut_nothing(
    #[values(12, 30)] duration_s: u64,
    #[values(false, true)] is_cold: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let plan = RolloutPlan {
        duration: Duration::from_secs(duration_s),
        version: ModelVersion {
            is_cold,
            ..ModelVersion::GOOD
        },
        seed,
        ..RolloutPlan::default()
    };
    let outcome = run(&plan);
    assert_eq!(outcome.stage, RolloutStage::Completed, "{outcome:?}");
    assert_bounds(&plan, &outcome);
}
