//! Who is chosen where upstreams name limits.

mod route_world;

use std::time::{Duration, Instant};

use route_world::{GOAL, choose, homes, member, pool, service, wish};
use rstest::rstest;
use steering::route::{Requirements, ServicePool, UnavailableCause, UpstreamState};
use steering::statement::{LimitChange, Obstacle};

const MS: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_millis(700);

fn name_limit(service: &ServicePool, id: &str, now: Instant, per_s: f64) {
    let upstream = member(service, id);
    upstream.state().statements.limit(now, now, Some(per_s));
}

fn run_dry(service: &ServicePool, id: &str, now: Instant, wait: Duration) {
    name_limit(service, id, now, 4.0);
    let upstream = member(service, id);
    upstream.state().statements.limit_exhausted(now, wait);
}

#[test]
fn a_home_without_a_token_is_passed_over_until_there_is_one() {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    run_dry(&service, &first, now, WAIT);
    let choice = choose(pool(&service), &wish(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    assert_eq!(choice.passed_over, std::slice::from_ref(&first));
    let limits = member(&service, &first).state().obstacle(now + WAIT);
    assert_eq!(limits, None);
}

#[test]
fn where_all_are_at_their_limits_the_region_is_not_left_and_callers_hear_when() {
    let now = Instant::now();
    let service = service(3, Duration::ZERO, now);
    let (first, _) = homes(3, now);
    for upstream in &pool(&service).upstreams {
        run_dry(&service, &upstream.report.id, now, 2 * WAIT);
    }
    run_dry(&service, &first, now, WAIT);
    let refused = || choose(pool(&service), &wish(&service, None), now).unwrap_err();
    let no_room = refused();
    assert_eq!(no_room.cause, UnavailableCause::RateLimited);
    assert!(no_room.is_reachable());
    assert_eq!(no_room.retry_after, WAIT);
    let later = refused();
    assert!(
        later.retry_spread > no_room.retry_spread,
        "they come back apart"
    );
    let many = (0..1_000).map(|_| refused().retry_spread).max();
    assert_eq!(many, Some(Duration::from_secs(5)));
}

#[rstest]
#[case::a_rest_ends_first(Duration::from_millis(100), UnavailableCause::Resting)]
#[case::a_token_comes_first(Duration::from_secs(9), UnavailableCause::RateLimited)]
fn of_rests_and_limits_the_earlier_end_is_told(
    #[case] rest: Duration,
    #[case] lack: UnavailableCause,
) {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, second) = homes(2, now);
    run_dry(&service, &first, now, WAIT);
    member(&service, &second).state().statements.rest(now, rest);
    let no_room = choose(pool(&service), &wish(&service, None), now).unwrap_err();
    assert_eq!(no_room.cause, lack);
}

/// A request that was chosen before the limit was heard, and waits for a connection.
#[test]
fn what_was_chosen_before_the_limit_was_heard_needs_a_token() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let choice = choose(pool(&service), &wish(&service, None), now).unwrap();
    assert_eq!(choice.limit(now), None);
    let id = choice.upstream.report.id.clone();
    name_limit(&service, &id, now, 4.0);
    assert_eq!(
        choice.new_obstacle(now),
        Some(Obstacle::LimitExhausted(Duration::ZERO))
    );
    let with_token = steering::route::Choice {
        has_token: true,
        ..choice
    };
    run_dry(&service, &id, now, WAIT);
    assert_eq!(with_token.new_obstacle(now), None, "others have none");
    member(&service, &id).state().statements.leave(now);
    assert_eq!(with_token.new_obstacle(now), Some(Obstacle::Leaves));
}

#[test]
fn one_that_is_asked_once_more_needs_another_token() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    for _ in 0..10 {
        condition.answered(now, steering::route::AnswerOutcome::Complete);
    }
    condition.statements.limit(now, now, Some(4.0));
    assert!(condition.allows_retry(now));
    condition.statements.limit_exhausted(now, WAIT);
    assert!(!condition.allows_retry(now));
}

/// Objects that stay with their first home, of many that have it.
fn kept(service: &ServicePool, first: &str, now: Instant) -> (Vec<u64>, usize) {
    let quiet = route_world::service(4, Duration::ZERO, now);
    let of = |service: &ServicePool, object: u64| {
        let wish = Requirements {
            object,
            ..wish(service, None)
        };
        let choice = choose(pool(service), &wish, now).unwrap();
        choice.upstream.report.id.clone()
    };
    let objects: Vec<u64> = (0..4_000).filter(|o| of(&quiet, *o) == first).collect();
    let stay = objects.iter().copied().filter(|o| of(service, *o) == first);
    (stay.collect(), objects.len())
}

