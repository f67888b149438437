//! Upstreams that report themselves, as one host knows them.

use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{Catalog, CatalogChange, Changes, Record, ReportedUpstream};

fn report(id: &str) -> ReportedUpstream {
    ReportedUpstream {
        id: id.to_owned(),
        started_ms: None,
        service: "surcos".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "quito-norte".to_owned(),
        slots: 3,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

fn there(id: &str) -> Record {
    Record::Upstream(report(id))
}

fn gone(id: &str) -> Record {
    Record::UpstreamGone(id.to_owned())
}

fn part(records: Vec<Record>) -> Changes {
    Changes {
        whole: false,
        records,
        version: 1,
    }
}

fn whole(records: Vec<Record>) -> Changes {
    Changes {
        whole: true,
        ..part(records)
    }
}

fn ids(catalog: &Catalog) -> Vec<&str> {
    let listed = catalog.listed();
    listed.map(|listed| listed.report.id.as_str()).collect()
}

/// Found by a hunt: a report and its end in one answer left the upstream listed, and it
/// got work long after it had said that it leaves.
#[rstest]
#[case::report_then_end(vec![there("a"), gone("a")], &[])]
#[case::end_then_report(vec![gone("a"), there("a")], &["a"])]
#[case::end_of_another(vec![there("a"), gone("b")], &["a"])]
#[case::end_twice(vec![there("a"), gone("a"), gone("a")], &[])]
fn takes_a_part_in_its_order(#[case] records: Vec<Record>, #[case] listed: &[&str]) {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    catalog.apply(now, &part(vec![there("a")]));
    catalog.apply(now, &part(records));
    assert_eq!(ids(&catalog), listed);
}

#[test]
fn what_a_whole_feed_lacks_is_gone() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    catalog.apply(now, &part(vec![there("a"), there("b")]));
    let taken = catalog.apply(now, &whole(vec![there("b"), there("c")]));
    assert_eq!(ids(&catalog), ["b", "c"]);
    assert_eq!(taken.len(), 2, "a is gone and c is new: {taken:?}");
}

#[test]
fn a_report_that_vanishes_around_an_outage_may_come_back() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    catalog.apply(now, &part(vec![there("a"), there("b")]));
    catalog.store_returned(now);
    catalog.apply(later(100), &part(vec![gone("a"), gone("b")]));
    assert_eq!(
        ids(&catalog),
        ["a", "b"],
        "both may report themselves again"
    );
    catalog.apply(later(1_500), &part(vec![there("b")]));
    assert!(!catalog.expire(later(2_000)));
    assert!(catalog.expire(later(2_300)), "a has had its time");
    assert_eq!(ids(&catalog), ["b"]);
    catalog.apply(later(2_400), &part(vec![gone("b")]));
    assert!(ids(&catalog).is_empty(), "the outage is over");
}

#[test]
fn an_unchanged_report_changes_nothing() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    assert_eq!(catalog.apply(now, &part(vec![there("a")])).len(), 1);
    assert!(catalog.apply(now, &part(vec![there("a")])).is_empty());
    let draining = ReportedUpstream {
        draining: true,
        ..report("a")
    };
    let taken = catalog.apply(now, &part(vec![Record::Upstream(draining)]));
    assert_eq!(taken.len(), 1);
}

/// What a host that asks tells one that listens.
fn told(teller: &mut Catalog, now: Instant, records: Vec<Record>) -> Vec<Record> {
    let changes = teller.apply(now, &part(records));
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
fn a_digest_shows_what_is_missing(#[case] missed: &[usize], #[case] same: bool) {
    let now = Instant::now();
    let draining = Record::Upstream(ReportedUpstream {
        draining: true,
        ..report("a")
    });
    let parts = [
        vec![there("a"), there("b")],
        vec![there("a"), there("b")],
        vec![there("c"), there("a")],
        vec![gone("b")],
        vec![draining],
        vec![there("d")],
        vec![gone("d")],
    ];
    let (mut teller, mut listener) = (Catalog::default(), Catalog::default());
    for (place, records) in parts.into_iter().enumerate() {
        let news = told(&mut teller, now, records);
        assert_eq!(news.is_empty(), place == 1, "only what has changed is told");
        if !missed.contains(&place) {
            listener.apply(now, &part(news));
        }
    }
    assert_eq!(listener.digest() == teller.digest(), same);
}

#[test]
fn a_report_that_came_back_in_time_is_told() {
    let now = Instant::now();
    let later = |ms| now + Duration::from_millis(ms);
    let (mut teller, mut listener) = (Catalog::default(), Catalog::default());
    for catalog in [&mut teller, &mut listener] {
        catalog.apply(now, &part(vec![there("a"), there("b")]));
        catalog.store_returned(now);
    }
    let news = told(&mut teller, later(100), vec![gone("a"), gone("b")]);
    listener.apply(later(100), &part(news));
    let news = told(&mut teller, later(1_000), vec![there("b")]);
    listener.apply(later(1_000), &part(news));
    assert_eq!(listener.digest(), teller.digest());
    for catalog in [&mut teller, &mut listener] {
        catalog.expire(later(2_300));
        assert_eq!(ids(catalog), ["b"]);
    }
}

/// Reports in between may be missed while the store is away.
#[rstest]
#[case::same_warm_up(2_500, 500, 0)]
#[case::again(4_000, 3_000, 1)]
#[case::again_before_its_end(2_000, 3_000, 1)]
fn a_warm_up_that_begins_again_is_seen(
    #[case] after_ms: u64,
    #[case] left_ms: u64,
    #[case] changes: usize,
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
    catalog.apply(now, &part(vec![cold(3_000)]));
    let later = now + Duration::from_millis(after_ms);
    let taken = catalog.apply(later, &part(vec![cold(left_ms)]));
    assert_eq!(taken.len(), changes);
}

fn born(id: &str, born_ms: u64) -> Record {
    Record::Upstream(ReportedUpstream {
        started_ms: Some(born_ms),
        ..report(id)
    })
}

#[test]
fn a_later_start_replaces_an_earlier_one_and_is_not_replaced_by_it() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    assert_eq!(catalog.apply(now, &part(vec![born("i-1", 100)])).len(), 1);
    assert_eq!(catalog.apply(now, &part(vec![born("i-1", 200)])).len(), 1);
    let digest = catalog.digest();
    assert_eq!(catalog.apply(now, &part(vec![born("i-1", 100)])), []);
    assert_eq!(catalog.digest(), digest);
    let listed: Vec<_> = catalog.listed().map(|l| l.report.started_ms).collect();
    assert_eq!(listed, [Some(200)]);
}

#[test]
fn a_report_that_turns_bad_takes_its_upstream_out_at_once() {
    let mut catalog = Catalog::default();
    let now = Instant::now();
    // Also shortly after an outage, when reports that vanish are waited for.
    catalog.store_returned(now);
    catalog.apply(now, &part(vec![there("i-1"), there("i-2")]));
    let bad = Record::Unusable {
        key: "i-1".to_owned(),
        reason: "no JSON".to_owned(),
    };
    let gone = CatalogChange::Removed {
        id: "i-1".to_owned(),
        at_once: true,
    };
    assert_eq!(catalog.apply(now, &part(vec![bad.clone()])), [gone]);
    let listed: Vec<_> = catalog.listed().map(|l| l.report.id.as_str()).collect();
    assert_eq!(listed, ["i-2"]);
    assert_eq!(catalog.apply(now, &part(vec![bad])), []);
    assert_eq!(catalog.apply(now, &part(vec![there("i-1")])).len(), 1);
}
