//! Abandoned requests, and which of them a crash of their upstream counts against.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{AbandonedRequests, WorkIdentity};

#[rstest]
#[case::at_once(0, true)]
#[case::soon(1_900, true)]
#[case::long_after(2_100, false)]
fn a_crash_counts_against_requests_abandoned_shortly_before(
    #[case] later_ms: u64,
    #[case] counts: bool,
) {
    let epoch = Instant::now();
    let at = |ms| epoch + Duration::from_millis(ms);
    let mut abandoned = AbandonedRequests::default();
    let work = WorkIdentity::named(7);
    abandoned.note(at(100), work, epoch);
    let taken = abandoned.take(at(100 + later_ms));
    let expected = if counts { vec![(work, epoch)] } else { vec![] };
    assert_eq!(taken, expected);
    assert_eq!(
        abandoned.take(at(100 + later_ms)),
        [],
        "each request is returned once"
    );
}

#[test]
fn abandoned_requests_are_bounded_and_the_latest_are_kept() {
    let epoch = Instant::now();
    let mut abandoned = AbandonedRequests::default();
    for request in 0..1_000 {
        abandoned.note(epoch, WorkIdentity::named(request), epoch);
    }
    let taken = abandoned.take(epoch);
    assert_eq!(taken.len(), 32);
    assert_eq!(taken[31].0, WorkIdentity::named(999));
}
