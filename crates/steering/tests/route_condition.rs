//! What a host takes an upstream's load to be.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Answered, Condition, RegionLoad, ZoneCondition};

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
    assert!(close(condition.load(now, 9, None), 4.0));
    condition.sent(now);
    assert!(
        close(condition.load(now, 9, None), 5.0),
        "its own are counted"
    );
}

#[test]
fn a_load_that_no_upstream_can_have_stops_nothing() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.reported(now, u32::MAX, u32::MAX);
    assert!(condition.load(now, 9, None) > f64::from(u32::MAX));
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
    assert!(close(condition.load(now + LONG, hosts, None), load));
}

#[test]
fn a_single_request_does_not_count_for_all_hosts_at_once() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.sent(now);
    let soon = now + Duration::from_millis(100);
    assert!(condition.load(soon, 30, None) < 4.0);
    condition.ended(soon);
    assert!(close(condition.load(soon + LONG, 30, None), 0.0));
}

#[test]
fn an_old_report_is_not_believed() {
    let now = Instant::now();
    let mut condition = Condition::default();
    condition.reported(now, 9, 9);
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
    let mut condition = Condition::default();
    condition.sent(now);
    condition.sent(now);
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
const FINE: Answered = Answered::Whole;

#[rstest]
#[case::one_alone(&[("a", Answered::Failed), ("a", Answered::Failed)], false)]
#[case::two(&[("a", Answered::Failed), ("b", Answered::Failed)], true)]
#[case::two_and_one_that_lives(&[("a", Answered::Failed), ("c", FINE), ("b", Answered::Failed)], false)]
#[case::one_that_is_full_lives(&[("a", Answered::Failed), ("c", Answered::Refused), ("b", Answered::Failed)], false)]
#[case::broken_answers(&[("a", Answered::Broken), ("b", Answered::Broken)], false)]
#[case::callers_that_leave(&[("a", Answered::Unknown), ("b", Answered::Unknown)], false)]
fn a_zone_is_doubted_where_several_upstreams_fail(
    #[case] seen: &[(&str, Answered)],
    #[case] doubted: bool,
) {
    let now = Instant::now();
    let mut zone = ZoneCondition::default();
    for (upstream, answered) in seen {
        zone.answered(now, upstream, *answered);
    }
    assert_eq!(zone.is_doubted(now + SOON), doubted);
}

#[test]
fn a_doubted_zone_is_tried_again_ever_more_seldom_until_it_answers() {
    let mut now = Instant::now();
    let mut zone = ZoneCondition::default();
    zone.answered(now, "a", Answered::Failed);
    zone.answered(now, "b", Answered::Failed);
    // What was under way fails too, and prolongs nothing.
    zone.answered(now, "c", Answered::Failed);
    let mut rests = Vec::new();
    for _ in 0..3 {
        let begun = now;
        while zone.is_doubted(now) {
            now += SOON;
        }
        rests.push(now - begun);
        zone.answered(now, "a", Answered::Failed);
    }
    assert!(rests.is_sorted_by(|a, b| a < b), "{rests:?}");
    zone.answered(now, "c", FINE);
    assert!(!zone.is_doubted(now));
}

/// Ends of requests to one upstream, and whether it may be sent another.
#[rstest]
#[case::not_reached(&[Answered::Failed], false)]
#[case::one_broken(&[Answered::Broken], true)]
#[case::half_broken(&[Answered::Broken, Answered::Broken, FINE, Answered::Broken, Answered::Broken], true)]
#[case::none_whole(&[Answered::Broken, Answered::Broken, Answered::Broken, Answered::Broken], false)]
#[case::refuses(&[Answered::Refused, Answered::Refused, Answered::Refused, Answered::Refused], true)]
fn one_that_breaks_off_some_answers_is_asked_again(
    #[case] ends: &[Answered],
    #[case] usable: bool,
) {
    let now = Instant::now();
    let mut condition = Condition::default();
    for end in ends {
        condition.sent(now);
        condition.answered(now, *end);
        condition.ended(now);
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
    for miss in [Answered::Refused, Answered::Broken] {
        let mut condition = Condition::default();
        (0..whole).for_each(|_| condition.answered(now, FINE));
        (0..missed).for_each(|_| condition.answered(now, miss));
        assert_eq!(condition.may_be_asked_again(now + SOON), again);
        assert!(!condition.may_be_asked_again(now + LONG), "it is forgotten");
    }
}
