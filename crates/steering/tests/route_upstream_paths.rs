//! Direct and relayed paths to upstreams.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{
    AnswerOutcome, CheckResult, DirectResult, HostCondition, PathChange, Place, RelayHost,
    UpstreamPaths, UpstreamState, ZoneHealth, ZonePath, relay_order,
};

const WORK: Duration = Duration::from_millis(200);
const MOMENT: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

/// Sends a request on a direct connection and ends it after `took`.
fn direct(
    path: &mut ZonePath,
    at: Instant,
    upstream: &str,
    outcome: AnswerOutcome,
    took: Duration,
) {
    path.direct_sent(at, WORK);
    let result = DirectResult {
        sent_at: at,
        is_first: true,
        work: WORK,
        outcome,
    };
    path.direct_ended(at + took, upstream, result);
}

/// A path that was found to be cut at `now`.
fn relayed(now: Instant) -> ZonePath {
    let mut path = ZonePath::default();
    path.direct_failed(now, "a");
    path.direct_failed(now, "b");
    assert!(path.plan(now, false).needs_check);
    assert_eq!(
        path.check_ended(now, CheckResult::AnswersOthers),
        Some(PathChange::Relayed)
    );
    path
}

#[rstest]
#[case::nothing(&[], false)]
#[case::one_upstream_that_is_down(&[("a", AnswerOutcome::Unreachable), ("a", AnswerOutcome::Unreachable)], false)]
#[case::two_upstreams(&[("a", AnswerOutcome::Unreachable), ("b", AnswerOutcome::Unreachable)], true)]
#[case::two_that_break_connections(&[("a", AnswerOutcome::Broken), ("b", AnswerOutcome::Broken)], true)]
#[case::the_only_one_of_the_zone(&[("a", AnswerOutcome::Unreachable); 3], true)]
#[case::another_answers_in_between(&[("a", AnswerOutcome::Unreachable), ("c", AnswerOutcome::Complete), ("b", AnswerOutcome::Unreachable)], false)]
#[case::a_full_one_answers_in_between(&[("a", AnswerOutcome::Broken), ("c", AnswerOutcome::Refused), ("b", AnswerOutcome::Broken)], false)]
#[case::callers_leave(&[("a", AnswerOutcome::Unknown), ("b", AnswerOutcome::Unknown)], false)]
fn other_hosts_are_asked_if_several_upstreams_of_a_zone_fail(
    #[case] seen: &[(&str, AnswerOutcome)],
    #[case] asked: bool,
) {
    let now = Instant::now();
    let mut path = ZonePath::default();
    for (upstream, outcome) in seen {
        direct(&mut path, now, upstream, *outcome, MOMENT);
    }
    assert_eq!(path.plan(now + MOMENT, false).needs_check, asked);
}

#[test]
fn answers_on_open_connections_do_not_hide_that_new_ones_fail() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    let answered = DirectResult {
        sent_at: now,
        is_first: false,
        work: WORK,
        outcome: AnswerOutcome::Complete,
    };
    for upstream in ["a", "b"] {
        path.direct_failed(now, upstream);
        path.direct_sent(now, WORK);
        path.direct_ended(now, "c", answered);
    }
    assert!(path.is_doubtful(now));
    assert!(path.plan(now, false).needs_check);
}

#[test]
fn failures_long_ago_do_not_count() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    path.direct_failed(now, "a");
    path.direct_failed(now + SECOND * 60, "b");
    assert!(!path.plan(now + SECOND * 60, false).needs_check);
}

#[test]
fn one_failure_is_enough_if_another_zone_is_reached_through_relays() {
    let now = Instant::now();
    let mut paths = UpstreamPaths::default();
    for upstream in ["a", "b"] {
        paths.zone("east").direct_failed(now, upstream);
    }
    paths.zone("west").direct_failed(now, "c");
    assert!(paths.plan(now, "east").needs_check);
    assert!(!paths.plan(now, "west").needs_check);
    paths
        .zone("east")
        .check_ended(now, CheckResult::AnswersOthers);
    assert!(paths.plan(now, "west").needs_check);
    assert!(
        !paths.plan(now, "south").needs_check,
        "nothing failed there"
    );
    assert_eq!(paths.relayed_zones(), 1);
}

