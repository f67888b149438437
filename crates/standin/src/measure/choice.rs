//! What it costs a request to select its upstream, by the number of upstreams, and to find
//! out whether its service has a roll-out.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::route::{
    Catalog, Changes, Estimate, Evacuations, ObservedState, Record, ReportedUpstream, Requirements,
    Rollouts, RouteDocument, RouteView, ServicePool, choose, object_hash,
};

use super::balance::round;

const SERVICE: &str = "work";
const ZONE: &str = "zone-1";
const REGION: &str = "region-1";
/// Upstreams of the service in its region.
const UPSTREAMS: [usize; 4] = [10, 100, 1_356, 12_000];
const ROUNDS: usize = 9;
/// Upstreams that the choices of a round compare in all, so that each size takes as long.
const COMPARED: usize = 12_000_000;
const LOOK_UPS: usize = 2_000_000;
const PROBED: usize = 100_000;
/// Points of an object: with 21 the busiest member has 1.05 times the mean.
const PROBES: u64 = 21;
/// Odd, from the golden ratio.
const PROBE_STEP: u64 = 0x9E37_79B9_7F4A_7C15;
const GOAL: Duration = Duration::from_millis(400);

/// Nanoseconds of a call, the median of some rounds.
fn nanoseconds(calls: usize, mut call: impl FnMut(u64)) -> f64 {
    let mut rounds: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let begun = Instant::now();
            (0..calls as u64).for_each(&mut call);
            begun.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

/// A service with upstreams of one version, and without an order.
fn service(upstreams: usize, now: Instant) -> ServicePool {
    let report = |number| ReportedUpstream {
        id: format!("i-{number}"),
        started_ms: None,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: ZONE.to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        draining: false,
        cold_for: Duration::ZERO,
    };
    let mut catalog = Catalog::default();
    let records = (0..upstreams).map(|number| Record::Upstream(report(number)));
    let changes = Changes {
        whole: true,
        records: records.collect(),
        version: 1,
    };
    catalog.apply(now, &changes);
    let mut pools = RouteView::pools(
        &RouteDocument::default(),
        &catalog,
        &Evacuations::default(),
        &BTreeMap::from([(ZONE.to_owned(), REGION.to_owned())]),
        &Rollouts::default(),
        &mut ObservedState::default(),
        now,
    );
    pools.remove(SERVICE).unwrap_or_default()
}

/// Multi-probe consistent hashing, for comparison: members on a ring, a point each; an object's
/// home is the member that is nearest behind one of some points of the object (Appleton and
/// O'Reilly, "Multi-probe consistent hashing", 2015).
struct ProbedRing(Vec<u64>);

impl ProbedRing {
    fn new(members: usize) -> Self {
        let points = (0..members).map(|member| object_hash("member", &member.to_le_bytes()));
        let mut points: Vec<u64> = points.collect();
        points.sort_unstable();
        ProbedRing(points)
    }

    fn home(&self, object: u64) -> Option<usize> {
        let nearest = (0..PROBES).map(|probe| {
            let point = (object ^ probe.wrapping_mul(PROBE_STEP)).wrapping_mul(PROBE_STEP);
            let member = self.0.partition_point(|other| *other < point) % self.0.len();
            (self.0[member].wrapping_sub(point), member)
        });
        nearest.min().map(|(_, member)| member)
    }
}

/// Measures on one core.
pub fn run() -> Value {
    let now = Instant::now();
    let estimate = Estimate::new(GOAL);
    let choices = UPSTREAMS.map(|upstreams| {
        let service = service(upstreams, now);
        let pool = &service.regions[REGION];
        let ns = nanoseconds(COMPARED / upstreams, |object| {
            let requirements = Requirements {
                object: black_box(object),
                by_object: true,
                latency_goal: GOAL,
                urgency: 1.0,
                excluded: &[],
                part: None,
                typical_work: GOAL / 2,
                estimate: &estimate,
                elapsed: Duration::ZERO,
                terms: None,
                cold_limit_per_s: &|limit_per_s| limit_per_s,
                this_host: "h1",
                region_hosts: None,
                running_for: Duration::from_secs(60),
            };
            let _ = black_box(choose(pool, &requirements, now));
        });
        let ring = ProbedRing::new(upstreams);
        let probed_ns = nanoseconds(PROBED, |object| {
            black_box(ring.home(black_box(object.wrapping_mul(PROBE_STEP))));
        });
        json!({"upstreams": upstreams, "ns": round(ns), "probed_ring_ns": round(probed_ns)})
    });
    let service = service(1, now);
    let no_order_ns = nanoseconds(LOOK_UPS, |_| {
        black_box(black_box(&service).rollout.is_some());
    });
    json!({"measure": "choice", "choices": choices, "no_order_ns": round(no_order_ns)})
}
