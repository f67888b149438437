//! The catalog of registered upstreams on one host.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Catalog, CatalogChange, ChangeReport, Changes, Record, ReportedUpstream};

fn report(id: &str) -> ReportedUpstream {
    ReportedUpstream {
        id: id.to_owned(),
        started_ms: None,
        service: "surcos".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "quito-norte".to_owned(),
        version: String::new(),
        slots: 3,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn present(id: &str) -> Record {
    Record::Upstream(report(id))
}

fn removed(id: &str) -> Record {
    Record::UpstreamGone(id.to_owned())
}

fn delta(records: Vec<Record>) -> Changes {
    Changes {
        whole: false,
        records,
        version: 1,
    }
}

fn snapshot(records: Vec<Record>) -> Changes {
    Changes {
        whole: true,
        ..delta(records)
    }
}

fn ids(catalog: &Catalog) -> Vec<&str> {
    let listed = catalog.listed();
    listed.map(|listed| listed.report.id.as_str()).collect()
}

/// Guards against work for an upstream that has left: a report and its removal in one
/// answer of the store left the upstream listed.
#[rstest]
#[case::report_then_end(vec![present("a"), removed("a")], &[])]
#[case::end_then_report(vec![removed("a"), present("a")], &["a"])]
#[case::end_of_another(vec![present("a"), removed("b")], &["a"])]
#[case::end_twice(vec![present("a"), removed("a"), removed("a")], &[])]
fn applies_a_delta_in_order(#[case] records: Vec<Record>, #[case] listed: &[&str]) {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    catalog.apply(now, &delta(vec![present("a")]));
    catalog.apply(now, &delta(records));
    assert_eq!(ids(&catalog), listed);
}

#[test]
fn reports_missing_in_a_snapshot_are_removed() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    catalog.apply(now, &delta(vec![present("a"), present("b")]));
    let changes = catalog.apply(now, &snapshot(vec![present("b"), present("c")]));
    assert_eq!(ids(&catalog), ["b", "c"]);
    assert_eq!(changes.len(), 2, "a is removed and c is new: {changes:?}");
}

#[test]
fn report_that_vanishes_around_an_outage_may_come_back() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    catalog.apply(now, &delta(vec![present("a"), present("b")]));
    catalog.store_returned(now);
    catalog.apply(later(100), &delta(vec![removed("a"), removed("b")]));
    assert_eq!(ids(&catalog), ["a", "b"], "both may register again");
    catalog.apply(later(1_500), &delta(vec![present("b")]));
    assert!(!catalog.expire(later(2_000)));
    assert!(catalog.expire(later(2_300)), "the grace time of a is over");
    assert_eq!(ids(&catalog), ["b"]);
    catalog.apply(later(2_400), &delta(vec![removed("b")]));
    assert!(ids(&catalog).is_empty(), "the outage is over");
}

#[test]
fn unchanged_report_changes_nothing() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    assert_eq!(catalog.apply(now, &delta(vec![present("a")])).len(), 1);
    assert!(catalog.apply(now, &delta(vec![present("a")])).is_empty());
    let draining = ReportedUpstream {
        draining: true,
        ..report("a")
    };
    let changes = catalog.apply(now, &delta(vec![Record::Upstream(draining)]));
    assert_eq!(changes.len(), 1);
}

/// Applies records at the poller and returns the update for other hosts.
fn update_from(poller: &mut Catalog, now: Instant, records: Vec<Record>) -> Vec<Record> {
    let changes = poller.apply(now, &delta(records));
    changes.iter().map(Record::from).collect()
}

#[rstest]
#[case::all_told(&[], true)]
#[case::missed_what_changed_nothing(&[1], true)]
#[case::missed_a_new_one(&[2], false)]
#[case::missed_an_end(&[3], false)]
#[case::missed_that_one_drains(&[4], false)]
#[case::missed_a_coming_and_going(&[5, 6], true)]
#[case::missed_a_going(&[6], false)]
fn digest_shows_missing_changes(#[case] missed_deltas: &[usize], #[case] same: bool) {
    let now = Instant::now();
    let draining = Record::Upstream(ReportedUpstream {
        draining: true,
        ..report("a")
    });
    let deltas = [
        vec![present("a"), present("b")],
        vec![present("a"), present("b")],
        vec![present("c"), present("a")],
        vec![removed("b")],
        vec![draining],
        vec![present("d")],
        vec![removed("d")],
    ];
    let (mut poller, mut receiver) = (Catalog::default(), Catalog::default());
    for (index, records) in deltas.into_iter().enumerate() {
        let update = update_from(&mut poller, now, records);
        assert_eq!(update.is_empty(), index == 1, "only changes are forwarded");
        if !missed_deltas.contains(&index) {
            receiver.apply(now, &delta(update));
        }
    }
    assert_eq!(receiver.digest() == poller.digest(), same);
}

