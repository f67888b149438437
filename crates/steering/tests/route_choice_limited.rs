//! Selection among upstreams that declare rate limits.

mod route_world;

use std::time::{Duration, Instant};

use route_world::{GOAL, choose, homes, member, pool, requirements, service};
use rstest::rstest;
use steering::route::{Requirements, ServicePool, UnavailableCause, UpstreamState};
use steering::statement::{LimitChange, Obstacle};

const MS: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_millis(700);

fn declare_limit(service: &ServicePool, id: &str, now: Instant, per_s: f64) {
    let upstream = member(service, id);
    upstream.state().statements.limit(now, now, Some(per_s));
}

fn exhaust_tokens(service: &ServicePool, id: &str, now: Instant, wait: Duration) {
    declare_limit(service, id, now, 4.0);
    let upstream = member(service, id);
    upstream.state().statements.limit_exhausted(now, wait);
}

#[test]
fn home_without_token_is_skipped_until_the_next_token() {
    let now = Instant::now();
    let service = service(5, Duration::ZERO, now);
    let (first, second) = homes(5, now);
    exhaust_tokens(&service, &first, now, WAIT);
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.upstream.report.id, second);
    assert_eq!(choice.passed_over, std::slice::from_ref(&first));
    let limits = member(&service, &first).state().obstacle(now + WAIT);
    assert_eq!(limits, None);
}

#[test]
fn rate_limited_region_stays_reachable_and_returns_a_retry_time() {
    let now = Instant::now();
    let service = service(3, Duration::ZERO, now);
    let (first, _) = homes(3, now);
    for upstream in &pool(&service).upstreams {
        exhaust_tokens(&service, &upstream.report.id, now, 2 * WAIT);
    }
    exhaust_tokens(&service, &first, now, WAIT);
    let refused = || choose(pool(&service), &requirements(&service, None), now).unwrap_err();
    let unavailable = refused();
    assert_eq!(unavailable.cause, UnavailableCause::RateLimited);
    assert!(unavailable.is_reachable());
    assert_eq!(unavailable.retry_after, WAIT);
    let later = refused();
    assert!(
        later.retry_spread > unavailable.retry_spread,
        "their retries are spread"
    );
    let many = (0..1_000).map(|_| refused().retry_spread).max();
    assert_eq!(many, Some(Duration::from_secs(5)));
}

#[rstest]
#[case::a_rest_ends_first(Duration::from_millis(100), UnavailableCause::Resting)]
#[case::a_token_comes_first(Duration::from_secs(9), UnavailableCause::RateLimited)]
fn earlier_end_of_rest_and_limit_is_the_cause(
    #[case] rest: Duration,
    #[case] cause: UnavailableCause,
) {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let (first, second) = homes(2, now);
    exhaust_tokens(&service, &first, now, WAIT);
    member(&service, &second).state().statements.rest(now, rest);
    let unavailable = choose(pool(&service), &requirements(&service, None), now).unwrap_err();
    assert_eq!(unavailable.cause, cause);
}

/// The limit arrives after the selection, while the request waits for a connection.
#[test]
fn request_selected_before_the_limit_needs_a_token() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    let choice = choose(pool(&service), &requirements(&service, None), now).unwrap();
    assert_eq!(choice.limit(now), None);
    let id = choice.upstream.report.id.clone();
    declare_limit(&service, &id, now, 4.0);
    assert_eq!(
        choice.new_obstacle(now),
        Some(Obstacle::LimitExhausted(Duration::ZERO))
    );
    let with_token = steering::route::Choice {
        has_token: true,
        ..choice
    };
    exhaust_tokens(&service, &id, now, WAIT);
    assert_eq!(
        with_token.new_obstacle(now),
        None,
        "the request already holds a token"
    );
    member(&service, &id).state().statements.leave(now);
    assert_eq!(with_token.new_obstacle(now), Some(Obstacle::Leaves));
}

#[test]
fn retry_on_the_same_upstream_needs_a_token() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    for _ in 0..10 {
        state.answered(now, steering::route::AnswerOutcome::Complete);
    }
    state.statements.limit(now, now, Some(4.0));
    assert!(state.allows_retry(now));
    state.statements.limit_exhausted(now, WAIT);
    assert!(!state.allows_retry(now));
}

/// Returns the objects that stay at their first home `first`, and the number of all objects
/// with that home.
fn kept_objects(service: &ServicePool, first: &str, now: Instant) -> (Vec<u64>, usize) {
    let unlimited = route_world::service(4, Duration::ZERO, now);
    let of = |service: &ServicePool, object: u64| {
        let requirements = Requirements {
            object,
            ..requirements(service, None)
        };
        let choice = choose(pool(service), &requirements, now).unwrap();
        choice.upstream.report.id.clone()
    };
    let objects: Vec<u64> = (0..4_000).filter(|o| of(&unlimited, *o) == first).collect();
    let kept = objects.iter().copied().filter(|o| of(service, *o) == first);
    (kept.collect(), objects.len())
}

