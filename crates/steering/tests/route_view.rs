//! Observed state of upstreams across successive views.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{
    Catalog, Changes, Evacuations, ObservedState, Record, ReportedUpstream, Rollouts,
    RouteDocument, RouteView, Upstream,
};
use steering::statement::Obstacle;

/// Longer than the time for which statements are remembered without a report.
const LONG: Duration = Duration::from_secs(3_600);

fn report(started_ms: u64, slots: u32) -> ReportedUpstream {
    ReportedUpstream {
        id: "i-1".to_owned(),
        started_ms: Some(started_ms),
        service: "s1".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "duran".to_owned(),
        version: String::new(),
        slots,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

/// A host's known state of one upstream.
#[derive(Default)]
struct KnownState {
    catalog: Catalog,
    observed: ObservedState,
}

impl KnownState {
    /// Applies a complete snapshot of the reports and returns the upstream of the next
    /// view.
    fn upstream(&mut self, now: Instant, reports: &[ReportedUpstream]) -> Option<Arc<Upstream>> {
        let whole = Changes {
            whole: true,
            records: reports.iter().cloned().map(Record::Upstream).collect(),
            version: 1,
        };
        self.catalog.apply(now, &whole);
        let regions = BTreeMap::from([("duran".to_owned(), "costa".to_owned())]);
        let pools = RouteView::pools(
            &RouteDocument::default(),
            &self.catalog,
            &Evacuations::default(),
            &regions,
            &Rollouts::default(),
            &mut self.observed,
            now,
        );
        let pool = pools.get("s1")?.regions.get("costa")?;
        pool.upstreams.first().cloned()
    }
}

/// Reports (start time and slots, or none) read one after the other after an upstream has
/// declared that it shuts down, and the resulting obstacle.
#[rstest]
#[case::still_ready(&[Some((1, 9))], Some(Obstacle::Leaves))]
#[case::changed(&[Some((1, 5))], Some(Obstacle::Leaves))]
#[case::gone_and_back(&[None, Some((1, 9))], Some(Obstacle::Leaves))]
#[case::gone_for_several_views(&[None, None, None, Some((1, 9))], Some(Obstacle::Leaves))]
#[case::born_again(&[Some((2, 9))], None)]
#[case::gone_and_born_again(&[None, Some((2, 9))], None)]
fn shutdown_statement_applies_to_one_start_whatever_the_reports(
    #[case] snapshots: &[Option<(u64, u32)>],
    #[case] obstacle: Option<Obstacle>,
) {
    let now = Instant::now();
    let mut known_state = KnownState::default();
    let upstream = known_state.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.leave(now);
    drop(upstream);
    let mut last = None;
    for snapshot in snapshots {
        let reports: Vec<_> = snapshot
            .iter()
            .map(|(started_ms, slots)| report(*started_ms, *slots))
            .collect();
        last = known_state.upstream(now, &reports);
    }
    let upstream = last.expect("the report is back");
    assert_eq!(upstream.state().obstacle(now), obstacle);
}

#[test]
fn rest_survives_a_missing_report() {
    let now = Instant::now();
    let mut known_state = KnownState::default();
    let upstream = known_state.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.rest(now, LONG);
    drop(upstream);
    assert!(known_state.upstream(now, &[]).is_none());
    let upstream = known_state.upstream(now, &[report(1, 9)]).unwrap();
    let obstacle = upstream.state().obstacle(now);
    assert_eq!(obstacle, Some(Obstacle::Rests(LONG)));
}

/// The answer to a request in flight declares that the upstream shuts down, while its
/// report is missing.
#[test]
fn statement_without_a_report_holds_when_the_report_returns() {
    let now = Instant::now();
    let mut known_state = KnownState::default();
    let in_flight = known_state.upstream(now, &[report(1, 9)]).unwrap();
    assert!(known_state.upstream(now, &[]).is_none());
    in_flight.state().statements.leave(now);
    drop(in_flight);
    assert!(known_state.upstream(now, &[]).is_none());
    let upstream = known_state.upstream(now, &[report(1, 9)]).unwrap();
    assert_eq!(upstream.state().obstacle(now), Some(Obstacle::Leaves));
}

#[test]
fn statements_of_a_start_expire() {
    let now = Instant::now();
    let mut known_state = KnownState::default();
    let upstream = known_state.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.leave(now);
    drop(upstream);
    assert!(known_state.upstream(now + LONG, &[]).is_none());
    let upstream = known_state.upstream(now + LONG, &[report(1, 9)]).unwrap();
    assert_eq!(upstream.state().obstacle(now + LONG), None);
}
