//! Selection of an upstream for a request.

mod route_world;

use std::sync::Arc;
use std::time::{Duration, Instant};

use route_world::{SLOTS, choose, homes, load, member, pool, requirements, service};
use rstest::rstest;
use steering::route::{AnswerOutcome, Requirements, ServicePool, Upstream};

/// The longest accepted wait is 600 ms: 9 requests more than the slots, at 200 ms each,
/// divided by 3 slots.
#[rstest]
#[case::idle(0, 0, 0, Some(0))]
#[case::short_wait(5, 0, 0, Some(0))]
#[case::longest_wait(11, 0, 0, Some(0))]
#[case::too_long(12, 0, 0, None)]
#[case::too_long_and_asked_for_seldom(12, 0, 6, None)]
#[case::too_long_and_hot(12, 0, 60, Some(1))]
#[case::too_long_and_hot_and_second_full(12, 12, 60, None)]
fn object_queues_at_its_home_up_to_the_longest_wait(
    #[case] at_first: u32,
    #[case] at_second: u32,
    #[case] sent_before: usize,
    #[case] home: Option<usize>,
) {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    load(&service, &first, at_first, now);
    load(&service, &second, at_second, now);
    let full = member(&service, &first);
    (0..sent_before).for_each(|_| full.state().sent_objects.sent(now, 42));
    let choice = choose(pool(&service), &requirements(&service, None), now);
    match (choice, home) {
        (Ok(choice), Some(home)) => {
            let expected = if home == 0 { first } else { second };
            assert_eq!(choice.upstream.report.id, expected);
        }
        (Err(unavailable), None) => {
            assert!(unavailable.is_reachable());
            assert!(
                unavailable.retry_after >= Duration::from_millis(600),
                "{unavailable:?}"
            );
        }
        (choice, home) => panic!("{choice:?} instead of {home:?}"),
    }
}

/// Loads of the first, the second and all further upstreams in the ranking.
#[rstest]
#[case::all_idle([0, 0, 0], Some(0))]
#[case::less_loaded_of_two([2, 1, 0], Some(1))]
#[case::both_full([3, 3, 1], Some(2))]
#[case::all_full([8, 4, 9], Some(1))]
#[case::no_bearable_wait([12, 12, 13], None)]
fn request_without_object_goes_to_least_loaded_upstream(
    #[case] loads: [u32; 3],
    #[case] rank: Option<usize>,
) {
    let now = Instant::now();
    let service = service(3, Duration::ZERO, now);
    let (first, second) = homes(3, now);
    for upstream in &pool(&service).upstreams {
        let place = [&first, &second]
            .iter()
            .position(|id| **id == upstream.report.id);
        load(
            &service,
            &upstream.report.id,
            loads[place.unwrap_or(2)],
            now,
        );
    }
    let requirements = Requirements {
        by_object: false,
        ..requirements(&service, None)
    };
    let choice = choose(pool(&service), &requirements, now);
    assert_eq!(choice.map(|choice| choice.rank).ok(), rank);
}

/// Loads of the object's first and second home, and whether work on the object was also
/// sent to the second.
#[rstest]
#[case::equal_loads(1, 1, true, 0)]
#[case::second_has_less(2, 0, true, 1)]
#[case::first_is_full(7, 0, true, 1)]
#[case::both_are_full(7, 8, true, 0)]
#[case::second_would_have_to_fetch_it(7, 0, false, 0)]
fn object_held_twice_goes_to_less_loaded_home(
    #[case] at_first: u32,
    #[case] at_second: u32,
    #[case] held_twice: bool,
    #[case] home: usize,
) {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    member(&service, &first).state().sent_objects.sent(now, 42);
    if held_twice {
        member(&service, &second).state().sent_objects.sent(now, 42);
    }
    load(&service, &first, at_first, now);
    load(&service, &second, at_second, now);
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.rank, home, "{:?}", choice.expectation);
}

/// Only the first home is known to be slow.
#[test]
fn slow_home_is_avoided_if_another_holds_the_object() {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    for id in [&first, &second] {
        member(&service, id).state().sent_objects.sent(now, 42);
    }
    let home = member(&service, &first);
    (0..4).for_each(|_| home.state().speed.take(now, 4.0));
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    let later = now + Duration::from_secs(30);
    let choice = choose(pool(&service), &requirements(&service, None), later).unwrap();
    assert_eq!(
        choice.upstream.report.id, first,
        "its slow answers have expired"
    );
}

/// Number of times the first home gave no answer within ten times the expected time.
#[rstest]
#[case::never(0, 0)]
#[case::again_and_again(6, 1)]
fn home_that_times_out_is_avoided(#[case] timeouts: usize, #[case] rank: usize) {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let sent = choose(pool(&service), &requirements(&service, None), now).unwrap();
    let expected = sent.expectation.wait + sent.expectation.work.if_fetched;
    for _ in 0..timeouts {
        sent.note_timeout(now, expected * 10);
    }
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.rank, rank, "{:?}", choice.expectation);
    let later = now + Duration::from_secs(30);
    let choice = choose(pool(&service), &requirements(&service, None), later).unwrap();
    assert_eq!(choice.rank, 0, "the first home is used again");
}

#[test]
fn unusable_home_is_skipped() {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    let home = member(&service, &first);
    home.state().answered(now, AnswerOutcome::Unreachable);
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    let later = now + Duration::from_secs(20);
    let choice = choose(pool(&service), &requirements(&service, None), later).unwrap();
    assert_eq!(choice.upstream.report.id, first, "the ejection is over");
}

