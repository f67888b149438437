//! All hosts start again in each stage of a roll-out, and two services move at once.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use steering::route::{
    Incumbent, IncumbentReason, RolloutOrder, RolloutReason, RolloutStage, RolloutStatus, Rollouts,
    VersionUsage,
};

const TRIAL: RolloutStage = RolloutStage::Trial {
    share_per_mille: 50,
};

/// What the store has of a service.
struct Rows {
    order: RolloutOrder,
    status: Option<RolloutStatus>,
    incumbent: Incumbent,
}

impl Rows {
    fn new(service: &str, stage: Option<RolloutStage>) -> Rows {
        let order =
            RolloutOrder::new(service.to_owned(), "v2".to_owned(), 12.0, 7).expect("it is valid");
        let status = stage.map(|stage| RolloutStatus {
            service: service.to_owned(),
            to_version: order.to_version.clone(),
            order_revision: order.revision,
            sequence: 3,
            stage,
            reason: RolloutReason::Ordered,
            coordinator: "h1".to_owned(),
            ordered_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            moves_at: None,
        });
        let incumbent = Incumbent {
            service: service.to_owned(),
            version: "v1".to_owned(),
            order_revision: 0,
            record: 1,
            reason: IncumbentReason::First,
            zones: ["duran".to_owned()].into(),
        };
        Rows {
            order,
            status,
            incumbent,
        }
    }

    fn read(&self, rollouts: &mut Rollouts) {
        rollouts.order(&self.order);
        if let Some(status) = &self.status {
            rollouts.update(status);
        }
        rollouts.set_incumbent(&self.incumbent);
    }
}

/// How the old and the new version of a service are used.
fn usage(rollouts: &Rollouts, service: &str) -> (VersionUsage, VersionUsage) {
    let rule = rollouts.rule(service, &BTreeMap::from([("v1", 1), ("v2", 9)]));
    (rule.usage("v1"), rule.usage("v2"))
}

#[rstest]
#[case::no_status(None, (VersionUsage::Regular, VersionUsage::Unused))]
#[case::trial(Some(TRIAL), (VersionUsage::Regular, VersionUsage::Other))]
#[case::moving(Some(RolloutStage::Moving), (VersionUsage::Other, VersionUsage::Regular))]
#[case::completed(Some(RolloutStage::Completed), (VersionUsage::Unused, VersionUsage::Regular))]
#[case::rolled_back(Some(RolloutStage::RolledBack), (VersionUsage::Regular, VersionUsage::Unused))]
fn hosts_that_all_start_again_go_on_with_the_stage_of_the_store(
    #[case] stage: Option<RolloutStage>,
    #[case] expected: (VersionUsage, VersionUsage),
) {
    let mut host = Rollouts::new(true);
    // The second service waits for its first status meanwhile.
    Rows::new("s2", None).read(&mut host);
    Rows::new("s1", stage).read(&mut host);
    assert_eq!(usage(&host, "s1"), expected);
    let only_old = (VersionUsage::Regular, VersionUsage::Unused);
    assert_eq!(usage(&host, "s2"), only_old);
    let is_decided = stage.is_some_and(RolloutStage::is_final);
    assert_eq!(host.active().len(), if is_decided { 1 } else { 2 });
}

/// The coordinator is killed after its write and before it has told anybody; the next one
/// reads the row and tells it.
#[rstest]
fn what_a_lost_coordinator_has_written_replaces_what_hosts_know(
    #[values(
        RolloutStage::Moving,
        RolloutStage::Completed,
        RolloutStage::RolledBack
    )]
    written: RolloutStage,
) {
    let mut host = Rollouts::new(true);
    Rows::new("s1", Some(TRIAL)).read(&mut host);
    let row = RolloutStatus {
        sequence: 4,
        ..Rows::new("s1", Some(written)).status.expect("it has one")
    };
    assert!(host.update(&row));
    let mut started = Rollouts::new(true);
    Rows {
        status: Some(row),
        ..Rows::new("s1", None)
    }
    .read(&mut started);
    assert_eq!(usage(&host, "s1"), usage(&started, "s1"));
    assert_eq!(host.digest(), started.digest());
}
