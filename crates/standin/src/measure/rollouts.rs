//! Good and bad versions rolled out over hosts as values: verdicts, exposure and times.

use std::io;
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use steering::route::{ExposureBound, RolloutStage};

use super::balance::round;
use super::parallel;
use super::plot::{Bars, Lines, bars, lines};
use crate::model::rollout::{Defect, ModelVersion, RolloutOutcome, RolloutPlan, run as play};

/// Roll-outs of each kind and duration.
const SEEDS: u64 = 1_000;
/// Roll-outs of each cell of the grid.
const GRID_SEEDS: u64 = 5;
const DURATIONS_S: [u64; 3] = [12, 30, 120];
const GRID_DURATIONS_S: [u64; 5] = [6, 12, 30, 120, 600];
/// Requests a second, and hosts.
const GRID_SIZES: [(u64, usize); 6] = [
    (5, 3),
    (200, 3),
    (200, 88),
    (1_400, 88),
    (20_000, 88),
    (20_000, 3_700),
];
/// Most requests of a cell that is played.
const MAX_GRID_REQUESTS: u64 = 3_000_000;
/// Times before the deadline for the move: by the share alone, and with time first.
const MOVING_TIMES_MS: [u64; 2] = [0, 4_000];

/// A version of a kind; `at` is the moment, from 0 to 1 of the order's time, from which late
/// versions are bad.
struct Kind {
    name: &'static str,
    version: ModelVersion,
    /// Whether the version is bad from a moment of the order that differs by seed.
    is_late: bool,
}

const fn at_once(name: &'static str, version: ModelVersion) -> Kind {
    Kind {
        name,
        version,
        is_late: false,
    }
}

const fn late(name: &'static str, version: ModelVersion) -> Kind {
    Kind {
        name,
        version,
        is_late: true,
    }
}

const KINDS: &[Kind] = &[
    at_once("good", ModelVersion::GOOD),
    at_once(
        "good_cold",
        ModelVersion {
            is_cold: true,
            ..ModelVersion::GOOD
        },
    ),
    at_once("fails_2", ModelVersion::bad(0.02, Defect::Fails)),
    at_once("fails_5", ModelVersion::bad(0.05, Defect::Fails)),
    at_once("fails_20", ModelVersion::bad(0.2, Defect::Fails)),
    at_once("fails_50", ModelVersion::bad(0.5, Defect::Fails)),
    at_once("slow_5", ModelVersion::bad(0.05, Defect::IsSlow)),
    at_once("slow_20", ModelVersion::bad(0.2, Defect::IsSlow)),
    at_once(
        "one_route_20",
        ModelVersion {
            bad_route: Some(1),
            ..ModelVersion::bad(0.2, Defect::Fails)
        },
    ),
    at_once(
        "under_load_20",
        ModelVersion {
            bad_load: 0.9,
            ..ModelVersion::bad(0.2, Defect::Fails)
        },
    ),
    late("late_fails_2", ModelVersion::bad(0.02, Defect::Fails)),
    late("late_fails_20", ModelVersion::bad(0.2, Defect::Fails)),
    late("late_slow_20", ModelVersion::bad(0.2, Defect::IsSlow)),
];

/// A share of the order's time that differs by seed and fills it evenly.
fn moment(seed: u64) -> f64 {
    (seed as f64 * 0.618_033_988_75).fract()
}

fn plan(kind: &Kind, duration_s: u64, moving_ms: u64, seed: u64) -> RolloutPlan {
    let duration = Duration::from_secs(duration_s);
    let mut version = kind.version;
    if kind.is_late {
        version.bad_from = duration.mul_f64(moment(seed));
    }
    let defaults = RolloutPlan::default();
    RolloutPlan {
        duration,
        version,
        seed,
        bound: ExposureBound {
            min_moving_time: Duration::from_millis(moving_ms),
            ..defaults.bound
        },
        ..defaults
    }
}

fn summary(runs: &[(RolloutPlan, RolloutOutcome)]) -> Value {
    let count = |is: &dyn Fn(&RolloutPlan, &RolloutOutcome) -> bool| {
        runs.iter().filter(|(plan, run)| is(plan, run)).count()
    };
    let completed = |run: &RolloutOutcome| run.stage == RolloutStage::Completed;
    let exposure =
        |(plan, run): &(RolloutPlan, RolloutOutcome)| run.exposed as f64 / run.allowed(plan) as f64;
    let stops = runs.iter().filter_map(|(_, run)| run.stopped_after());
    let longest_stop = stops.max().unwrap_or_default();
    // Bad for how long when it was completed.
    let bad_for = runs.iter().filter(|(_, run)| completed(run));
    let bad_for = bad_for.map(|(plan, run)| run.decided_at.saturating_sub(plan.version.bad_from));
    let longest_bad = bad_for.max().unwrap_or_default();
    json!({
        "runs": runs.len(),
        "completed": count(&|_, run| completed(run)),
        "completed_in_time": count(&|plan, run| run.is_in_time(plan)),
        "rolled_back": count(&|_, run| run.stage == RolloutStage::RolledBack),
        "over_bound": count(&|plan, run| run.exposed > run.allowed(plan)),
        "largest_exposure_of_bound": round(runs.iter().map(exposure).fold(0.0, f64::max)),
        "longest_stop_s": round(longest_stop.as_secs_f64()),
        "longest_bad_when_completed_s": round(longest_bad.as_secs_f64()),
        "cut": runs.iter().map(|(_, run)| run.cut).sum::<u64>(),
    })
}

