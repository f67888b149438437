//! Who is chosen where upstreams have said that they leave, or want rest.

mod route_world;

use std::time::{Duration, Instant};

use route_world::{choose, homes, load, member, pool, service, wish};
use rstest::rstest;
use steering::route::{AnswerOutcome, Requirements, UnavailableCause};
use steering::statement::Obstacle;

const REST: Duration = Duration::from_secs(3);

/// What the first and the second home of an object have said, and which of them gets it.
#[rstest]
#[case::first_leaves(&[true], &[], Some(1))]
#[case::first_rests(&[], &[REST], Some(1))]
#[case::both_leave(&[true, true], &[], Some(2))]
#[case::one_leaves_and_one_rests(&[true], &[Duration::ZERO, REST], Some(2))]
fn a_home_that_leaves_or_rests_is_passed_over(
    #[case] leave: &[bool],
    #[case] rest: &[Duration],
    #[case] rank: Option<usize>,
) {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    let homes = [&first, &second];
    for (home, _) in homes.iter().zip(leave) {
        member(&service, home).state().statements.leave(now);
    }
    for (home, rest) in homes.iter().zip(rest) {
        member(&service, home).state().statements.rest(now, *rest);
    }
    let choice = choose(pool(&service), &wish(&service, None), now).unwrap();
    assert_eq!(Some(choice.rank), rank);
    let passed_over: Vec<&String> = homes.into_iter().take(choice.rank).collect();
    assert_eq!(choice.passed_over.iter().collect::<Vec<_>>(), passed_over);
}

/// What all upstreams of a region have said, and what is lacking then.
#[rstest]
#[case::all_leave(3, 0, 0, UnavailableCause::Unreachable)]
#[case::all_rest(0, 3, 0, UnavailableCause::Resting)]
#[case::some_leave_and_the_others_rest(2, 1, 0, UnavailableCause::Resting)]
#[case::one_rests_and_the_others_fail(0, 1, 2, UnavailableCause::Resting)]
#[case::all_fail(0, 0, 3, UnavailableCause::Unreachable)]
fn what_is_lacking_where_none_may_be_asked(
    #[case] leave: usize,
    #[case] rest: usize,
    #[case] fail: usize,
    #[case] lack: UnavailableCause,
) {
    let now = Instant::now();
    for by_object in [true, false] {
        let service = service(leave + rest + fail, Duration::ZERO, now);
        for (place, upstream) in pool(&service).upstreams.iter().enumerate() {
            let mut condition = upstream.state();
            match place {
                _ if place < leave => drop(condition.statements.leave(now)),
                _ if place < leave + rest => drop(condition.statements.rest(now, REST)),
                _ => condition.answered(now, AnswerOutcome::Unreachable),
            }
        }
        let wish = Requirements {
            by_object,
            ..wish(&service, None)
        };
        let no_room = choose(pool(&service), &wish, now).unwrap_err();
        assert_eq!(no_room.cause, lack);
        let waits_for_rest = no_room.retry_after >= REST;
        assert_eq!(
            waits_for_rest,
            lack == UnavailableCause::Resting,
            "{no_room:?}"
        );
    }
}

#[test]
fn one_that_has_room_is_full_whoever_rests_beside_it() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, second) = homes(2, now);
    member(&service, &first).state().statements.rest(now, REST);
    load(&service, &second, 30, now);
    let no_room = choose(pool(&service), &wish(&service, None), now).unwrap_err();
    assert_eq!(
        (no_room.cause, no_room.passed_over),
        (UnavailableCause::Full, vec![first])
    );
}

#[test]
fn who_is_just_back_from_a_rest_gets_one_request_and_callers_come_back_soon() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let only = &pool(&service).upstreams[0];
    only.state().statements.rest(now, REST);
    let over = now + REST;
    let choice = choose(pool(&service), &wish(&service, None), over).unwrap();
    choice.upstream.state().request_sent(over);
    let no_room = choose(pool(&service), &wish(&service, None), over).unwrap_err();
    assert_eq!(no_room.cause, UnavailableCause::Resting);
    assert!(no_room.retry_after < REST, "{no_room:?}");
}

/// A zone whose upstreams fail together is asked last, and one of its own that rests is not
/// asked even then.
#[test]
fn who_rests_is_no_last_resort_in_a_doubted_zone() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    for upstream in &pool(&service).upstreams {
        for id in ["a", "b"] {
            upstream
                .zone()
                .answered(now, id, AnswerOutcome::Unreachable);
        }
    }
    let (first, second) = homes(2, now);
    member(&service, &first).state().statements.rest(now, REST);
    let choice = choose(pool(&service), &wish(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    member(&service, &second).state().statements.rest(now, REST);
    assert!(choose(pool(&service), &wish(&service, None), now).is_err());
}

/// Resting slots are taken, not lost: the share moves by steps, and the region is not left.
#[test]
fn slots_that_rest_are_no_room() {
    let now = Instant::now();
    let service = service(4, Duration::ZERO, now);
    assert_eq!(pool(&service).utilization(now, 1, None), 0.0);
    for upstream in &pool(&service).upstreams[..2] {
        upstream.state().statements.rest(now, REST);
    }
    assert_eq!(pool(&service).utilization(now, 1, None), 0.5);
    assert_eq!(service.statement_counts(now).resting, 2);
    assert_eq!(pool(&service).utilization(now + REST, 1, None), 0.0);
}

/// What an upstream says or does.
#[derive(Debug, Clone, Copy)]
enum Then {
    Nothing,
    Leaves,
    Rests,
    IsReplaced,
    Fails,
}

/// What happens after a request was chosen, while it waits for a connection.
#[rstest]
#[case::nothing(Then::Nothing, None)]
#[case::leaves(Then::Leaves, Some(Obstacle::Leaves))]
#[case::wants_rest(Then::Rests, Some(Obstacle::Rests(REST)))]
#[case::is_replaced(Then::IsReplaced, Some(Obstacle::Replaced))]
#[case::fails_others(Then::Fails, None)]
fn a_request_that_waits_is_not_sent_to_who_has_said_no_since(
    #[case] then: Then,
    #[case] barred: Option<Obstacle>,
) {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let choice = choose(pool(&service), &wish(&service, None), now).unwrap();
    let mut condition = choice.upstream.state();
    condition.request_sent(now);
    match then {
        Then::Nothing => {}
        Then::Leaves => assert!(condition.statements.leave(now)),
        Then::Rests => assert!(condition.statements.rest(now, REST)),
        Then::IsReplaced => condition.replaced(),
        Then::Fails => condition.answered(now, AnswerOutcome::Unreachable),
    }
    drop(condition);
    assert_eq!(choice.new_obstacle(now), barred);
}

#[test]
fn the_first_request_after_a_rest_does_not_bar_itself() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let only = &pool(&service).upstreams[0];
    only.state().statements.rest(now, REST);
    let choice = choose(pool(&service), &wish(&service, None), now + REST).unwrap();
    choice.upstream.state().request_sent(now + REST);
    assert_eq!(choice.new_obstacle(now + REST), None);
}
