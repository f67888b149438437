//! Helpers for tests of the selection: services with some upstreams in one region, and
//! requests to them.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use steering::route::{
    Catalog, Changes, Choice, Estimate, Evacuations, ObservedState, Record, RegionPool,
    ReportedUpstream, Requirements, Rollouts, RouteDocument, RouteView, ServicePool, ServiceTerms,
    Unavailable, Upstream,
};

pub const SLOTS: u32 = 3;

pub fn report(number: usize, cold_for: Duration) -> ReportedUpstream {
    ReportedUpstream {
        id: format!("i-{number}"),
        started_ms: None,
        service: "s1".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: ["duran", "puerto"][number % 2].to_owned(),
        version: String::new(),
        slots: SLOTS,
        draining: false,
        cold_for,
    }
}

/// Creates a service with `count` upstreams in one region.
pub fn service(count: usize, cold_for: Duration, now: Instant) -> ServicePool {
    let mut catalog = Catalog::default();
    let records = (0..count).map(|number| Record::Upstream(report(number, cold_for)));
    let changes = Changes {
        whole: true,
        records: records.collect(),
        version: 1,
    };
    catalog.apply(now, &changes);
    let terms = ServiceTerms {
        connections: 100,
        warm_up: Duration::from_secs(3),
        cold_per_s: Some(4.0),
    };
    let document = RouteDocument {
        customers: Vec::new(),
        services: BTreeMap::from([("s1".to_owned(), terms)]),
        ..RouteDocument::default()
    };
    let regions = ["duran", "puerto"].map(|zone| (zone.to_owned(), "costa".to_owned()));
    let regions = BTreeMap::from(regions);
    let mut pools = RouteView::pools(
        &document,
        &catalog,
        &Evacuations::default(),
        &regions,
        &Rollouts::default(),
        &mut ObservedState::default(),
        now,
    );
    pools.remove("s1").unwrap()
}

/// Latency goal of all requests.
pub const GOAL: Duration = Duration::from_millis(400);

pub fn requirements<'a>(service: &'a ServicePool, hosts: Option<&'a [String]>) -> Requirements<'a> {
    Requirements {
        object: 42,
        by_object: true,
        latency_goal: GOAL,
        urgency: 1.0,
        excluded: &[],
        part: None,
        typical_work: Duration::from_millis(200),
        estimate: Box::leak(Box::new(Estimate::new(GOAL))),
        elapsed: Duration::ZERO,
        terms: service.terms.as_ref(),
        cold_limit_per_s: &|limit_per_s| limit_per_s,
        this_host: "h1",
        region_hosts: hosts,
        running_for: Duration::from_secs(60),
    }
}

pub fn pool(service: &ServicePool) -> &RegionPool {
    &service.regions["costa"]
}

pub fn member<'a>(service: &'a ServicePool, id: &str) -> &'a Upstream {
    let mut upstreams = pool(service).upstreams.iter();
    upstreams
        .find(|upstream| upstream.report.id == id)
        .expect("the upstream is a member")
}

pub fn load(service: &ServicePool, id: &str, requests: u32, now: Instant) {
    member(service, id).state().load_reported(now, requests, 0);
}

/// Selects an upstream and counts the request as sent.
pub fn choose(
    pool: &RegionPool,
    requirements: &Requirements<'_>,
    now: Instant,
) -> Result<Choice, Unavailable> {
    let choice = steering::route::choose(pool, requirements, now)?;
    choice.note_sent(now, requirements.by_object.then_some(requirements.object));
    Ok(choice)
}

/// Returns the first and second home of the object 42 among `count` upstreams. Uses a
/// separate service, so that nothing is sent to the upstreams of the test.
pub fn homes(count: usize, now: Instant) -> (String, String) {
    let service = &service(count, Duration::ZERO, now);
    let first = choose(pool(service), &requirements(service, None), now).unwrap();
    let first = first.upstream.report.id.clone();
    let excluded = [first.clone()];
    let without_first = Requirements {
        excluded: &excluded,
        ..requirements(service, None)
    };
    let second = choose(pool(service), &without_first, now).unwrap();
    (first, second.upstream.report.id.clone())
}