#[rstest]
#[case::several_requests(3, SECOND, true)]
#[case::few_requests(2, SECOND, false)]
#[case::not_for_long(3, WORK, false)]
fn other_hosts_are_asked_if_nothing_answers(
    #[case] requests: u32,
    #[case] silent: Duration,
    #[case] asked: bool,
) {
    let now = Instant::now();
    let mut path = ZonePath::default();
    for _ in 0..requests {
        path.direct_sent(now, WORK);
    }
    assert_eq!(path.plan(now + silent, false).needs_check, asked);
}

#[test]
fn requests_that_time_out_without_any_answer_are_failures() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    direct(&mut path, now, "a", AnswerOutcome::Unknown, SECOND);
    direct(&mut path, now, "b", AnswerOutcome::Unknown, SECOND);
    assert!(path.plan(now + SECOND, false).needs_check);
}

#[test]
fn upstreams_that_other_hosts_do_not_reach_either_are_down() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    path.direct_failed(now, "a");
    path.direct_failed(now, "b");
    let first = path.plan(now, false);
    assert_eq!(first.change, Some(PathChange::DirectFails));
    // Requests are sent as before meanwhile, and one check is enough.
    let second = path.plan(now, false);
    assert!(!first.relays && !second.relays && !second.needs_check);
    assert_eq!(
        path.check_ended(now, CheckResult::NotReached),
        Some(PathChange::NotReached)
    );
    path.direct_failed(now, "a");
    path.direct_failed(now, "b");
    assert!(!path.plan(now + MOMENT, false).needs_check);
    assert!(path.plan(now + SECOND, false).needs_check);
}

#[test]
fn upstreams_that_answer_directly_are_not_relayed() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    direct(&mut path, now, "a", AnswerOutcome::Broken, MOMENT);
    direct(&mut path, now, "b", AnswerOutcome::Broken, MOMENT);
    assert!(path.plan(now, false).needs_check);
    let change = path.check_ended(now, CheckResult::AnswersDirectly);
    assert_eq!(change, Some(PathChange::DirectWorks));
    let plan = path.plan(now, false);
    assert!(!plan.relays && !plan.needs_check);
}

#[test]
fn open_direct_connections_are_used_while_they_answer() {
    let now = Instant::now();
    let mut path = relayed(now);
    assert!(!path.plan(now, false).uses_open_direct);
    direct(&mut path, now, "a", AnswerOutcome::Complete, MOMENT);
    let plan = path.plan(now + MOMENT, false);
    assert!(plan.uses_open_direct && plan.relays);
    assert!(!path.plan(now + SECOND, false).uses_open_direct);
}

#[test]
fn direct_path_returns_after_trials_in_a_row() {
    let start = Instant::now();
    let mut path = relayed(start);
    assert!(!path.plan(start, false).tries_direct);
    let mut now = start;
    let mut trials = Vec::new();
    for passed in [false, true, false, true, true] {
        while !path.plan(now, false).tries_direct {
            now += MOMENT;
        }
        trials.push(path.trial_ended(now, passed));
    }
    assert_eq!(trials[..4], [None; 4]);
    assert_eq!(trials[4], Some(PathChange::Direct(now - start)));
    assert!(now - start >= SECOND * 5, "a trial a second");
    let plan = path.plan(now, false);
    assert!(!plan.relays && plan.uses_open_direct);
}

#[test]
fn a_path_that_fails_right_after_its_return_is_relayed_again_within_seconds() {
    let mut now = Instant::now();
    let mut path = relayed(now);
    for _ in 0..5 {
        path.trial_ended(now, true);
        path.trial_ended(now, true);
        path.direct_failed(now, "a");
        path.direct_failed(now, "b");
        let back_at = now;
        while !path.plan(now, false).needs_check {
            now += MOMENT;
        }
        assert!(now - back_at <= SECOND * 2 + MOMENT);
        path.check_ended(now, CheckResult::AnswersOthers);
    }
}