#[test]
fn objects_beyond_a_limit_move_as_a_whole() {
    let now = Instant::now();
    let (first, _) = homes(4, now);
    let usual_s = 0.2;
    let limited = |per_s: f64| {
        let service = service(4, Duration::ZERO, now);
        for upstream in &pool(&service).upstreams {
            // Two of three slots in use: ten requests per second.
            upstream.load_reported(now, 2, 0);
        }
        declare_limit(&service, &first, now, per_s);
        service
    };
    let asked_per_s = 2.0 / usual_s;
    for per_s in [2.0, 4.0] {
        let (kept, all) = kept_objects(&limited(per_s), &first, now);
        let share = kept.len() as f64 / all as f64;
        let expected = 1.5 * per_s / asked_per_s;
        assert!(
            share >= expected * 0.9 && share <= expected + 0.2,
            "{share} of {expected}"
        );
    }
    // A higher limit keeps all objects that a lower one keeps, so no others move.
    let (few, _) = kept_objects(&limited(2.0), &first, now);
    let (many, _) = kept_objects(&limited(4.0), &first, now);
    assert!(few.iter().all(|object| many.contains(object)));
}

#[test]
fn objects_stay_if_there_is_no_other_upstream() {
    let now = Instant::now();
    let service = service(1, Duration::ZERO, now);
    declare_limit(&service, "i-0", now, 0.25);
    for object in 0..100 {
        let requirements = Requirements {
            object,
            ..requirements(&service, None)
        };
        assert!(choose(pool(&service), &requirements, now).is_ok());
    }
}

#[test]
fn capacity_is_the_minimum_of_slots_and_limit() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let usual = Some(GOAL / 2);
    assert_eq!(pool(&service).capacity(now, usual), 6.0);
    declare_limit(&service, "i-0", now, 5.0);
    assert_eq!(pool(&service).capacity(now, usual), 4.0);
    declare_limit(&service, "i-0", now, 5_000.0);
    assert_eq!(pool(&service).capacity(now, usual), 6.0);
    assert_eq!(service.statement_counts(now).limiting, 1);
    // An upstream without a token counts as full at its capacity, not as lost.
    exhaust_tokens(&service, "i-0", now, WAIT);
    assert!(pool(&service).utilization(now, 1, usual) < 0.5);
}

#[test]
fn old_limit_moves_no_objects() {
    let now = Instant::now();
    let service = service(2, Duration::ZERO, now);
    let usual = Some(GOAL / 2);
    declare_limit(&service, "i-0", now, 5.0);
    let later = now + Duration::from_secs(6);
    assert_eq!(pool(&service).capacity(later, usual), 6.0);
    let choice = member(&service, "i-0");
    assert!(
        choice.state().statements.known_limit(later).is_some(),
        "the limit still applies"
    );
}

/// Time at which the request was sent whose answer declares no limit, relative to the last
/// answer that did.
#[rstest]
#[case::before(0, None)]
#[case::as_it_came(10, Some(LimitChange::Ended))]
#[case::after(20, Some(LimitChange::Ended))]
fn limit_ends_only_with_an_answer_to_a_later_request(
    #[case] sent_ms: u32,
    #[case] change: Option<LimitChange>,
) {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    let statements = &mut state.statements;
    let received = now + 10 * MS;
    assert_eq!(
        statements.limit(received, now, Some(4.8)),
        Some(LimitChange::Named)
    );
    assert_eq!(
        statements.limit(received, now, Some(4.8)),
        None,
        "the limit is unchanged"
    );
    assert_eq!(
        statements.limit(received + 30 * MS, now + sent_ms * MS, None),
        change
    );
    assert_eq!(statements.known_limit(received).is_some(), change.is_none());
}

#[test]
fn new_limit_replaces_the_previous_one() {
    let now = Instant::now();
    let mut state = UpstreamState::default();
    state.statements.limit(now, now, Some(4.8));
    state.statements.limit_exhausted(now, WAIT);
    let change = state.statements.limit(now + MS, now, Some(2.0));
    assert_eq!(change, Some(LimitChange::Named));
    assert_eq!(state.statements.known_limit(now + MS).unwrap().per_s, 2.0);
    assert!(
        state.obstacle(now + MS).is_some(),
        "the tokens stay exhausted"
    );
    assert!(state.statements.is_remembered(now + WAIT));
    assert!(!state.statements.is_remembered(now + 100 * WAIT));
}