fn play_all(plans: Vec<RolloutPlan>) -> Vec<(RolloutPlan, RolloutOutcome)> {
    let outcomes = parallel(&plans, play);
    plans.into_iter().zip(outcomes).collect()
}

fn kinds(duration_s: u64, moving_ms: u64) -> Value {
    let of_kind = |kind: &Kind| {
        let plans = (1..=SEEDS).map(|seed| plan(kind, duration_s, moving_ms, seed));
        let runs = play_all(plans.collect());
        (kind.name.to_owned(), summary(&runs))
    };
    Value::Object(KINDS.iter().map(of_kind).collect())
}

/// Good versions, and ones that turn bad at any moment, over sizes and durations.
fn grid() -> Vec<Value> {
    let mut cells = Vec::new();
    for duration_s in GRID_DURATIONS_S {
        for (rate_per_s, hosts) in GRID_SIZES {
            if rate_per_s * duration_s > MAX_GRID_REQUESTS {
                continue;
            }
            let sized = |kind: &Kind| {
                let plans = (1..=GRID_SEEDS).map(|seed| RolloutPlan {
                    hosts,
                    rate_per_s,
                    ..plan(kind, duration_s, 0, seed)
                });
                summary(&play_all(plans.collect()))
            };
            let good = at_once("good", ModelVersion::GOOD);
            let bad = late("late", ModelVersion::bad(0.2, Defect::Fails));
            cells.push(json!({
                "duration_s": duration_s, "rate_per_s": rate_per_s, "hosts": hosts,
                "good": sized(&good), "late_fails_20": sized(&bad),
            }));
        }
    }
    cells
}

/// Exposure over the moment at which a version turns bad, as a part of what is allowed.
fn exposure_lines(duration_s: u64, moving_ms: u64) -> Vec<(f64, f64)> {
    const MOMENTS: u64 = 48;
    let bad = late("late", ModelVersion::bad(0.2, Defect::Fails));
    let plans = (0..MOMENTS).map(|number| {
        let mut plan = plan(&bad, duration_s, moving_ms, number + 1);
        plan.version.bad_from = plan.duration.mul_f64(number as f64 / MOMENTS as f64);
        plan
    });
    let runs = play_all(plans.collect());
    let point = |(plan, run): &(RolloutPlan, RolloutOutcome)| {
        let exposure = run.exposed as f64 / run.allowed(plan) as f64;
        (plan.version.bad_from.as_secs_f64(), exposure)
    };
    runs.iter().map(point).collect()
}

fn verdict_times(duration_s: u64) -> Vec<f64> {
    let mean = |kind: &Kind| {
        let plans = (1..=GRID_SEEDS).map(|seed| plan(kind, duration_s, 0, seed));
        let runs = play_all(plans.collect());
        let took = |(plan, run): &(RolloutPlan, RolloutOutcome)| {
            run.decided_at.saturating_sub(plan.version.bad_from)
        };
        let total: Duration = runs.iter().map(took).sum();
        total.as_secs_f64() / runs.len() as f64
    };
    KINDS.iter().map(mean).collect()
}

fn draw(directory: &Path) -> io::Result<()> {
    let share = exposure_lines(DURATIONS_S[0], MOVING_TIMES_MS[0]);
    let time = exposure_lines(DURATIONS_S[0], MOVING_TIMES_MS[1]);
    let exposure = Lines {
        title: "Exposure by the moment at which a version turns bad, order of 12 s",
        y_label: "part of what is allowed",
        series: vec![("share first", share), ("4 s for the move", time)],
    };
    lines(&directory.join("rollouts-exposure.svg"), &exposure)?;
    let verdicts = Bars {
        title: "Time from the first bad answer to the decision",
        y_label: "seconds",
        groups: KINDS.iter().map(|kind| kind.name.to_owned()).collect(),
        series: vec![("order of 12 s", verdict_times(DURATIONS_S[0]))],
    };
    bars(&directory.join("rollouts-verdicts.svg"), &verdicts)
}

/// Measures; one JSON object.
pub fn run(plots: Option<&Path>) -> io::Result<Value> {
    if let Some(directory) = plots {
        draw(directory)?;
    }
    let of_duration = |duration_s: u64| {
        let moving =
            MOVING_TIMES_MS.map(|ms| json!({"moving_ms": ms, "kinds": kinds(duration_s, ms)}));
        json!({"duration_s": duration_s, "moving": moving})
    };
    Ok(json!({
        "measure": "rollouts",
        "by_duration": DURATIONS_S.map(of_duration),
        "grid": grid(),
    }))
}