#[test]
fn report_that_came_back_in_time_is_forwarded() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let (mut poller, mut receiver) = (Catalog::default(), Catalog::default());
    for catalog in [&mut poller, &mut receiver] {
        catalog.apply(now, &delta(vec![present("a"), present("b")]));
        catalog.store_returned(now);
    }
    let update = update_from(&mut poller, later(100), vec![removed("a"), removed("b")]);
    receiver.apply(later(100), &delta(update));
    let update = update_from(&mut poller, later(1_000), vec![present("b")]);
    receiver.apply(later(1_000), &delta(update));
    assert_eq!(receiver.digest(), poller.digest());
    for catalog in [&mut poller, &mut receiver] {
        catalog.expire(later(2_300));
        assert_eq!(ids(catalog), ["b"]);
    }
}

/// Reports may be missed while the store is unavailable.
#[rstest]
#[case::same_warm_up(2_500, 500, 0)]
#[case::again(4_000, 3_000, 1)]
#[case::again_before_its_end(2_000, 3_000, 1)]
fn restarted_warm_up_is_detected(
    #[case] after_ms: u64,
    #[case] left_ms: u64,
    #[case] expected_changes: usize,
) {
    let now = Instant::now();
    let cold = |left_ms| {
        let cold_for = Duration::from_millis(left_ms);
        Record::Upstream(ReportedUpstream {
            cold_for,
            ..report("a")
        })
    };
    let mut catalog = Catalog::default();
    catalog.apply(now, &delta(vec![cold(3_000)]));
    let later = now + Duration::from_millis(after_ms);
    let changes = catalog.apply(later, &delta(vec![cold(left_ms)]));
    assert_eq!(changes.len(), expected_changes);
}

fn started(id: &str, born_ms: u64) -> Record {
    Record::Upstream(ReportedUpstream {
        started_ms: Some(born_ms),
        ..report(id)
    })
}

#[test]
fn later_start_replaces_an_earlier_one_but_not_vice_versa() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    assert_eq!(
        catalog.apply(now, &delta(vec![started("i-1", 100)])).len(),
        1
    );
    assert_eq!(
        catalog.apply(now, &delta(vec![started("i-1", 200)])).len(),
        1
    );
    let digest = catalog.digest();
    assert_eq!(catalog.apply(now, &delta(vec![started("i-1", 100)])), []);
    assert_eq!(catalog.digest(), digest);
    let listed: Vec<_> = catalog.listed().map(|l| l.report.started_ms).collect();
    assert_eq!(listed, [Some(200)]);
}

#[test]
fn invalid_report_removes_its_upstream_at_once() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    // This also holds shortly after an outage, while vanished reports are kept.
    catalog.store_returned(now);
    catalog.apply(now, &delta(vec![present("i-1"), present("i-2")]));
    let bad = Record::Unusable {
        key: "i-1".to_owned(),
        reason: "no JSON".to_owned(),
    };
    let removed = CatalogChange::Removed {
        id: "i-1".to_owned(),
        at_once: true,
    };
    assert_eq!(catalog.apply(now, &delta(vec![bad.clone()])), [removed]);
    let listed: Vec<_> = catalog.listed().map(|l| l.report.id.as_str()).collect();
    assert_eq!(listed, ["i-2"]);
    assert_eq!(catalog.apply(now, &delta(vec![bad])), []);
    assert_eq!(catalog.apply(now, &delta(vec![present("i-1")])).len(), 1);
}

/// A host that starts in a deployment of 10,000 upstreams would otherwise write 10,000 lines.
#[test]
fn log_entries_do_not_grow_with_the_number_of_changes() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    let all = (0..10_000).map(|n| present(&format!("i-{n}"))).collect();
    let changes = catalog.apply(now, &snapshot(all));
    assert_eq!(changes.len(), 10_000);
    let expected = ChangeReport::Counts {
        reported: 10_000,
        draining: 0,
        removed: 0,
    };
    assert_eq!(ChangeReport::new(&changes), expected);
    let few = catalog.apply(now, &delta(vec![removed("i-1"), removed("i-2")]));
    assert_eq!(ChangeReport::new(&few), ChangeReport::Each(&few));
}
