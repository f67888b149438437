//! When a roll-out may be called completed: who sends to the old version, over hosts as
//! values.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{
    AnswerCounts, Coordinator, ExposureBound, HostProgress, RolloutOrder, RolloutReason,
    RolloutStage, RolloutStatus, RouteCounts,
};

const BOUND: ExposureBound = ExposureBound {
    share: 0.1,
    min_moving_time: Duration::ZERO,
};
/// Long, so that the time of the order decides nothing here.
const DURATION: Duration = Duration::from_secs(600);
/// Time from the order after which all requests have moved for long enough.
const MOVED_FOR: Duration = Duration::from_secs(300);
const SEQUENCE: u64 = 4;

/// A report of a host in the stage in which all requests move.
#[derive(Debug, Clone, Copy)]
struct Report {
    sequence: u64,
    uses_old_version: bool,
    age: Duration,
}

const MOVED: Report = Report {
    sequence: SEQUENCE,
    uses_old_version: false,
    age: Duration::ZERO,
};

fn progress(report: Report) -> HostProgress {
    let counts = AnswerCounts {
        answers: 5_000,
        bad: 0,
    };
    let counts = RouteCounts {
        new: counts,
        old: counts,
    };
    HostProgress {
        incarnation: 1,
        sequence: report.sequence,
        uses_old_version: report.uses_old_version,
        counts: BTreeMap::from([("consulta".to_owned(), counts)]),
    }
}

/// The stage that follows for two hosts, one of which has moved. `heard_age` is the age of
/// the other one's last heartbeat.
fn next(report: Option<Report>, heard_age: Option<Duration>) -> Option<RolloutStage> {
    let order =
        RolloutOrder::new("s1".to_owned(), "v2".to_owned(), DURATION.as_secs_f64(), 7).unwrap();
    let status = RolloutStatus {
        service: "s1".to_owned(),
        to_version: "v2".to_owned(),
        order_revision: 7,
        sequence: SEQUENCE,
        stage: RolloutStage::Moving,
        reason: RolloutReason::GoodAnswers,
        coordinator: "h1".to_owned(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    };
    let epoch = Instant::now();
    let now = epoch + MOVED_FOR;
    let mut coordinator = Coordinator::default();
    coordinator.report(now, "h1", progress(MOVED));
    if let Some(report) = report {
        coordinator.report(now - report.age, "h2", progress(report));
    }
    if let Some(age) = heard_age {
        coordinator.heard(now - age, "h2");
    }
    let hosts = ["h1".to_owned(), "h2".to_owned()];
    let next = coordinator.next_stage(Some(&order), &status, BOUND, MOVED_FOR, now, &hosts);
    next.map(|change| change.stage)
}

const fn aged(secs: u64) -> Report {
    Report {
        age: Duration::from_secs(secs),
        ..MOVED
    }
}

#[rstest]
#[case::moved(Some(MOVED), None, true)]
#[case::never_reported(None, Some(0), false)]
#[case::never_heard(None, None, false)]
#[case::applies_an_earlier_stage(Some(Report { sequence: SEQUENCE - 1, ..MOVED }), None, false)]
#[case::requests_run_at_the_old_version(Some(Report { uses_old_version: true, ..MOVED }), None, false)]
#[case::report_too_old_to_hold(Some(aged(4)), None, false)]
#[case::slow_to_report(Some(aged(8)), Some(1), false)]
#[case::slow_to_report_and_not_moved(Some(Report { uses_old_version: true, ..aged(60) }), Some(1), false)]
#[case::gone(Some(aged(8)), Some(7), true)]
#[case::gone_while_it_used_the_old_version(Some(Report { uses_old_version: true, ..aged(8) }), None, true)]
fn a_roll_out_is_completed_when_nobody_sends_to_the_old_version(
    #[case] report: Option<Report>,
    #[case] heard_age_s: Option<u64>,
    #[case] is_completed: bool,
) {
    let stage = next(report, heard_age_s.map(Duration::from_secs));
    assert_eq!(stage, is_completed.then_some(RolloutStage::Completed));
}
