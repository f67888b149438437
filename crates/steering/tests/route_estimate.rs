//! Estimation of work times.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Affinity, Estimate, LastSent, Quantile, SentObjects, Speed};

const GOAL: Duration = Duration::from_millis(250);
const HELD: Duration = Duration::from_millis(108);
const FETCHED: Duration = Duration::from_millis(360);

fn affinity(last_sent: LastSent, rank: usize) -> Option<Affinity> {
    Some(Affinity { last_sent, rank })
}

/// Returns an estimate after fifty answers each for held and not held objects.
fn trained_estimate() -> Estimate {
    let mut estimate = Estimate::new(GOAL);
    for _ in 0..50 {
        estimate.learn(affinity(LastSent::Recent, 0), false, 1.0, HELD);
        estimate.learn(affinity(LastSent::Never, 1), false, 1.0, FETCHED);
    }
    estimate
}

fn is_near(a: Duration, b: Duration) -> bool {
    (a.as_secs_f64() / b.as_secs_f64()).ln().abs() < 0.15
}

#[test]
fn times_of_held_and_fetched_objects_are_distinguished() {
    let estimate = trained_estimate();
    let held_time = estimate.work(affinity(LastSent::Recent, 0), false);
    let fetched_time = estimate.work(affinity(LastSent::Never, 1), false);
    assert!(
        is_near(held_time.if_held, HELD) && is_near(held_time.if_fetched, FETCHED),
        "{held_time:?}"
    );
    assert!(
        held_time.hit_probability > 0.9 && fetched_time.hit_probability < 0.1,
        "{held_time:?} {fetched_time:?}"
    );
    assert!(is_near(held_time.mean(), HELD) && is_near(fetched_time.mean(), FETCHED));
}

#[test]
fn single_outlier_changes_little() {
    let mut estimate = trained_estimate();
    let before = estimate.work(affinity(LastSent::Recent, 0), false);
    estimate.learn(
        affinity(LastSent::Recent, 0),
        false,
        1.0,
        Duration::from_secs(60),
    );
    let after = estimate.work(affinity(LastSent::Recent, 0), false);
    assert!(is_near(before.if_held, after.if_held));
    assert!(before.hit_probability - after.hit_probability < 0.1);
}

#[test]
fn evicted_objects_are_detected() {
    let mut estimate = trained_estimate();
    for _ in 0..100 {
        estimate.learn(affinity(LastSent::Earlier, 0), false, 1.0, FETCHED);
    }
    let evicted = estimate.work(affinity(LastSent::Earlier, 0), false);
    assert!(evicted.hit_probability < 0.1, "{evicted:?}");
    let recent = estimate.work(affinity(LastSent::Recent, 0), false);
    assert!(recent.hit_probability > 0.9, "{recent:?}");
}

#[test]
fn cold_upstreams_have_separate_times() {
    let mut estimate = trained_estimate();
    for _ in 0..100 {
        estimate.learn(affinity(LastSent::Recent, 0), true, 1.0, HELD * 3);
    }
    let cold = estimate.work(affinity(LastSent::Recent, 0), true);
    let warm = estimate.work(affinity(LastSent::Recent, 0), false);
    assert!(is_near(cold.if_held, HELD * 3), "{cold:?}");
    assert!(is_near(warm.if_held, HELD), "{warm:?}");
}

#[rstest]
#[case::none(0, 1.0, 1.0)]
#[case::one_tells_little(1, 1.0, 2.0)]
#[case::many(20, 3.0, 4.0)]
fn few_answers_have_little_weight(#[case] answers: usize, #[case] least: f64, #[case] most: f64) {
    let now = Instant::now();
    let mut speed = Speed::default();
    (0..answers).for_each(|_| speed.take(now, 5.0));
    let times = speed.times(now);
    assert!((least..=most).contains(&times), "{times}");
    let later = speed.times(now + Duration::from_secs(60));
    assert!((later - 1.0).abs() < 0.01, "old answers expire: {later}");
}

#[test]
fn sent_objects_are_remembered_up_to_a_limit() {
    let now = Instant::now();
    let mut sent_objects = SentObjects::default();
    assert_eq!(sent_objects.last_sent(now, 1), LastSent::Never);
    sent_objects.sent(now, 1);
    assert_eq!(sent_objects.last_sent(now, 1), LastSent::Recent);
    let later = now + Duration::from_secs(60);
    assert_eq!(sent_objects.last_sent(later, 1), LastSent::Earlier);
    (2..10_000).for_each(|object| sent_objects.sent(later, object));
    assert_eq!(sent_objects.last_sent(later, 1), LastSent::Never);
}

/// Durations of 1 to 100 ms in a fixed shuffled order.
#[rstest]
#[case(0.2)]
#[case(0.5)]
#[case(0.8)]
fn quantile_converges(#[case] q: f64) {
    let mut quantile = Quantile::new(q, Duration::from_millis(7));
    for n in 0..4_000u64 {
        quantile.take(Duration::from_millis(1 + n * 37 % 100));
    }
    let value = quantile.value().as_secs_f64() * 1_000.0;
    assert!((value - 100.0 * q).abs() < 12.0, "{value}");
}
