//! What a host takes an upstream's load to be.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{AnswerOutcome, RegionLoad, UpstreamState, ZoneHealth};

/// Times as large as the span over which requests are averaged.
const LONG: Duration = Duration::from_secs(60);

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 0.01
}

#[test]
fn a_report_tells_the_load_of_all() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.request_sent(now);
    condition.load_reported(now, 3, 1);
    assert!(close(condition.load(now, 9, None), 4.0));
    condition.request_sent(now);
    assert!(
        close(condition.load(now, 9, None), 5.0),
        "its own are counted"
    );
}

#[test]
fn a_load_that_no_upstream_can_have_stops_nothing() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.load_reported(now, u32::MAX, u32::MAX);
    assert!(condition.load(now, 9, None) > f64::from(u32::MAX));
}

#[rstest]
#[case::alone(1, 2.0)]
#[case::three_hosts(3, 6.0)]
#[case::many_hosts(30, 60.0)]
fn others_are_taken_to_send_as_much(#[case] hosts: usize, #[case] load: f64) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.request_sent(now);
    condition.request_sent(now);
    assert!(close(condition.load(now + LONG, hosts, None), load));
}

#[test]
fn a_single_request_does_not_count_for_all_hosts_at_once() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.request_sent(now);
    let soon = now + Duration::from_millis(100);
    assert!(condition.load(soon, 30, None) < 4.0);
    condition.request_ended(soon);
    assert!(close(condition.load(soon + LONG, 30, None), 0.0));
}

#[test]
fn an_old_report_is_not_believed() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.load_reported(now, 9, 9);
    assert!(close(condition.load(now, 3, None), 18.0));
    assert!(close(condition.load(now + LONG, 3, None), 0.0));
}

/// An upstream with two own requests in flight, of which other hosts have told nothing.
#[rstest]
#[case::nothing_told(98, None, 196.0)]
#[case::little_to_do_elsewhere(98, Some(0.5), 3.0)]
#[case::usual_load(98, Some(4.0), 9.8)]
#[case::few_hosts_see_much_themselves(3, Some(4.0), 6.0)]
#[case::a_region_of_other_hosts(1, Some(4.0), 4.667)]
fn a_small_sample_is_weighed_against_the_usual_load(
    #[case] hosts: usize,
    #[case] usual: Option<f64>,
    #[case] load: f64,
) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.request_sent(now);
    condition.request_sent(now);
    let believed = condition.load(now + LONG, hosts, usual);
    assert!((believed - load).abs() < 0.05, "{believed}");
}

#[test]
fn a_region_is_as_full_as_its_upstreams_tell() {
    let now = Instant::now();
    let mut region = RegionLoad::default();
    region.take(now, 0.9);
    assert_eq!(region.use_of_slots(now), None, "one says little of all");
    region.take(now, 0.3);
    assert!(close(region.use_of_slots(now).unwrap(), 0.6));
    let later = now + Duration::from_secs(8);
    assert_eq!(region.use_of_slots(later), None, "it is old");
    (0..20).for_each(|_| region.take(later, 0.1));
    assert!(close(region.use_of_slots(later).unwrap(), 0.1));
}

const SOON: Duration = Duration::from_millis(100);
const FINE: AnswerOutcome = AnswerOutcome::Complete;

#[rstest]
#[case::one_alone(&[("a", AnswerOutcome::Unreachable), ("a", AnswerOutcome::Unreachable)], false)]
#[case::two(&[("a", AnswerOutcome::Unreachable), ("b", AnswerOutcome::Unreachable)], true)]
#[case::two_and_one_that_lives(&[("a", AnswerOutcome::Unreachable), ("c", FINE), ("b", AnswerOutcome::Unreachable)], false)]
#[case::one_that_is_full_lives(&[("a", AnswerOutcome::Unreachable), ("c", AnswerOutcome::Refused), ("b", AnswerOutcome::Unreachable)], false)]
#[case::broken_answers(&[("a", AnswerOutcome::Broken), ("b", AnswerOutcome::Broken)], false)]
#[case::callers_that_leave(&[("a", AnswerOutcome::Unknown), ("b", AnswerOutcome::Unknown)], false)]
fn a_zone_is_doubted_where_several_upstreams_fail(
    #[case] seen: &[(&str, AnswerOutcome)],
    #[case] doubted: bool,
) {
    let now = Instant::now();
    let mut zone = ZoneHealth::default();
    for (upstream, answered) in seen {
        zone.answered(now, upstream, *answered);
    }
    assert_eq!(zone.is_suspected_down(now + SOON), doubted);
}

#[test]
fn a_doubted_zone_is_tried_again_ever_more_seldom_until_it_answers() {
    let mut now = Instant::now();
    let mut zone = ZoneHealth::default();
    zone.answered(now, "a", AnswerOutcome::Unreachable);
    zone.answered(now, "b", AnswerOutcome::Unreachable);
    // What was under way fails too, and prolongs nothing.
    zone.answered(now, "c", AnswerOutcome::Unreachable);
    let mut rests = Vec::new();
    for _ in 0..3 {
        let begun = now;
        while zone.is_suspected_down(now) {
            now += SOON;
        }
        rests.push(now - begun);
        zone.answered(now, "a", AnswerOutcome::Unreachable);
    }
    assert!(rests.is_sorted_by(|a, b| a < b), "{rests:?}");
    zone.answered(now, "c", FINE);
    assert!(!zone.is_suspected_down(now));
}

/// Ends of requests to one upstream, and whether it may be sent another.
#[rstest]
#[case::not_reached(&[AnswerOutcome::Unreachable], false)]
#[case::one_broken(&[AnswerOutcome::Broken], true)]
#[case::half_broken(&[AnswerOutcome::Broken, AnswerOutcome::Broken, FINE, AnswerOutcome::Broken, AnswerOutcome::Broken], true)]
#[case::none_whole(&[AnswerOutcome::Broken, AnswerOutcome::Broken, AnswerOutcome::Broken, AnswerOutcome::Broken], false)]
#[case::refuses(&[AnswerOutcome::Refused, AnswerOutcome::Refused, AnswerOutcome::Refused, AnswerOutcome::Refused], true)]
fn one_that_breaks_off_some_answers_is_asked_again(
    #[case] ends: &[AnswerOutcome],
    #[case] usable: bool,
) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    for end in ends {
        condition.request_sent(now);
        condition.answered(now, *end);
        condition.request_ended(now);
    }
    assert_eq!(condition.is_usable(now + SOON), usable);
}

/// Whole answers and misses, and whether what it missed is sent to it once more.
#[rstest]
#[case::nothing_known(0, 1, false)]
#[case::little_known(1, 1, false)]
#[case::an_exception(20, 1, true)]
#[case::half(20, 20, true)]
#[case::mostly(10, 40, false)]
fn who_seldom_misses_is_asked_again(
    #[case] whole: usize,
    #[case] missed: usize,
    #[case] again: bool,
) {
    let now = Instant::now();
    for miss in [AnswerOutcome::Refused, AnswerOutcome::Broken] {
        let mut condition = UpstreamState::default();
        (0..whole).for_each(|_| condition.answered(now, FINE));
        (0..missed).for_each(|_| condition.answered(now, miss));
        assert_eq!(condition.allows_retry(now + SOON), again);
        assert!(!condition.allows_retry(now + LONG), "it is forgotten");
    }
}
