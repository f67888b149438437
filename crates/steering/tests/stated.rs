//! Statements of an upstream apply until they end, whatever else is observed of the upstream.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{AnswerOutcome, UpstreamState};
use steering::statement::{ActiveStatements, Obstacle};

const MS: Duration = Duration::from_millis(1);
const REST: Duration = Duration::from_secs(3);
/// Duration of a short request.
const REQUEST_TIME: Duration = Duration::from_millis(200);

fn send(condition: &mut UpstreamState, at: Instant) -> Instant {
    condition.request_sent(at);
    at
}

/// Applies the head of an answer to a request sent at `sent`, as a host does.
fn answer(condition: &mut UpstreamState, sent: Instant, at: Instant, answered: AnswerOutcome) {
    condition.answered(at, answered);
    if answered.proves_alive() {
        condition.statements.answered(sent);
    }
    condition.statements.unanswered(sent);
    condition.request_ended(at);
}

/// Outcomes that may follow a statement and must not revoke it.
#[rstest]
#[case::an_answer(AnswerOutcome::Complete)]
#[case::a_refusal(AnswerOutcome::Refused)]
#[case::a_failure(AnswerOutcome::Unreachable)]
#[case::a_broken_answer(AnswerOutcome::Broken)]
#[case::a_caller_that_left(AnswerOutcome::Unknown)]
fn outcomes_of_earlier_requests_revoke_no_statement(#[case] answered: AnswerOutcome) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    let sent = send(&mut condition, now);
    condition.statements.rest(now + MS, REST);
    answer(&mut condition, sent, now + 2 * MS, answered);
    let obstacle = condition.obstacle(now + 3 * MS);
    assert_eq!(obstacle, Some(Obstacle::Rests(REST - 2 * MS)));
    condition.statements.leave(now + 3 * MS);
    let sent = send(&mut condition, now);
    answer(&mut condition, sent, now + REST, answered);
    let much_later = now + 1_000 * REST;
    assert_eq!(condition.obstacle(much_later), Some(Obstacle::Leaves));
    assert!(!condition.allows_retry(much_later));
}

#[test]
fn failures_do_not_extend_a_rest_and_rests_do_not_extend_a_pause() {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    condition.statements.rest(now, REST);
    for _ in 0..10 {
        condition.answered(now, AnswerOutcome::Refused);
        condition.statements.rest(now, REST);
    }
    assert_eq!(condition.obstacle(now), Some(Obstacle::Rests(REST)));
    assert_eq!(condition.obstacle(now + REST), None);
    condition.answered(now + REST, AnswerOutcome::Unreachable);
    assert_eq!(condition.obstacle(now + REST), Some(Obstacle::Failed));
    assert_eq!(condition.obstacle(now + REST + 500 * MS), None);
}

#[rstest]
#[case::a_longer_one(REST, Duration::ZERO, 2 * REST, 2 * REST)]
#[case::a_shorter_one(2 * REST, Duration::ZERO, REST, 2 * REST)]
#[case::a_later_end(REST, REST / 2, REST, REST + REST / 2)]
#[case::none(REST, REST / 2, Duration::ZERO, REST)]
fn of_overlapping_rests_the_later_end_applies(
    #[case] first: Duration,
    #[case] after: Duration,
    #[case] second: Duration,
    #[case] rest_end: Duration,
) {
    let now = Instant::now();
    let mut statements = ActiveStatements::default();
    statements.rest(now, first);
    statements.rest(now + after, second);
    assert!(matches!(
        statements.obstacle(now + rest_end - MS),
        Some(Obstacle::Rests(_))
    ));
    assert_eq!(statements.obstacle(now + rest_end), None);
}

/// Outcomes of the first request after a rest, and the obstacle that follows.
#[rstest]
#[case::answered(AnswerOutcome::Complete, None, None)]
#[case::full(AnswerOutcome::Refused, None, None)]
#[case::rests_again(AnswerOutcome::Refused, Some(REST), Some(Obstacle::Rests(REST)))]
#[case::not_reached(AnswerOutcome::Unreachable, None, Some(Obstacle::Failed))]
#[case::broken(AnswerOutcome::Broken, None, None)]
#[case::its_caller_left(AnswerOutcome::Unknown, None, None)]
fn the_first_answer_after_a_rest_decides(
    #[case] answered: AnswerOutcome,
    #[case] rest: Option<Duration>,
    #[case] obstacle: Option<Obstacle>,
) {
    let now = Instant::now();
    let mut condition = UpstreamState::default();
    let earlier = send(&mut condition, now);
    condition.statements.rest(now, REST);
    let rest_end = now + REST;
    let trial = send(&mut condition, rest_end);
    assert_eq!(condition.obstacle(rest_end), Some(Obstacle::TrialPending));
    answer(
        &mut condition,
        earlier,
        rest_end + MS,
        AnswerOutcome::Complete,
    );
    let still = condition.obstacle(rest_end + MS);
    assert_eq!(
        still,
        Some(Obstacle::TrialPending),
        "the answer belongs to an earlier request"
    );
    let ended = rest_end + REQUEST_TIME;
    if let Some(rest) = rest {
        condition.statements.rest(ended, rest);
    }
    answer(&mut condition, trial, ended, answered);
    assert_eq!(condition.obstacle(ended), obstacle);
}

/// Nine hosts with twenty requests each wait for the end of the same rest. Without a trial all 180
/// requests would be sent at the same moment.
#[test]
fn each_host_sends_one_trial_at_the_end_of_a_rest() {
    const HOSTS: usize = 9;
    const WAITING: usize = 20;
    let now = Instant::now();
    let rest_end = now + REST;
    let mut sent_at_once = 0;
    let mut sent_later = 0;
    for _ in 0..HOSTS {
        let mut condition = UpstreamState::default();
        condition.statements.rest(now, REST);
        for _ in 0..WAITING {
            if condition.is_usable(rest_end) {
                send(&mut condition, rest_end);
                sent_at_once += 1;
            }
        }
        answer(
            &mut condition,
            rest_end,
            rest_end + REQUEST_TIME,
            AnswerOutcome::Complete,
        );
        for _ in 0..WAITING {
            if condition.is_usable(rest_end + REQUEST_TIME) {
                send(&mut condition, rest_end + REQUEST_TIME);
                sent_later += 1;
            }
        }
    }
    assert_eq!((sent_at_once, sent_later), (HOSTS, HOSTS * WAITING));
}

/// Obstacles that block a request whose upstream was chosen earlier.
#[rstest]
#[case::replaced(Obstacle::Replaced, true)]
#[case::leaves(Obstacle::Leaves, true)]
#[case::rests(Obstacle::Rests(MS), true)]
#[case::is_itself_the_first(Obstacle::TrialPending, false)]
#[case::failed(Obstacle::Failed, false)]
#[case::silent(Obstacle::Silent, false)]
fn statements_block_requests_chosen_earlier(#[case] obstacle: Obstacle, #[case] bars: bool) {
    assert_eq!(obstacle.blocks_chosen_request(), bars);
}
