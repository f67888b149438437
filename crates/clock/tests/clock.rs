//! Ages include the time for which the machine was suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clock::SuspensionDetector;
use rstest::rstest;

#[test]
fn ages_include_a_suspension() {
    let suspended_ms = Arc::new(AtomicU64::default());
    let (begun, suspended) = (Instant::now(), Arc::clone(&suspended_ms));
    let source = move || begun.elapsed() + Duration::from_millis(suspended.load(Ordering::Relaxed));
    assert!(clock::install(Box::new(source.clone())));
    assert!(
        !clock::install(Box::new(source)),
        "the clock already has a source"
    );
    let begun = clock::now();
    let later = begun + Duration::from_secs(60);
    assert!(clock::remaining(later) > Duration::from_secs(5));
    suspended_ms.store(56_000, Ordering::Relaxed);
    assert!(clock::elapsed(begun) >= Duration::from_secs(56));
    assert!(clock::remaining(later) <= Duration::from_secs(4));
}

#[rstest]
#[case::awake(1_000, 1_000, None)]
#[case::read_apart(1_000, 1_040, None)]
#[case::suspended(1_000, 6_000, Some(5_000))]
#[case::steady_ahead(1_200, 1_000, None)]
fn a_suspension_is_the_difference_to_the_monotonic_clock(
    #[case] monotonic_ms: u64,
    #[case] elapsed_ms: u64,
    #[case] suspended_ms: Option<u64>,
) {
    let begun = Instant::now();
    let mut detector = SuspensionDetector::new(begun, begun);
    let after = |ms| begun + Duration::from_millis(ms);
    let suspended = detector.check(after(monotonic_ms), after(elapsed_ms));
    assert_eq!(suspended, suspended_ms.map(Duration::from_millis));
    let next = detector.check(after(monotonic_ms + 10), after(elapsed_ms + 10));
    assert_eq!(next, None, "a suspension is reported once");
}
