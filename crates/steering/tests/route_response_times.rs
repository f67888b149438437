//! The bound of response times from few or many responses.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::ResponseTimes;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn recorded(start: Instant, times_ms: &[u64]) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for &time_ms in times_ms {
        times.record(start, ms(time_ms));
    }
    times
}

#[test]
fn nothing_is_known_without_a_response() {
    let now = Instant::now();
    let mut times = ResponseTimes::default();
    assert_eq!(times.upper_bound(now), None);
    times.record_unanswered(now, ms(10));
    assert_eq!(times.upper_bound(now), None);
}

/// A stopping host that took the middle of few responses for a bound began work that it cut.
#[rstest]
#[case::one(&[2_100], 2_100, u64::MAX)]
#[case::as_many_as_a_young_process_has_seen(&[3_500, 3_600, 3_700, 3_800, 3_900], 3_900, u64::MAX)]
#[case::mostly_short(&[50, 50, 50, 50, 50, 50, 50, 4_000], 4_000, u64::MAX)]
#[case::few_short_ones(&[30; 8], 30, 80)]
#[case::many_short_ones(&[30; 800], 30, 45)]
#[case::longer_than_the_largest_bucket(&[900_000], 600_000, u64::MAX)]
fn the_bound_exceeds_the_responses_seen(
    #[case] times_ms: &[u64],
    #[case] at_least_ms: u64,
    #[case] at_most_ms: u64,
) {
    let now = Instant::now();
    let bound = recorded(now, times_ms).upper_bound(now);
    let bound_ms = bound.expect("responses are known").as_millis() as u64;
    assert!(bound_ms >= at_least_ms, "{bound_ms} ms");
    assert!(bound_ms <= at_most_ms, "{bound_ms} ms");
}

#[test]
fn work_that_varies_by_half_stays_below_the_bound_of_any_number_of_responses() {
    let mut random = StdRng::seed_from_u64(1);
    for count in 1..=200 {
        let typical_ms: u64 = random.random_range(20..8_000);
        let mut draw = || random.random_range(typical_ms * 3 / 4..=typical_ms * 5 / 4);
        let times: Vec<u64> = (0..count).map(|_| draw()).collect();
        let now = Instant::now();
        let bound = recorded(now, &times).upper_bound(now);
        let bound = bound.expect("responses are known");
        assert!(bound >= ms(typical_ms * 5 / 4), "{count}: {bound:?}");
    }
}

#[rstest]
#[case::in_the_next_window(31, true)]
#[case::two_windows_later(61, false)]
#[case::much_later(600, false)]
fn responses_count_for_a_time(#[case] seconds: u64, #[case] expected: bool) {
    let start = Instant::now();
    let mut times = recorded(start, &[2_100]);
    let bound = times.upper_bound(start + Duration::from_secs(seconds));
    assert_eq!(bound.is_some(), expected);
}

#[test]
fn slower_work_raises_the_bound_with_the_first_responses() {
    let start = Instant::now();
    let mut times = recorded(start, &[50; 500]);
    let later = start + Duration::from_secs(31);
    for _ in 0..10 {
        times.record(later, ms(4_000));
    }
    let bound = times.upper_bound(later).expect("responses are known");
    assert!(bound >= ms(4_000), "{bound:?}");
}

/// Callers that leave early say nothing of the time that responses take; those that wait in vain do.
#[rstest]
#[case::left_at_once(10, 2_000)]
#[case::waited_longer_than_any(6_000, 6_000)]
fn requests_that_are_given_up_count_only_if_they_waited_longest(
    #[case] waited_ms: u64,
    #[case] at_least_ms: u64,
) {
    let now = Instant::now();
    let mut times = recorded(now, &[2_000; 10]);
    for _ in 0..1_000 {
        times.record_unanswered(now, ms(waited_ms));
    }
    let bound = times.upper_bound(now).expect("responses are known");
    assert!(bound >= ms(at_least_ms), "{bound:?}");
}
