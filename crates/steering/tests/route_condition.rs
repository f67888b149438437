//! What a host takes an upstream's load to be.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::Condition;

/// Times as large as the span over which requests are averaged.
const LONG: Duration = Duration::from_secs(60);

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.01
}

#[test]
fn a_report_tells_the_load_of_all() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.sent(now);
    condition.reported(now, 3, 1);
    assert!(close(condition.load(now, 9), 4.0));
    condition.sent(now);
    assert!(close(condition.load(now, 9), 5.0), "its own are counted");
}

#[rstest]
#[case::alone(1, 2.0)]
#[case::three_hosts(3, 6.0)]
#[case::many_hosts(30, 60.0)]
fn others_are_taken_to_send_as_much(#[case] hosts: usize, #[case] load: f64) {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.sent(now);
    condition.sent(now);
    assert!(close(condition.load(now + LONG, hosts), load));
}

#[test]
fn a_single_request_does_not_count_for_all_hosts_at_once() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.sent(now);
    let soon = now + Duration::from_millis(100);
    assert!(condition.load(soon, 30) < 4.0);
    condition.ended(soon);
    assert!(close(condition.load(soon + LONG, 30), 0.0));
}

#[test]
fn an_old_report_is_not_believed() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.reported(now, 9, 9);
    assert!(close(condition.load(now, 3), 18.0));
    assert!(close(condition.load(now + LONG, 3), 0.0));
}
