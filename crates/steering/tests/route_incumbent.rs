//! The version of a service that is in use: what it is at first, what changes it, and what
//! does not, over hosts as values.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{
    Catalog, Changes, Incumbent, IncumbentReason, ListCondition, Record, ReportedUpstream,
    RolloutOrder, RolloutReason, RolloutStage, RolloutStatus, Rollouts, ServiceVersions,
    Succession, VersionRule, VersionUsage,
};

const SERVICE: &str = "s1";
const ZONE: &str = "duran";
const OTHER_ZONE: &str = "quito-sur";
/// Longer than the time after which a version without upstreams is replaced.
const LONG: Duration = Duration::from_secs(60);
const TRIAL: RolloutStage = RolloutStage::Trial {
    share_per_mille: 50,
};

fn upstream(id: usize, version: &str, zone: &str, started_ms: u64) -> ReportedUpstream {
    ReportedUpstream {
        id: format!("{version}-{id}"),
        started_ms: Some(started_ms),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: zone.to_owned(),
        version: version.to_owned(),
        slots: 3,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

/// Upstreams of versions, in order of their start.
fn upstreams(versions: &[(&str, usize)]) -> Vec<ReportedUpstream> {
    let numbered = versions.iter().enumerate();
    let upstreams = numbered.flat_map(|(index, (version, count))| {
        let started_ms = 1_000 * (index as u64 + 1);
        (0..*count).map(move |id| upstream(id, version, ZONE, started_ms))
    });
    upstreams.collect()
}

/// A host's knowledge, which may be that of the poller.
struct Host {
    catalog: Catalog,
    rollouts: Rollouts,
    succession: Succession,
    now: Instant,
}

impl Host {
    fn new() -> Host {
        Host {
            catalog: Catalog::default(),
            rollouts: Rollouts::new(true),
            succession: Succession::default(),
            now: Instant::now(),
        }
    }

    /// A host that has read the list.
    fn with(versions: &[(&str, usize)]) -> Host {
        let mut host = Host::new();
        host.read(&upstreams(versions));
        host
    }

    fn read(&mut self, upstreams: &[ReportedUpstream]) {
        self.apply(true, upstreams);
    }

    fn apply(&mut self, whole: bool, upstreams: &[ReportedUpstream]) {
        let changes = Changes {
            whole,
            records: upstreams.iter().cloned().map(Record::Upstream).collect(),
            version: 1,
        };
        self.catalog.apply(self.now, &changes);
        self.rollouts.assume_incumbents(&self.catalog);
    }

    fn versions(&self) -> ServiceVersions {
        let mut services = ServiceVersions::by_service(&self.catalog);
        services.remove(SERVICE).unwrap_or_default()
    }

    /// Versions that get requests.
    fn used(&self) -> Vec<String> {
        let versions = self.versions();
        let counts = versions.0.iter();
        let counts: BTreeMap<&str, usize> = counts
            .map(|(version, upstreams)| (version.as_str(), upstreams.count))
            .collect();
        let rule = self.rollouts.rule(SERVICE, &counts);
        let used = counts
            .keys()
            .filter(|v| rule.usage(v) != VersionUsage::Unused);
        used.map(|version| (*version).to_owned()).collect()
    }

    /// What the poller writes. It learns what it has written.
    fn decide(&mut self, is_complete: bool) -> Option<Incumbent> {
        let zones = self
            .catalog
            .listed()
            .map(|listed| listed.report.zone.as_str());
        let list = ListCondition {
            is_complete: is_complete && self.catalog.is_read(),
            zones: zones.collect(),
        };
        let (now, versions) = (self.now, self.versions());
        let next = self
            .succession
            .next(now, SERVICE, &self.rollouts, &versions, &list)?;
        assert!(self.rollouts.set_incumbent(&next));
        Some(next)
    }

    /// Decides now, and again once a version that is absent would be replaced.
    fn decide_late(&mut self, is_complete: bool) -> Option<Incumbent> {
        let now = self.decide(is_complete);
        self.now += LONG;
        now.or_else(|| self.decide(is_complete))
    }
}

fn order(to_version: &str, revision: u64) -> RolloutOrder {
    RolloutOrder::new(SERVICE.to_owned(), to_version.to_owned(), 12.0, revision).unwrap()
}

fn status(order: &RolloutOrder, stage: RolloutStage) -> RolloutStatus {
    RolloutStatus {
        service: SERVICE.to_owned(),
        to_version: order.to_version.clone(),
        order_revision: order.revision,
        sequence: 3,
        stage,
        reason: RolloutReason::Ordered,
        coordinator: "h1".to_owned(),
        ordered_at: Duration::ZERO,
        changed_at: Duration::ZERO,
        moves_at: None,
    }
}

/// A second version joins, as many or more, without an order.
#[rstest]
#[case::as_many_and_first_by_name(("v9", 3), ("v10", 3), 3)]
#[case::one_has_crashed(("v1", 6), ("v2", 6), 5)]
#[case::twice_as_many(("v1", 54), ("v2", 108), 54)]
#[case::hashes(("f3a9", 6), ("07bc", 6), 6)]
#[case::one_left(("v1", 6), ("v2", 6), 1)]
fn a_version_that_nobody_ordered_gets_nothing(
    #[case] old: (&str, usize),
    #[case] new: (&str, usize),
    #[case] left: usize,
    #[values(false, true)] is_recorded: bool,
) {
    let mut host = Host::with(&[old]);
    if is_recorded {
        assert!(host.decide(true).is_some());
    }
    let joined = upstreams(&[old, new]);
    host.read(&joined);
    assert_eq!(host.used(), [old.0]);
    host.read(&joined[old.1 - left..]);
    assert_eq!(host.used(), [old.0]);
    let decided = host.decide_late(true);
    assert!(decided.is_none_or(|incumbent| incumbent.version == old.0));
    assert_eq!(host.used(), [old.0]);
}

/// The store has no record and the first list has both versions.
#[rstest]
#[case::older(&[("v9", 3), ("v10", 3)], None, "v9")]
#[case::older_and_fewer(&[("f3a9", 1), ("07bc", 6)], None, "f3a9")]
#[case::ordered_later_and_older(&[("v2", 3), ("v1", 3)], Some("v2"), "v1")]
#[case::ordered_and_alone(&[("v2", 3)], Some("v2"), "v2")]
fn with_an_empty_store_the_first_whole_list_decides(
    #[case] versions: &[(&str, usize)],
    #[case] ordered: Option<&str>,
    #[case] expected: &str,
) {
    let mut host = Host::new();
    if let Some(to_version) = ordered {
        host.rollouts.order(&order(to_version, 7));
    }
    host.read(&upstreams(versions));
    assert_eq!(
        host.used(),
        [expected],
        "also before the store has a record"
    );
    let incumbent = host.decide(true).unwrap();
    assert_eq!(
        (incumbent.version.as_str(), incumbent.record),
        (expected, 1)
    );
    assert_eq!(incumbent.reason, IncumbentReason::First);
    assert_eq!(host.decide(true), None, "it is written once");
}

#[test]
fn upstreams_without_start_times_are_counted() {
    let mut versions = ServiceVersions::default();
    for version in ["v2", "v2", "v1"] {
        versions.add(version, ZONE, None);
    }
    assert_eq!(versions.oldest(None).unwrap(), "v2");
    versions.add("v1", ZONE, Some(5));
    assert_eq!(versions.oldest(None).unwrap(), "v1");
}

#[test]
fn a_host_whose_list_is_half_read_serves_no_version_that_it_does_not_know() {
    let mut host = Host::new();
    let all = upstreams(&[("v1", 3), ("v2", 3)]);
    host.apply(false, &all[3..]);
    assert_eq!(host.used(), [""; 0]);
    assert_eq!(host.decide_late(true), None, "nothing is known yet");
    host.read(&all);
    assert_eq!(host.used(), ["v1"]);
}

#[test]
fn a_half_read_list_ends_no_version() {
    let mut host = Host::with(&[("v1", 3)]);
    host.decide(true);
    host.read(&upstreams(&[("v1", 3), ("v2", 3)])[3..]);
    assert_eq!(host.decide_late(false), None);
    assert_eq!(host.used(), [""; 0]);
}

/// All hosts are started anew while the new version has more and older upstreams.
#[test]
fn hosts_that_start_anew_go_by_the_record() {
    let mut before = Host::with(&[("v1", 3)]);
    let recorded = before.decide(true).unwrap();
    let listed = [("v2", 6), ("v1", 2)];
    let mut host = Host::new();
    host.read(&upstreams(&listed));
    // Rows of the store arrive in any order.
    assert!(host.rollouts.set_incumbent(&recorded));
    assert_eq!(host.used(), ["v1"]);
    assert_eq!(host.decide_late(true), None);
    let mut host = Host::new();
    host.rollouts.set_incumbent(&recorded);
    host.read(&upstreams(&listed));
    assert_eq!(host.used(), ["v1"]);
}

#[rstest]
#[case::none_left(true, true, None, Some("v2"))]
#[case::reports_lapsed_while_the_store_was_away(false, true, None, None)]
#[case::its_zone_is_cut_off(true, false, None, None)]
#[case::a_trial_runs(true, true, Some(TRIAL), None)]
#[case::all_requests_move(true, true, Some(RolloutStage::Moving), None)]
#[case::the_other_was_rolled_back(true, true, Some(RolloutStage::RolledBack), None)]
fn a_version_is_replaced_only_if_none_of_its_upstreams_is_left(
    #[case] is_complete: bool,
    #[case] is_zone_heard: bool,
    #[case] stage: Option<RolloutStage>,
    #[case] expected: Option<&str>,
) {
    let mut host = Host::with(&[("v1", 3)]);
    host.decide(true);
    if let Some(stage) = stage {
        let order = order("v2", 7);
        host.rollouts.order(&order);
        host.rollouts.update(&status(&order, stage));
    }
    let zone = if is_zone_heard { ZONE } else { OTHER_ZONE };
    host.read(&[upstream(1, "v2", zone, 5)]);
    assert_eq!(host.decide(is_complete), None, "upstreams may come back");
    host.now += LONG;
    let next = host.decide(is_complete);
    assert_eq!(next.map(|next| next.version).as_deref(), expected);
    assert_eq!(host.used().contains(&"v2".to_owned()), {
        expected.is_some() || stage.is_some_and(|stage| !stage.is_final())
    });
}

#[test]
fn an_absence_that_ends_or_is_not_seen_whole_starts_again() {
    let mut host = Host::with(&[("v1", 3)]);
    host.decide(true);
    let (both, new) = (upstreams(&[("v1", 3), ("v2", 3)]), 3);
    for seen in [&both[..], &both[new..]] {
        host.read(&both[new..]);
        assert_eq!(host.decide(true), None);
        host.now += LONG;
        host.read(seen);
        let is_complete = seen.len() == both.len();
        assert_eq!(host.decide(is_complete), None);
    }
    host.read(&both[new..]);
    assert_eq!(host.decide(true), None);
}

#[test]
fn a_completed_roll_out_changes_the_version_on_every_host_without_a_message() {
    let mut host = Host::with(&[("v1", 3)]);
    let first = host.decide(true).unwrap();
    host.read(&upstreams(&[("v1", 3), ("v2", 3)]));
    let order = order("v2", 7);
    host.rollouts.order(&order);
    host.rollouts.update(&status(&order, TRIAL));
    assert_eq!(host.used(), ["v1", "v2"]);
    host.rollouts.update(&RolloutStatus {
        sequence: 4,
        ..status(&order, RolloutStage::Completed)
    });
    assert_eq!(host.used(), ["v2"]);
    // The order's row is taken away, and an old record comes late.
    host.rollouts.withdraw(SERVICE);
    assert!(!host.rollouts.set_incumbent(&first));
    assert_eq!(host.used(), ["v2"]);
    let written = host.decide(true).unwrap();
    assert_eq!((written.order_revision, written.record), (7, 1));
    assert_eq!(written.reason, IncumbentReason::Completed);
}

/// A third version joins in each stage of a roll-out.
#[rstest]
#[case::trial(TRIAL, &["v1", "v2"])]
#[case::moving(RolloutStage::Moving, &["v1", "v2"])]
#[case::completed(RolloutStage::Completed, &["v2"])]
#[case::rolled_back(RolloutStage::RolledBack, &["v1"])]
fn a_third_version_gets_nothing(#[case] stage: RolloutStage, #[case] expected: &[&str]) {
    let mut host = Host::with(&[("v1", 3)]);
    host.decide(true);
    host.read(&upstreams(&[("v1", 3), ("v2", 3), ("v3", 9)]));
    let order = order("v2", 7);
    host.rollouts.order(&order);
    host.rollouts.update(&status(&order, stage));
    assert_eq!(host.used(), expected);
}

/// In each stage the order is replaced, withdrawn, or withdrawn and given again. Until a
/// status of the new order is known, only the version in use gets requests.
#[rstest]
fn without_a_status_of_the_current_order_the_version_in_use_gets_all(
    #[values(TRIAL, RolloutStage::Moving, RolloutStage::RolledBack)] stage: RolloutStage,
    #[values(None, Some("v1"), Some("v2"), Some("v3"))] next: Option<&str>,
) {
    let mut host = Host::with(&[("v1", 3)]);
    host.decide(true);
    host.read(&upstreams(&[("v1", 3), ("v2", 3), ("v3", 3)]));
    let first = order("v2", 7);
    host.rollouts.order(&first);
    host.rollouts.update(&status(&first, stage));
    host.rollouts.withdraw(SERVICE);
    if let Some(to_version) = next {
        host.rollouts.order(&order(to_version, 9));
    }
    assert_eq!(host.used(), ["v1"]);
}

/// Of two pollers that decide differently one writes the row; the other one's hosts follow.
#[test]
fn a_record_replaces_what_a_host_has_assumed() {
    let mut poller = Host::with(&[("v1", 3)]);
    let recorded = poller.decide(true).unwrap();
    let mut host = Host::with(&[("v2", 3), ("v1", 3)]);
    assert_eq!(host.used(), ["v2"]);
    let before = host.rollouts.digest();
    assert!(host.rollouts.set_incumbent(&recorded));
    assert_eq!(host.used(), ["v1"]);
    assert_ne!(host.rollouts.digest(), before);
    assert_eq!(host.rollouts.digest(), poller.rollouts.digest());
    assert!(
        host.rollouts
            .records()
            .any(|r| r == Record::Incumbent(recorded.clone()))
    );
    assert!(!host.rollouts.set_incumbent(&recorded));
}

#[test]
fn where_versions_need_no_orders_all_are_used() {
    let recorded = Host::with(&[("v1", 3)]).decide(true).unwrap();
    let mut host = Host::new();
    host.rollouts = Rollouts::new(false);
    assert!(!host.rollouts.set_incumbent(&recorded));
    host.read(&upstreams(&[("v1", 3), ("v2", 3)]));
    assert_eq!(host.used(), ["v1", "v2"]);
    assert_eq!(
        host.rollouts.rule(SERVICE, &BTreeMap::from([("v1", 3)])),
        VersionRule::Any
    );
}