/// A zone is down: two of its upstreams failed, and no request was sent to the object's
/// home.
#[test]
fn upstreams_of_a_suspected_zone_rank_last() {
    let now = Instant::now();
    let service = service(6, Duration::ZERO, now);
    let (first, _) = homes(6, now);
    let pool = pool(&service);
    let is_home = |upstream: &&Arc<Upstream>| upstream.report.id == first;
    let home = pool.upstreams.iter().find(is_home).unwrap();
    let others = pool.upstreams.iter();
    let other = others
        .into_iter()
        .find(|o| o.report.zone != home.report.zone);
    let fail_zone = |upstream: &Upstream| {
        for id in ["i-x", "i-y"] {
            upstream
                .zone()
                .answered(now, id, AnswerOutcome::Unreachable);
        }
    };
    fail_zone(home);
    let choice = choose(pool, &requirements(&service, None), now).unwrap();
    assert_ne!(choice.upstream.report.zone, home.report.zone);
    fail_zone(other.unwrap());
    let choice = choose(pool, &requirements(&service, None), now).unwrap();
    let selected_zone = choice.upstream.report.zone.clone();
    assert_ne!(
        selected_zone, home.report.zone,
        "the upstream holds the object by now"
    );
    let fresh = self::service(6, Duration::ZERO, now);
    let upstreams = &fresh.regions["costa"].upstreams;
    upstreams.iter().for_each(|upstream| fail_zone(upstream));
    let choice = choose(&fresh.regions["costa"], &requirements(&fresh, None), now).unwrap();
    assert_eq!(
        choice.upstream.report.id, first,
        "all zones are suspected alike"
    );
}

#[test]
fn joining_and_leaving_upstreams_move_only_their_own_objects() {
    let now = Instant::now();
    let (all, fewer) = (
        service(10, Duration::ZERO, now),
        service(9, Duration::ZERO, now),
    );
    let home = |service: &ServicePool, object: u64| {
        let requirements = Requirements {
            object,
            ..requirements(service, None)
        };
        choose(pool(service), &requirements, now)
            .unwrap()
            .upstream
            .report
            .id
            .clone()
    };
    let objects = 0..500u64;
    let moved = objects.filter(|object| {
        let before = home(&all, *object);
        before != "i-9" && before != home(&fewer, *object)
    });
    assert_eq!(
        moved.count(),
        0,
        "only the objects of the removed upstream may move"
    );
}

#[rstest]
#[case::hosts_not_known(None, 0)]
#[case::alone(Some(1), 3)]
#[case::one_of_three(Some(3), 1)]
fn cold_upstream_gets_at_most_this_hosts_share(
    #[case] hosts: Option<usize>,
    #[case] accepted: usize,
) {
    let now = Instant::now();
    let service = service(1, Duration::from_secs(3), now);
    let hosts = hosts.map(|count| (1..=count).map(|n| format!("h{n}")).collect::<Vec<_>>());
    let requirements = requirements(&service, hosts.as_deref());
    let sent = (0..10).filter(|_| choose(pool(&service), &requirements, now).is_ok());
    assert_eq!(sent.count(), accepted);
    let warm = now + Duration::from_secs(4);
    assert!(choose(pool(&service), &requirements, warm).is_ok());
}

/// One host of 98 happens to have a request in flight at an object's home. Extrapolated to
/// 97 other hosts, this sample alone would fill the home; reports of other upstreams show
/// that the load is low.
#[test]
fn single_own_request_does_not_make_a_home_look_full() {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, _) = homes(5, now);
    for upstream in &pool(&service).upstreams {
        if upstream.report.id != first {
            upstream.load_reported(now, 1, 0);
        }
    }
    let home = member(&service, &first);
    home.state().request_sent(now);
    home.state().sent_objects.sent(now, 42);
    let hosts: Vec<String> = (1..=98).map(|n| format!("h{n}")).collect();
    let soon = now + Duration::from_millis(600);
    let choice = choose(pool(&service), &requirements(&service, Some(&hosts)), soon).unwrap();
    assert_eq!(choice.upstream.report.id, first, "{:?}", choice.expectation);
    assert!(choice.load < f64::from(SLOTS), "{}", choice.load);
}

#[test]
fn pool_utilization_is_that_of_its_upstreams() {
    let now = Instant::now();
    let service = service(4, Duration::ZERO, now);
    for upstream in &pool(&service).upstreams {
        upstream.load_reported(now, 1, 0);
    }
    let utilization = pool(&service).utilization(now, 98, None);
    assert!(
        (utilization - 1.0 / f64::from(SLOTS)).abs() < 0.01,
        "{utilization}"
    );
    let lost = &pool(&service).upstreams[0];
    lost.state().answered(now, AnswerOutcome::Unreachable);
    let utilization = pool(&service).utilization(now, 98, None);
    assert!(
        (utilization - 0.5).abs() < 0.01,
        "an unusable upstream counts as full: {utilization}"
    );
}

#[test]
fn silent_upstream_gets_no_more_requests() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, second) = homes(2, now);
    member(&service, &first).state().request_sent(now);
    let later = now + Duration::from_secs(2);
    let choice = choose(pool(&service), &requirements(&service, None), later).unwrap();
    assert_eq!(choice.upstream.report.id, second);
}

/// Work that takes 2.2 s on an object that is not held.
#[rstest]
#[case::still_fetching(3, 0)]
#[case::half_as_long_again(4, 1)]
fn long_work_does_not_count_as_silence(#[case] silent_s: u64, #[case] rank: usize) {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, _) = homes(2, now);
    let mut home = member(&service, &first).state();
    home.request_sent(now);
    home.note_expected_work(Duration::from_millis(2_200));
    drop(home);
    let later = now + Duration::from_secs(silent_s);
    let choice = choose(pool(&service), &requirements(&service, None), later).unwrap();
    assert_eq!(choice.rank, rank);
}
