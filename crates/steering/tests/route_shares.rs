//! Shares of services and regions.

use rstest::rstest;
use steering::route::{
    RegionShare, WeightedRoundRobin, WeightedService, object_hash, share_by_capacity, unit_hash,
};

fn services(weights: &[f64]) -> Vec<WeightedService> {
    let service = |(i, weight): (usize, &f64)| WeightedService {
        service: format!("s{i}"),
        weight: *weight,
    };
    weights.iter().enumerate().map(service).collect()
}

#[rstest]
#[case::ten_percent(&[90.0, 10.0])]
#[case::halves(&[1.0, 1.0])]
#[case::thirds(&[1.0, 1.0, 1.0])]
#[case::one_gets_none(&[5.0, 0.0])]
#[case::alone(&[3.0])]
fn services_get_requests_by_weight(#[case] weights: &[f64]) {
    let services = services(weights);
    let total: f64 = weights.iter().sum();
    let mut picker = WeightedRoundRobin::default();
    let mut counts = vec![0u32; weights.len()];
    for sent in 1..=1_000u32 {
        counts[picker.pick(&services)] += 1;
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
fn new_weights_apply_at_once() {
    let mut picker = WeightedRoundRobin::default();
    let mut services = services(&[1.0, 0.0]);
    for _ in 0..500 {
        picker.pick(&services);
    }
    services[0].weight = 0.0;
    services[1].weight = 1.0;
    let second = (0..100).filter(|_| picker.pick(&services) == 1).count();
    assert!(second >= 99, "{second} of 100");
}

#[rstest]
#[case::small_region(18.0, 216.0, 3, 0.25)]
#[case::large_region(108.0, 216.0, 3, 1.0)]
#[case::no_upstream(0.0, 216.0, 3, 0.0)]
#[case::alone(18.0, 18.0, 1, 1.0)]
#[case::nothing_known(0.0, 0.0, 0, 1.0)]
fn share_starts_with_the_slots_of_the_region(
    #[case] own: f64,
    #[case] all: f64,
    #[case] regions: usize,
    #[case] share: f64,
) {
    assert_eq!(share_by_capacity(own, all, regions), share);
    assert_eq!(RegionShare::new(share).share(), share);
}

#[test]
fn share_holds_for_unevenly_requested_objects() {
    let mut region_share = RegionShare::new(share_by_capacity(40.0, 300.0, 3));
    let own = region_share.share();
    // One object makes up half of the requests.
    let object = |i: u64| {
        object_hash(
            "surcos",
            &(if i.is_multiple_of(2) { 7 } else { i % 40 }).to_le_bytes(),
        )
    };
    let kept = (0..2_000)
        .filter(|i| region_share.keeps_local(unit_hash(object(*i))))
        .count();
    let share = kept as f64 / 2_000.0;
    assert!((share - own).abs() < 0.02, "{share} instead of {own}");
}

/// Adjustment of a region's share of 0.5, given its share of room; a full step is 0.03.
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
fn share_changes_by_steps(
    #[case] own_utilization: f64,
    #[case] others_utilization: f64,
    #[case] by_capacity: f64,
    #[case] expected_change: f64,
) {
    let mut region_share = RegionShare::new(0.5);
    region_share.adapt(0.03, own_utilization, others_utilization, by_capacity);
    let change = region_share.share() - 0.5;
    assert!((change - expected_change).abs() < 1e-9, "{change}");
}
