//! Selection among upstreams that are shutting down or have asked for rest.

mod route_world;

use std::time::{Duration, Instant};

use route_world::{choose, homes, load, member, pool, requirements, service};
use rstest::rstest;
use steering::route::{AnswerOutcome, Requirements, UnavailableCause};
use steering::statement::Obstacle;

const REST: Duration = Duration::from_secs(3);

/// Statements of the first and the second home of an object, and the rank of the selected
/// upstream.
#[rstest]
#[case::first_leaves(&[true], &[], Some(1))]
#[case::first_rests(&[], &[REST], Some(1))]
#[case::both_leave(&[true, true], &[], Some(2))]
#[case::one_leaves_and_one_rests(&[true], &[Duration::ZERO, REST], Some(2))]
fn leaving_or_resting_home_is_skipped(
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
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(Some(choice.rank), rank);
    let passed_over: Vec<&String> = homes.into_iter().take(choice.rank).collect();
    assert_eq!(choice.passed_over.iter().collect::<Vec<_>>(), passed_over);
}

/// Statements of all upstreams of a region, and the cause of the refusal.
#[rstest]
#[case::all_leave(3, 0, 0, UnavailableCause::Unreachable)]
#[case::all_rest(0, 3, 0, UnavailableCause::Resting)]
#[case::some_leave_and_the_others_rest(2, 1, 0, UnavailableCause::Resting)]
#[case::one_rests_and_the_others_fail(0, 1, 2, UnavailableCause::Resting)]
#[case::all_fail(0, 0, 3, UnavailableCause::Unreachable)]
fn cause_if_no_upstream_may_be_used(
    #[case] leave: usize,
    #[case] rest: usize,
    #[case] fail: usize,
    #[case] cause: UnavailableCause,
) {
    let now = Instant::now();
    for by_object in [true, false] {
        let service = service(leave + rest + fail, Duration::ZERO, now);
        for (index, upstream) in pool(&service).upstreams.iter().enumerate() {
            let mut state = upstream.state();
            match index {
                _ if index < leave => drop(state.statements.leave(now)),
                _ if index < leave + rest => drop(state.statements.rest(now, REST)),
                _ => state.answered(now, AnswerOutcome::Unreachable),
            }
        }
        let requirements = Requirements {
            by_object,
            ..requirements(&service, None)
        };
        let unavailable = choose(pool(&service), &requirements, now).unwrap_err();
        assert_eq!(unavailable.cause, cause);
        let waits_for_rest = unavailable.retry_after >= REST;
        assert_eq!(
            waits_for_rest,
            cause == UnavailableCause::Resting,
            "{unavailable:?}"
        );
    }
}

#[test]
fn full_upstream_is_the_cause_even_if_another_rests() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, second) = homes(2, now);
    member(&service, &first).state().statements.rest(now, REST);
    load(&service, &second, 30, now);
    let unavailable = choose(pool(&service), &requirements(&service, None), now).unwrap_err();
    assert_eq!(
        (unavailable.cause, unavailable.passed_over),
        (UnavailableCause::Full, vec![first])
    );
}

#[test]
fn upstream_back_from_rest_gets_one_request_and_retries_come_soon() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let only = &pool(&service).upstreams[0];
    only.state().statements.rest(now, REST);
    let rest_end = now + REST;
    let choice = choose(pool(&service), &requirements(&service, None), rest_end).unwrap();
    choice.upstream.state().request_sent(rest_end);
    let unavailable = choose(pool(&service), &requirements(&service, None), rest_end).unwrap_err();
    assert_eq!(unavailable.cause, UnavailableCause::Resting);
    assert!(unavailable.retry_after < REST, "{unavailable:?}");
}

/// A zone whose upstreams fail together is a fallback, but its resting upstreams are not
/// used even then.
#[test]
fn resting_upstream_is_no_fallback_in_a_suspected_zone() {
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
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    member(&service, &second).state().statements.rest(now, REST);
    assert!(choose(pool(&service), &requirements(&service, None), now).is_err());
}

/// Resting slots count as in use and not as lost, so the region's share moves in steps and
/// the region stays in use.
#[test]
fn resting_slots_count_as_in_use() {
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

/// What an upstream declares or does after the selection.
#[derive(Debug, Clone, Copy)]
enum Event {
    Nothing,
    Leaves,
    Rests,
    IsReplaced,
    Fails,
}

/// Event between the selection and the send, while the request waits for a connection.
#[rstest]
#[case::nothing(Event::Nothing, None)]
#[case::leaves(Event::Leaves, Some(Obstacle::Leaves))]
#[case::wants_rest(Event::Rests, Some(Obstacle::Rests(REST)))]
#[case::is_replaced(Event::IsReplaced, Some(Obstacle::Replaced))]
#[case::fails_others(Event::Fails, None)]
fn waiting_request_is_not_sent_after_a_new_statement(
    #[case] event: Event,
    #[case] blocking: Option<Obstacle>,
) {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    let mut state = choice.upstream.state();
    state.request_sent(now);
    match event {
        Event::Nothing => {}
        Event::Leaves => assert!(state.statements.leave(now)),
        Event::Rests => assert!(state.statements.rest(now, REST)),
        Event::IsReplaced => state.replaced(),
        Event::Fails => state.answered(now, AnswerOutcome::Unreachable),
    }
    drop(state);
    assert_eq!(choice.new_obstacle(now), blocking);
}

#[test]
fn first_request_after_a_rest_is_not_blocked_by_itself() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let only = &pool(&service).upstreams[0];
    only.state().statements.rest(now, REST);
    let choice = choose(pool(&service), &requirements(&service, None), now + REST).unwrap();
    choice.upstream.state().request_sent(now + REST);
    assert_eq!(choice.new_obstacle(now + REST), None);
}
