//! Estimation of upstreams' load and health by one host.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{AnswerOutcome, RegionLoad, UpstreamState, ZoneChange, ZoneHealth};

/// Much longer than the time constant of the average.
const LONG: Duration = Duration::from_secs(60);

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.01
}

#[test]
fn report_covers_the_load_of_all_hosts() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.request_sent(now);
    state.load_reported(now, 3, 1);
    assert!(is_close(state.load(now, 9, None), 4.0));
    state.request_sent(now);
    assert!(
        is_close(state.load(now, 9, None), 5.0),
        "own requests are added"
    );
}

#[test]
fn impossible_load_causes_no_overflow() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.load_reported(now, u32::MAX, u32::MAX);
    assert!(state.load(now, 9, None) > f64::from(u32::MAX));
}

#[rstest]
#[case::alone(1, 2.0)]
#[case::three_hosts(3, 6.0)]
#[case::many_hosts(30, 60.0)]
fn other_hosts_are_assumed_to_send_as_much(#[case] hosts: usize, #[case] load: f64) {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.request_sent(now);
    state.request_sent(now);
    assert!(is_close(state.load(now + LONG, hosts, None), load));
}

#[test]
fn single_request_is_not_extrapolated_to_all_hosts_at_once() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.request_sent(now);
    let soon = now + Duration::from_millis(100);
    assert!(state.load(soon, 30, None) < 4.0);
    state.request_ended(soon);
    assert!(is_close(state.load(soon + LONG, 30, None), 0.0));
}

#[test]
fn old_report_is_ignored() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.load_reported(now, 9, 9);
    assert!(is_close(state.load(now, 3, None), 18.0));
    assert!(is_close(state.load(now + LONG, 3, None), 0.0));
}

/// An upstream with two own requests in flight and without a report.
#[rstest]
#[case::nothing_told(98, None, 196.0)]
#[case::little_to_do_elsewhere(98, Some(0.5), 3.0)]
#[case::usual_load(98, Some(4.0), 9.8)]
#[case::few_hosts_see_much_themselves(3, Some(4.0), 6.0)]
#[case::a_region_of_other_hosts(1, Some(4.0), 4.667)]
fn small_sample_is_weighed_against_the_typical_load(
    #[case] hosts: usize,
    #[case] typical_load: Option<f64>,
    #[case] load: f64,
) {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.request_sent(now);
    state.request_sent(now);
    let estimate = state.load(now + LONG, hosts, typical_load);
    assert!((estimate - load).abs() < 0.05, "{estimate}");
}

#[test]
fn region_load_is_the_average_of_reports() {
    let now = Instant::now();
    let mut region = RegionLoad::default();
    region.take(now, 0.9);
    assert_eq!(
        region.use_of_slots(now),
        None,
        "one report is not representative"
    );
    region.take(now, 0.3);
    assert!(is_close(region.use_of_slots(now).unwrap(), 0.6));
    let later = now + Duration::from_secs(8);
    assert_eq!(region.use_of_slots(later), None, "the reports are old");
    (0..20).for_each(|_| region.take(later, 0.1));
    assert!(is_close(region.use_of_slots(later).unwrap(), 0.1));
}

const SOON: Duration = Duration::from_millis(100);
const COMPLETE: AnswerOutcome = AnswerOutcome::Complete;

#[rstest]
#[case::one_alone(&[("a", AnswerOutcome::Unreachable), ("a", AnswerOutcome::Unreachable)], false)]
#[case::two(&[("a", AnswerOutcome::Unreachable), ("b", AnswerOutcome::Unreachable)], true)]
#[case::two_and_one_that_lives(&[("a", AnswerOutcome::Unreachable), ("c", COMPLETE), ("b", AnswerOutcome::Unreachable)], false)]
#[case::one_that_is_full_lives(&[("a", AnswerOutcome::Unreachable), ("c", AnswerOutcome::Refused), ("b", AnswerOutcome::Unreachable)], false)]
#[case::broken_answers(&[("a", AnswerOutcome::Broken), ("b", AnswerOutcome::Broken)], false)]
#[case::callers_that_leave(&[("a", AnswerOutcome::Unknown), ("b", AnswerOutcome::Unknown)], false)]
fn zone_is_suspected_if_several_upstreams_fail(
    #[case] seen: &[(&str, AnswerOutcome)],
    #[case] suspected: bool,
) {
    let now = Instant::now();
    let mut zone = ZoneHealth::default();
    for (upstream, outcome) in seen {
        zone.answered(now, upstream, *outcome);
    }
    assert_eq!(zone.is_suspected_down(now + SOON), suspected);
}

