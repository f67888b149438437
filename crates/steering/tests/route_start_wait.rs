//! How long requests wait at a host that has just started.

use std::time::Duration;

use rstest::rstest;
use steering::route::start_wait;

#[rstest]
#[case::just_started(0, 10_000, 1_000)]
#[case::deadline_is_near(0, 800, 200)]
#[case::no_time_left(0, 0, 0)]
#[case::about_to_count_as_started(2_600, 10_000, 400)]
#[case::does_not_get_ready(3_000, 10_000, 0)]
#[case::has_run_for_long(3_600_000, 10_000, 0)]
fn requests_wait_for_a_start_only(
    #[case] started_for_ms: u64,
    #[case] time_left_ms: u64,
    #[case] wait_ms: u64,
) {
    let started_for = Duration::from_millis(started_for_ms);
    let wait = start_wait(started_for, Duration::from_millis(time_left_ms));
    assert_eq!(wait, Duration::from_millis(wait_ms));
}
