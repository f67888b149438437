//! What is believed of upstreams while views follow each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rstest::rstest;
use steering::route::{
    Catalog, Changes, Evacuations, ObservedState, Record, ReportedUpstream, RouteDocument,
    RouteView, Upstream,
};
use steering::statement::Obstacle;

/// Longer than what an upstream has said is remembered while no report names it.
const LONG: Duration = Duration::from_secs(3_600);

fn report(born_ms: u64, slots: u32) -> ReportedUpstream {
    ReportedUpstream {
        id: "i-1".to_owned(),
        started_ms: Some(born_ms),
        service: "s1".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "duran".to_owned(),
        slots,
        draining: false,
        cold_for: Duration::ZERO,
    }
}

/// A host's beliefs on one upstream.
#[derive(Default)]
struct Beliefs {
    catalog: Catalog,
    conditions: ObservedState,
}

impl Beliefs {
    /// The upstream of the next view, after the store has told all its reports.
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
            &mut self.conditions,
            now,
        );
        let pool = pools.get("s1")?.regions.get("costa")?;
        pool.upstreams.first().cloned()
    }
}

/// The reports (birth and slots, or none) that the store tells one after the other once an
/// upstream has said that it leaves, and what stands against a request then.
#[rstest]
#[case::still_ready(&[Some((1, 9))], Some(Obstacle::Leaves))]
#[case::changed(&[Some((1, 5))], Some(Obstacle::Leaves))]
#[case::gone_and_back(&[None, Some((1, 9))], Some(Obstacle::Leaves))]
#[case::gone_for_several_views(&[None, None, None, Some((1, 9))], Some(Obstacle::Leaves))]
#[case::born_again(&[Some((2, 9))], None)]
#[case::gone_and_born_again(&[None, Some((2, 9))], None)]
fn leaving_belongs_to_a_start_whatever_the_store_says(
    #[case] told: &[Option<(u64, u32)>],
    #[case] obstacle: Option<Obstacle>,
) {
    let now = Instant::now();
    let mut beliefs = Beliefs::default();
    let upstream = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.leave(now);
    drop(upstream);
    let mut last = None;
    for told in told {
        let reports: Vec<_> = told
            .iter()
            .map(|(born, slots)| report(*born, *slots))
            .collect();
        last = beliefs.upstream(now, &reports);
    }
    let upstream = last.expect("it is there again");
    assert_eq!(upstream.state().obstacle(now), obstacle);
}

#[test]
fn a_rest_outlasts_a_report_that_is_gone_for_a_while() {
    let now = Instant::now();
    let mut beliefs = Beliefs::default();
    let upstream = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.rest(now, LONG);
    drop(upstream);
    assert!(beliefs.upstream(now, &[]).is_none());
    let upstream = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    let rests = upstream.state().obstacle(now);
    assert_eq!(rests, Some(Obstacle::Rests(LONG)));
}

/// The answer to a request that is under way while the report vanishes says that the
/// upstream leaves.
#[test]
fn what_is_said_while_no_report_is_there_holds_when_it_is_back() {
    let now = Instant::now();
    let mut beliefs = Beliefs::default();
    let in_flight = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    assert!(beliefs.upstream(now, &[]).is_none());
    in_flight.state().statements.leave(now);
    drop(in_flight);
    assert!(beliefs.upstream(now, &[]).is_none());
    let upstream = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    assert_eq!(upstream.state().obstacle(now), Some(Obstacle::Leaves));
}

#[test]
fn what_a_start_has_said_is_not_remembered_for_good() {
    let now = Instant::now();
    let mut beliefs = Beliefs::default();
    let upstream = beliefs.upstream(now, &[report(1, 9)]).unwrap();
    upstream.state().statements.leave(now);
    drop(upstream);
    assert!(beliefs.upstream(now + LONG, &[]).is_none());
    let upstream = beliefs.upstream(now + LONG, &[report(1, 9)]).unwrap();
    assert_eq!(upstream.state().obstacle(now + LONG), None);
}