fn relay_host(name: &str, zone: &str, region: &str) -> RelayHost {
    RelayHost {
        name: name.to_owned(),
        zone: zone.to_owned(),
        region: region.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        condition: HostCondition::default(),
    }
}

#[rstest]
#[case::all_well(&[], &["near", "region", "there", "far"])]
#[case::the_near_one_has_failed(&["near"], &["region", "there", "far", "near"])]
fn near_hosts_are_asked_first(#[case] failed: &[&str], #[case] expected: &[&str]) {
    let hosts = [
        relay_host("far", "z", "r3"),
        relay_host("there", "y", "r2"),
        relay_host("region", "b", "r1"),
        relay_host("near", "a", "r1"),
    ];
    let own = Place {
        zone: "a",
        region: "r1",
    };
    let upstream = Place {
        zone: "y",
        region: "r2",
    };
    for random in 0..4 {
        let has_failed = |host: &RelayHost| failed.contains(&host.name.as_str());
        let order = relay_order(hosts.iter(), own, upstream, has_failed, random);
        let names: Vec<&str> = order.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, expected);
    }
}

#[test]
fn hosts_at_the_same_distance_share_the_relays() {
    let hosts = ["a", "b", "c"].map(|name| relay_host(name, "zone", "region"));
    let place = Place {
        zone: "zone",
        region: "region",
    };
    let first = |random| {
        relay_order(hosts.iter(), place, place, |_| false, random)[0]
            .name
            .clone()
    };
    let firsts: Vec<String> = (0..3).map(first).collect();
    assert_eq!(firsts, ["a", "b", "c"]);
}

/// A host that reaches some zone's upstreams itself is not cut off.
#[rstest]
#[case::no_zone(&[], false)]
#[case::a_relayed_one(&["a"], true)]
#[case::one_of_two(&["a", "b"], false)]
fn host_is_cut_off_if_all_zones_are_relayed(#[case] zones: &[&str], #[case] expected: bool) {
    let mut paths = UpstreamPaths::default();
    *paths.zone("a") = relayed(Instant::now());
    let zones: Vec<String> = zones.iter().map(|zone| (*zone).to_owned()).collect();
    assert_eq!(paths.are_all_relayed(&zones), expected);
}

fn relays_used(relay_use_per_mille: u16) -> HostCondition {
    HostCondition {
        relay_use_per_mille,
        ..HostCondition::default()
    }
}

const CUT_OFF: HostCondition = HostCondition {
    is_cut_off: true,
    use_per_mille: 0,
    relay_use_per_mille: 0,
};

#[rstest]
#[case::the_near_one_has_room(relays_used(500), &[], &["near", "region"])]
#[case::the_near_one_is_nearly_full(relays_used(950), &[], &["region", "near"])]
#[case::the_near_one_is_cut_off(CUT_OFF, &[], &["region", "near"])]
#[case::the_other_one_has_failed(CUT_OFF, &["region"], &["near", "region"])]
fn hosts_without_room_for_relays_are_asked_late(
    #[case] near: HostCondition,
    #[case] failed: &[&str],
    #[case] expected: &[&str],
) {
    let hosts = [
        relay_host("region", "b", "r1"),
        RelayHost {
            condition: near,
            ..relay_host("near", "a", "r1")
        },
    ];
    let place = Place {
        zone: "a",
        region: "r1",
    };
    for random in 0..2 {
        let has_failed = |host: &RelayHost| failed.contains(&host.name.as_str());
        let order = relay_order(hosts.iter(), place, place, has_failed, random);
        let names: Vec<&str> = order.iter().map(|host| host.name.as_str()).collect();
        assert_eq!(names, expected);
    }
}