#[test]
fn objects_beyond_a_limit_go_elsewhere_whole_and_the_others_stay() {
    let now = Instant::now();
    let (first, _) = homes(4, now);
    let usual_s = 0.2;
    let limited = |per_s: f64| {
        let service = service(4, Duration::ZERO, now);
        for upstream in &pool(&service).upstreams {
            // Two of three slots: ten requests a second.
            upstream.load_reported(now, 2, 0);
        }
        name_limit(&service, &first, now, per_s);
        service
    };
    let asked_per_s = 2.0 / usual_s;
    for per_s in [2.0, 4.0] {
        let (stay, all) = kept(&limited(per_s), &first, now);
        let share = stay.len() as f64 / all as f64;
        let wanted = 1.5 * per_s / asked_per_s;
        assert!(
            share >= wanted * 0.9 && share <= wanted + 0.2,
            "{share} of {wanted}"
        );
    }
    // What a lower limit keeps a higher one keeps too: nothing else moves.
    let (few, _) = kept(&limited(2.0), &first, now);
    let (many, _) = kept(&limited(4.0), &first, now);
    assert!(few.iter().all(|object| many.contains(object)));
}

#[test]
fn where_no_other_is_left_all_objects_stay() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    name_limit(&service, "i-0", now, 0.25);
    for object in 0..100 {
        let wish = Requirements {
            object,
            ..wish(&service, None)
        };
        assert!(choose(pool(&service), &wish, now).is_ok());
    }
}

#[test]
fn room_is_the_lesser_of_slots_and_limit() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let usual = Some(GOAL / 2);
    assert_eq!(pool(&service).capacity(now, usual), 6.0);
    name_limit(&service, "i-0", now, 5.0);
    assert_eq!(pool(&service).capacity(now, usual), 4.0);
    name_limit(&service, "i-0", now, 5_000.0);
    assert_eq!(pool(&service).capacity(now, usual), 6.0);
    assert_eq!(service.statement_counts(now).limiting, 1);
    // Without a token it is as full as it may be, not lost.
    run_dry(&service, "i-0", now, WAIT);
    assert!(pool(&service).utilization(now, 1, usual) < 0.5);
}

#[test]
fn a_limit_that_was_not_heard_for_long_keeps_no_objects_away() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let usual = Some(GOAL / 2);
    name_limit(&service, "i-0", now, 5.0);
    let later = now + Duration::from_secs(6);
    assert_eq!(pool(&service).capacity(later, usual), 6.0);
    let choice = member(&service, "i-0");
    assert!(
        choice.state().statements.known_limit(later).is_some(),
        "it still binds"
    );
}

/// When the request was sent of an answer that names no limit, against the last that did.
#[rstest]
#[case::before(0, None)]
#[case::as_it_came(10, Some(LimitChange::Ended))]
#[case::after(20, Some(LimitChange::Ended))]
fn a_limit_ends_with_an_answer_that_is_surely_later(
    #[case] sent_ms: u32,
    #[case] change: Option<LimitChange>,
) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    let stated = &mut condition.statements;
    let heard = now + 10 * MS;
    assert_eq!(
        stated.limit(heard, now, Some(4.8)),
        Some(LimitChange::Named)
    );
    assert_eq!(stated.limit(heard, now, Some(4.8)), None, "it is known");
    assert_eq!(
        stated.limit(heard + 30 * MS, now + sent_ms * MS, None),
        change
    );
    assert_eq!(stated.known_limit(heard).is_some(), change.is_none());
}

#[test]
fn another_limit_takes_the_place_of_the_first() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.statements.limit(now, now, Some(4.8));
    condition.statements.limit_exhausted(now, WAIT);
    let change = condition.statements.limit(now + MS, now, Some(2.0));
    assert_eq!(change, Some(LimitChange::Named));
    assert_eq!(
        condition.statements.known_limit(now + MS).unwrap().per_s,
        2.0
    );
    assert!(
        condition.obstacle(now + MS).is_some(),
        "tokens are as scarce"
    );
    assert!(condition.statements.is_remembered(now + WAIT));
    assert!(!condition.statements.is_remembered(now + 100 * WAIT));
}
