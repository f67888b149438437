//! Services of some upstreams in one region, and requests to them.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use steering::route::{
    Catalog, Changes, Choice, Estimate, Evacuations, ObservedState, Record, RegionPool,
    ReportedUpstream, Requirements, RouteDocument, RouteView, ServicePool, ServiceTerms,
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
        slots: SLOTS,
        draining: false,
        cold_for,
    }
}

/// A service of so many upstreams in one region.
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
        &mut ObservedState::default(),
        now,
    );
    pools.remove("s1").unwrap()
}

/// The goal of all requests here.
pub const GOAL: Duration = Duration::from_millis(400);

pub fn wish<'a>(service: &'a ServicePool, hosts: Option<&'a [String]>) -> Requirements<'a> {
    Requirements {
        object: 42,
        by_object: true,
        latency_goal: GOAL,
        urgency: 1.0,
        excluded: &[],
        typical_work: Duration::from_millis(200),
        estimate: Box::leak(Box::new(Estimate::new(GOAL))),
        elapsed: Duration::ZERO,
        terms: service.terms.as_ref(),
        cold_limit_per_s: &|bears| bears,
        this_host: "h1",
        region_hosts: hosts,
    }
}

pub fn pool(service: &ServicePool) -> &RegionPool {
    &service.regions["costa"]
}

pub fn member<'a>(service: &'a ServicePool, id: &str) -> &'a Upstream {
    let mut upstreams = pool(service).upstreams.iter();
    upstreams
        .find(|upstream| upstream.report.id == id)
        .expect("it is a member")
}

pub fn load(service: &ServicePool, id: &str, requests: u32, now: Instant) {
    member(service, id).state().load_reported(now, requests, 0);
}

/// Chooses for a request that is sent then.
pub fn choose(
    pool: &RegionPool,
    wish: &Requirements<'_>,
    now: Instant,
) -> Result<Choice, Unavailable> {
    let choice = steering::route::choose(pool, wish, now)?;
    choice.note_sent(now, wish.by_object.then_some(wish.object));
    Ok(choice)
}

/// The object's first and second home among so many upstreams. They are of their own, so
/// that nothing is sent to those of a test.
pub fn homes(count: usize, now: Instant) -> (String, String) {
    let service = &service(count, Duration::ZERO, now);
    let first = choose(pool(service), &wish(service, None), now).unwrap();
    let first = first.upstream.report.id.clone();
    let tried = [first.clone()];
    let rest = Requirements {
        excluded: &tried,
        ..wish(service, None)
    };
    let second = choose(pool(service), &rest, now).unwrap();
    (first, second.upstream.report.id.clone())
}
