//! A roll-out that is stopped before the store has it, over hosts as values.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use steering::route::{
    Incumbent, IncumbentReason, Record, RolloutOrder, RolloutReason, RolloutStage, RolloutStatus,
    RolloutStop, Rollouts, VersionUsage,
};

const SERVICE: &str = "s1";
const TRIAL: RolloutStage = RolloutStage::Trial {
    share_per_mille: 50,
};

fn order(revision: u64) -> RolloutOrder {
    RolloutOrder::new(SERVICE.to_owned(), "v2".to_owned(), 12.0, revision).unwrap()
}

fn status(order_revision: u64, sequence: u64, stage: RolloutStage) -> RolloutStatus {
    RolloutStatus {
        service: SERVICE.to_owned(),
        to_version: "v2".to_owned(),
        order_revision,
        sequence,
        stage,
        reason: RolloutReason::Ordered,
        coordinator: "h1".to_owned(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    }
}

fn stop(order_revision: u64) -> RolloutStop {
    RolloutStop {
        service: SERVICE.to_owned(),
        order_revision,
        reason: RolloutReason::BadAnswers,
    }
}

/// A host that knows an order and its status, where versions need orders or not.
fn host(stage: RolloutStage, orders_required: bool) -> Rollouts {
    let mut rollouts = Rollouts::new(orders_required);
    rollouts.set_incumbent(&Incumbent {
        service: SERVICE.to_owned(),
        version: "v1".to_owned(),
        order_revision: 0,
        record: 1,
        reason: IncumbentReason::First,
        zones: ["duran".to_owned()].into(),
    });
    rollouts.order(&order(7));
    rollouts.update(&status(7, 3, stage));
    rollouts
}

/// How the old and the new version are used.
fn usage(rollouts: &Rollouts) -> (VersionUsage, VersionUsage) {
    let rule = rollouts.rule(SERVICE, &BTreeMap::from([("v1", 3), ("v2", 3)]));
    (rule.usage("v1"), rule.usage("v2"))
}

const OLD_ONLY: (VersionUsage, VersionUsage) = (VersionUsage::Regular, VersionUsage::Unused);
const NEW_ONLY: (VersionUsage, VersionUsage) = (VersionUsage::Unused, VersionUsage::Regular);

#[rstest]
fn a_stop_holds_before_it_is_written(
    #[values(TRIAL, RolloutStage::Moving)] stage: RolloutStage,
    #[values(false, true)] orders_required: bool,
) {
    let mut host = host(stage, orders_required);
    assert_ne!(usage(&host), OLD_ONLY);
    assert!(host.stop(&stop(7)));
    assert_eq!(usage(&host), OLD_ONLY);
    assert!(!host.stop(&stop(7)), "it is told once");
    // A coordinator that has not heard of it goes on, and writes what it has decided.
    host.update(&status(7, 4, RolloutStage::Moving));
    assert_eq!(usage(&host), OLD_ONLY);
}

/// Whoever coordinates next has to write the stop, whatever its own evidence.
#[test]
fn a_stop_outlives_its_coordinator() {
    let mut host = host(TRIAL, true);
    host.stop(&stop(7));
    let active = host.active();
    let rollout = active.values().next().unwrap();
    let change = rollout.stop.unwrap().change();
    assert_eq!(change.stage, RolloutStage::RolledBack);
    assert_eq!(change.reason, RolloutReason::BadAnswers);
    host.update(&status(7, 4, RolloutStage::RolledBack));
    assert!(host.active().is_empty());
    assert_eq!(usage(&host), OLD_ONLY);
}

/// Two coordinators on two sides of a cut: one stops and can't write, the other completes.
#[test]
fn a_written_end_goes_before_a_stop_that_is_not_written() {
    let mut stopped = host(RolloutStage::Moving, true);
    stopped.stop(&stop(7));
    stopped.update(&status(7, 4, RolloutStage::Completed));
    assert_eq!(usage(&stopped), NEW_ONLY, "the old version has ended");
    let mut completed = host(RolloutStage::Moving, true);
    completed.update(&status(7, 4, RolloutStage::Completed));
    assert!(!completed.stop(&stop(7)));
    assert_eq!(usage(&completed), NEW_ONLY);
    assert_eq!(stopped.digest(), completed.digest());
}

#[test]
fn a_stop_holds_for_its_order_only() {
    let mut host = host(TRIAL, true);
    host.stop(&stop(7));
    host.order(&order(9));
    assert_eq!(usage(&host), OLD_ONLY, "the new order has no status yet");
    host.update(&status(9, 1, TRIAL));
    assert_eq!(usage(&host), (VersionUsage::Regular, VersionUsage::Other));
    assert!(!host.stop(&stop(7)), "a late one of the order before");
    assert_eq!(usage(&host), (VersionUsage::Regular, VersionUsage::Other));
}

/// A host that starts learns of a stop from another host, in any order of the records.
#[test]
fn a_stop_travels_with_the_other_records() {
    let mut teller = host(TRIAL, true);
    let before = teller.digest();
    teller.stop(&stop(7));
    assert_ne!(teller.digest(), before);
    let mut records: Vec<Record> = teller.records().collect();
    for _ in 0..records.len() {
        records.rotate_left(1);
        let mut started = Rollouts::new(true);
        for record in &records {
            let _ = match record {
                Record::RolloutOrder(order) => started.order(order),
                Record::Rollout(status) => started.update(status),
                Record::RolloutStop(stop) => started.stop(stop),
                Record::Incumbent(incumbent) => started.set_incumbent(incumbent),
                record => panic!("{record:?}"),
            };
        }
        assert_eq!(usage(&started), OLD_ONLY);
        assert_eq!(started.digest(), teller.digest());
    }
}
