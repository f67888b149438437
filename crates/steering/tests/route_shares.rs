//! Shares of services and regions, and what follows a miss.

use rstest::rstest;
use steering::route::{
    RegionShare, RetryDecision, SendOutcome, WeightedRoundRobin, WeightedService, decide_retry,
    object_hash, share_by_capacity, unit_hash,
};

fn parts(weights: &[f64]) -> Vec<WeightedService> {
    let part = |(i, weight): (usize, &f64)| WeightedService {
        service: format!("s{i}"),
        weight: *weight,
    };
    weights.iter().enumerate().map(part).collect()
}

#[rstest]
#[case::ten_percent(&[90.0, 10.0])]
#[case::halves(&[1.0, 1.0])]
#[case::thirds(&[1.0, 1.0, 1.0])]
#[case::one_gets_none(&[5.0, 0.0])]
#[case::alone(&[3.0])]
fn services_get_their_weights(#[case] weights: &[f64]) {
    let parts = parts(weights);
    let total: f64 = weights.iter().sum();
    let mut spread = WeightedRoundRobin::default();
    let mut counts = vec![0u32; weights.len()];
    for sent in 1..=1_000u32 {
        counts[spread.pick(&parts)] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let owed = f64::from(sent) * weight / total;
            assert!(
                (f64::from(*count) - owed).abs() <= 1.0 + 1e-9,
                "{counts:?} after {sent}"
            );
        }
    }
}

#[test]
fn new_weights_are_heeded_at_once() {
    let mut spread = WeightedRoundRobin::default();
    let mut before = parts(&[1.0, 0.0]);
    for _ in 0..500 {
        spread.pick(&before);
    }
    before[0].weight = 0.0;
    before[1].weight = 1.0;
    let second = (0..100).filter(|_| spread.pick(&before) == 1).count();
    assert!(second >= 99, "{second} of 100");
}

#[rstest]
#[case::small_region(18.0, 216.0, 3, 0.25)]
#[case::large_region(108.0, 216.0, 3, 1.0)]
#[case::no_upstream(0.0, 216.0, 3, 0.0)]
#[case::alone(18.0, 18.0, 1, 1.0)]
#[case::nothing_known(0.0, 0.0, 0, 1.0)]
fn a_region_begins_with_its_slots(
    #[case] own: f64,
    #[case] all: f64,
    #[case] regions: usize,
    #[case] share: f64,
) {
    assert_eq!(share_by_capacity(own, all, regions), share);
    assert_eq!(RegionShare::new(share).share(), share);
}

#[test]
fn the_share_holds_for_uneven_objects_too() {
    let mut spread = RegionShare::new(share_by_capacity(40.0, 300.0, 3));
    let own = spread.share();
    // One object makes up half of the requests.
    let object = |i: u64| {
        object_hash(
            "surcos",
            &(if i.is_multiple_of(2) { 7 } else { i % 40 }).to_le_bytes(),
        )
    };
    let stayed = (0..2_000)
        .filter(|i| spread.keeps_local(unit_hash(object(*i))))
        .count();
    let share = stayed as f64 / 2_000.0;
    assert!((share - own).abs() < 0.02, "{share} instead of {own}");
}

/// A region that keeps 0.5, where its slots have so much; a whole step is 0.03.
#[rstest]
#[case::crowded(0.95, 0.3, 0.8, -0.03)]
#[case::crowded_but_others_more(0.95, 1.2, 0.8, 0.0)]
#[case::between(0.7, 0.3, 0.8, 0.0)]
#[case::roomy(0.4, 0.9, 0.8, 0.03)]
#[case::roomy_and_others_more_so(0.4, 0.1, 0.8, 0.03)]
#[case::roomy_and_somewhat_beyond_its_slots(0.4, 0.1, 0.4, 0.02)]
#[case::roomy_beyond_its_slots_but_others_more_full(0.4, 0.9, 0.3, 0.03)]
#[case::too_far_beyond_its_slots(0.7, 0.3, 0.38, -0.006)]
#[case::far_beyond_its_slots(0.7, 0.3, 0.1, -0.03)]
#[case::crowded_at_its_slots(0.95, 0.3, 0.5, -0.03)]
#[case::others_gone(0.4, f64::INFINITY, 0.2, 0.03)]
fn the_share_moves_by_steps(
    #[case] own_use: f64,
    #[case] others_use: f64,
    #[case] by_room: f64,
    #[case] moved: f64,
) {
    let mut spread = RegionShare::new(0.5);
    spread.adapt(0.03, own_use, others_use, by_room);
    let moved_by = spread.share() - 0.5;
    assert!((moved_by - moved).abs() < 1e-9, "{moved_by}");
}

#[rstest]
#[case::not_sent(&[SendOutcome::Not], false, true, RetryDecision::Retry)]
#[case::refused(&[SendOutcome::Refused], false, true, RetryDecision::Retry)]
#[case::refused_no_budget(&[SendOutcome::Refused], false, false, RetryDecision::NotRun)]
#[case::lost_repeatable(&[SendOutcome::Perhaps], true, true, RetryDecision::Retry)]
#[case::lost_not_repeatable(&[SendOutcome::Perhaps], false, true, RetryDecision::MayHaveRun)]
#[case::lost_then_refused(&[SendOutcome::Perhaps, SendOutcome::Refused], true, false, RetryDecision::MayHaveRun)]
#[case::nothing_tried(&[], false, false, RetryDecision::NotRun)]
fn only_what_surely_did_not_run_is_called_so(
    #[case] sends: &[SendOutcome],
    #[case] repeatable: bool,
    #[case] may_send_again: bool,
    #[case] fate: RetryDecision,
) {
    assert_eq!(decide_retry(sends, repeatable, may_send_again), fate);
}