#[test]
fn each_change_of_a_zones_reachability_is_returned_once() {
    let now = Instant::now();
    let mut zone = ZoneHealth::default();
    let first = zone.answered(now, "a", AnswerOutcome::Unreachable);
    let second = zone.answered(now, "b", AnswerOutcome::Unreachable);
    let third = zone.answered(now, "c", AnswerOutcome::Unreachable);
    assert!(matches!(
        second,
        Some(ZoneChange::Suspected { failing: 2, .. })
    ));
    assert_eq!((first, third), (None, None));
    let answers = [COMPLETE, COMPLETE].map(|outcome| zone.answered(now, "a", outcome));
    assert_eq!(answers, [Some(ZoneChange::Answers), None]);
}

#[test]
fn suspected_zone_is_probed_with_increasing_intervals_until_it_answers() {
    let mut now = Instant::now();
    let mut zone = ZoneHealth::default();
    zone.answered(now, "a", AnswerOutcome::Unreachable);
    zone.answered(now, "b", AnswerOutcome::Unreachable);
    // Requests already in flight fail too and do not extend the suspicion.
    zone.answered(now, "c", AnswerOutcome::Unreachable);
    let mut intervals = Vec::new();
    for _ in 0..3 {
        let start = now;
        while zone.is_suspected_down(now) {
            now += SOON;
        }
        intervals.push(now - start);
        zone.answered(now, "a", AnswerOutcome::Unreachable);
    }
    assert!(intervals.is_sorted_by(|a, b| a < b), "{intervals:?}");
    zone.answered(now, "c", COMPLETE);
    assert!(!zone.is_suspected_down(now));
}

/// Results of requests to one upstream, and whether the upstream may be sent another
/// request.
#[rstest]
#[case::not_reached(&[AnswerOutcome::Unreachable], false)]
#[case::one_broken(&[AnswerOutcome::Broken], true)]
#[case::half_broken(&[AnswerOutcome::Broken, AnswerOutcome::Broken, COMPLETE, AnswerOutcome::Broken, AnswerOutcome::Broken], true)]
#[case::none_whole(&[AnswerOutcome::Broken, AnswerOutcome::Broken, AnswerOutcome::Broken, AnswerOutcome::Broken], false)]
#[case::refuses(&[AnswerOutcome::Refused, AnswerOutcome::Refused, AnswerOutcome::Refused, AnswerOutcome::Refused], true)]
fn upstream_that_breaks_off_some_answers_stays_usable(
    #[case] results: &[AnswerOutcome],
    #[case] usable: bool,
) {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    for result in results {
        state.request_sent(now);
        state.answered(now, *result);
        state.request_ended(now);
    }
    assert_eq!(state.is_usable(now + SOON), usable);
}

/// Numbers of complete answers and failed attempts, and whether a failed request may be
/// retried on the same upstream.
#[rstest]
#[case::nothing_known(0, 1, false)]
#[case::little_known(1, 1, false)]
#[case::an_exception(20, 1, true)]
#[case::half(20, 20, true)]
#[case::mostly(10, 40, false)]
fn upstream_that_seldom_fails_may_be_retried(
    #[case] complete: usize,
    #[case] failed: usize,
    #[case] again: bool,
) {
    let now = Instant::now();
    for failure in [AnswerOutcome::Refused, AnswerOutcome::Broken] {
        let mut state = UpstreamState::default();
        (0..complete).for_each(|_| state.answered(now, COMPLETE));
        (0..failed).for_each(|_| state.answered(now, failure));
        assert_eq!(state.allows_retry(now + SOON), again);
        assert!(!state.allows_retry(now + LONG), "the answers have expired");
    }
}