#[test]
fn failures_on_a_former_path_do_not_outlive_it() {
    let now = Instant::now();
    let mut zone = ZoneHealth::default();
    for upstream in ["i-1", "i-2"] {
        zone.answered(now, upstream, AnswerOutcome::Unreachable);
    }
    assert!(zone.is_suspected_down(now));
    zone.path_changed();
    assert!(!zone.is_suspected_down(now));

    let mut upstream = UpstreamState::default();
    upstream.request_sent(now);
    upstream.answered(now, AnswerOutcome::Unreachable);
    let later = now + Duration::from_secs(5);
    assert!(!upstream.is_usable(later));
    upstream.path_changed(later);
    assert!(upstream.is_usable(later));
}

#[test]
fn a_path_is_watched_while_requests_are_unanswered() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    assert!(path.direct_sent(now, WORK));
    assert!(!path.direct_sent(now, WORK));
    assert!(path.is_watched());
    for _ in 0..2 {
        let result = DirectResult {
            sent_at: now,
            is_first: false,
            work: WORK,
            outcome: AnswerOutcome::Complete,
        };
        path.direct_ended(now, "i-1", result);
    }
    assert!(!path.is_watched());
    assert!(path.direct_sent(now, WORK));
}

#[test]
fn a_request_on_a_cut_path_is_lost_unless_something_was_answered_since() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    for _ in 0..3 {
        path.direct_sent(now, WORK);
    }
    assert!(path.plan(now + SECOND, false).needs_check);
    assert!(!path.is_lost(now));
    path.check_ended(now + SECOND, CheckResult::AnswersOthers);
    assert!(path.is_lost(now));
    let answered = DirectResult {
        sent_at: now,
        is_first: false,
        work: WORK,
        outcome: AnswerOutcome::Complete,
    };
    path.direct_ended(now + SECOND, "i-1", answered);
    assert!(!path.is_lost(now));
    assert!(path.is_lost(now + SECOND * 2));
}

/// A busy zone answered while others were asked, and was taken for a cut one.
#[rstest]
#[case::nothing_answered(None, true)]
#[case::answered_before_the_check(Some(-1), true)]
#[case::answered_during_the_check(Some(1), false)]
fn an_answer_during_a_check_contradicts_a_silent_path(
    #[case] answered_after_s: Option<i32>,
    #[case] relays: bool,
) {
    let start = Instant::now();
    let mut path = ZonePath::default();
    let answered = |path: &mut ZonePath, at: Instant| {
        path.direct_sent(at, WORK);
        let result = DirectResult {
            sent_at: at,
            is_first: false,
            work: WORK,
            outcome: AnswerOutcome::Complete,
        };
        path.direct_ended(at, "i-1", result);
    };
    if answered_after_s == Some(-1) {
        answered(&mut path, start);
    }
    for _ in 0..3 {
        path.direct_sent(start, WORK);
    }
    let checked_at = start + SECOND;
    assert!(path.plan(checked_at, false).needs_check);
    if answered_after_s == Some(1) {
        answered(&mut path, checked_at + MOMENT);
    }
    let change = path.check_ended(checked_at + SECOND, CheckResult::AnswersOthers);
    let expected = match relays {
        true => PathChange::Relayed,
        false => PathChange::DirectWorks,
    };
    assert_eq!(change, Some(expected));
    assert_eq!(path.is_lost(start + MOMENT), relays);
}

/// Open connections may live on while new ones are refused.
#[test]
fn an_answer_during_a_check_does_not_outweigh_failures() {
    let now = Instant::now();
    let mut path = ZonePath::default();
    path.direct_failed(now, "a");
    path.direct_failed(now, "b");
    assert!(path.plan(now, false).needs_check);
    path.direct_sent(now, WORK);
    let result = DirectResult {
        sent_at: now,
        is_first: false,
        work: WORK,
        outcome: AnswerOutcome::Complete,
    };
    path.direct_ended(now + MOMENT, "c", result);
    let change = path.check_ended(now + SECOND, CheckResult::AnswersOthers);
    assert_eq!(change, Some(PathChange::Relayed));
}
