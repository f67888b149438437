//! How long work is expected to take.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Affinity, Estimate, LastSent, Quantile, SentObjects, Speed};

const GOAL: Duration = Duration::from_millis(250);
const HELD: Duration = Duration::from_millis(108);
const FETCHED: Duration = Duration::from_millis(360);

fn standing(familiarity: LastSent, rank: usize) -> Option<Affinity> {
    Some(Affinity {
        last_sent: familiarity,
        rank,
    })
}

/// Fifty answers each on objects held and not held.
fn learned() -> Estimate {
    let mut estimate = Estimate::new(GOAL);
    for _ in 0..50 {
        estimate.learn(standing(LastSent::Recent, 0), false, 1.0, HELD);
        estimate.learn(standing(LastSent::Never, 1), false, 1.0, FETCHED);
    }
    estimate
}

fn near(a: Duration, b: Duration) -> bool {
    (a.as_secs_f64() / b.as_secs_f64()).ln().abs() < 0.15
}

#[test]
fn times_on_held_and_other_objects_are_told_apart() {
    let estimate = learned();
    let held = estimate.work(standing(LastSent::Recent, 0), false);
    let other = estimate.work(standing(LastSent::Never, 1), false);
    assert!(
        near(held.if_held, HELD) && near(held.if_fetched, FETCHED),
        "{held:?}"
    );
    assert!(
        held.hit_probability > 0.9 && other.hit_probability < 0.1,
        "{held:?} {other:?}"
    );
    assert!(near(held.mean(), HELD) && near(other.mean(), FETCHED));
}

#[test]
fn a_single_odd_answer_changes_little() {
    let mut estimate = learned();
    let before = estimate.work(standing(LastSent::Recent, 0), false);
    estimate.learn(
        standing(LastSent::Recent, 0),
        false,
        1.0,
        Duration::from_secs(60),
    );
    let after = estimate.work(standing(LastSent::Recent, 0), false);
    assert!(near(before.if_held, after.if_held));
    assert!(before.hit_probability - after.hit_probability < 0.1);
}

#[test]
fn objects_that_are_forgotten_are_found_out() {
    let mut estimate = learned();
    for _ in 0..100 {
        estimate.learn(standing(LastSent::Earlier, 0), false, 1.0, FETCHED);
    }
    let forgotten = estimate.work(standing(LastSent::Earlier, 0), false);
    assert!(forgotten.hit_probability < 0.1, "{forgotten:?}");
    let recent = estimate.work(standing(LastSent::Recent, 0), false);
    assert!(recent.hit_probability > 0.9, "{recent:?}");
}

#[test]
fn cold_upstreams_have_a_time_of_their_own() {
    let mut estimate = learned();
    for _ in 0..100 {
        estimate.learn(standing(LastSent::Recent, 0), true, 1.0, HELD * 3);
    }
    let cold = estimate.work(standing(LastSent::Recent, 0), true);
    let warm = estimate.work(standing(LastSent::Recent, 0), false);
    assert!(near(cold.if_held, HELD * 3), "{cold:?}");
    assert!(near(warm.if_held, HELD), "{warm:?}");
}

#[rstest]
#[case::none(0, 1.0, 1.0)]
#[case::one_tells_little(1, 1.0, 2.0)]
#[case::many(20, 3.0, 4.0)]
fn few_answers_tell_little_of_an_upstream(
    #[case] answers: usize,
    #[case] least: f64,
    #[case] most: f64,
) {
    let now = Instant::now();
    let mut speed = Speed::default();
    (0..answers).for_each(|_| speed.take(now, 5.0));
    let times = speed.times(now);
    assert!((least..=most).contains(&times), "{times}");
    let later = speed.times(now + Duration::from_secs(60));
    assert!((later - 1.0).abs() < 0.01, "it fades: {later}");
}

#[test]
fn what_was_sent_a_moment_ago_is_remembered_to_a_bound() {
    let now = Instant::now();
    let mut holding = SentObjects::default();
    assert_eq!(holding.last_sent(now, 1), LastSent::Never);
    holding.sent(now, 1);
    assert_eq!(holding.last_sent(now, 1), LastSent::Recent);
    let later = now + Duration::from_secs(60);
    assert_eq!(holding.last_sent(later, 1), LastSent::Earlier);
    (2..10_000).for_each(|object| holding.sent(later, object));
    assert_eq!(holding.last_sent(later, 1), LastSent::Never);
}

/// Times of 1 to 100 ms in a fixed shuffled order.
#[rstest]
#[case(0.2)]
#[case(0.5)]
#[case(0.8)]
fn a_quantile_is_followed(#[case] q: f64) {
    let mut quantile = Quantile::new(q, Duration::from_millis(7));
    for n in 0..4_000u64 {
        quantile.take(Duration::from_millis(1 + n * 37 % 100));
    }
    let value = quantile.value().as_secs_f64() * 1_000.0;
    assert!((value - 100.0 * q).abs() < 12.0, "{value}");
}
