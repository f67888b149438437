//! Differences between two versions of the document.

use std::collections::BTreeMap;
use std::time::Duration;

use rstest::rstest;
use steering::route::{
    CallerLimits, Customer, DocumentChange, KeyHash, Route, RouteDocument, ServiceTerms,
    WeightedService,
};

const MANY: usize = 1_000;

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        domain: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeatable: true,
        by_object: true,
        priority: 1,
        goal: Duration::from_millis(400),
        timeout: None,
        attempts: 2,
        parts: vec![WeightedService {
            service: service.to_owned(),
            weight: 1.0,
        }],
        public: false,
        home_regions: Vec::new(),
    }
}

fn terms(connections: u32) -> ServiceTerms {
    ServiceTerms {
        connections,
        warm_up: Duration::from_secs(3),
        cold_per_s: None,
    }
}

fn document(version: u64, routes: &[(&str, &str)]) -> RouteDocument {
    let services = routes.iter().map(|(_, s)| ((*s).to_owned(), terms(10)));
    RouteDocument {
        version,
        limits: CallerLimits::default(),
        routes: routes.iter().map(|(p, s)| route(p, s)).collect(),
        customers: Vec::new(),
        services: services.collect::<BTreeMap<_, _>>(),
    }
}

/// Sorts the routes, whose order is not defined.
fn sorted(mut document: RouteDocument) -> RouteDocument {
    document.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    document
}

#[rstest]
#[case::nothing(&[("/a/", "s1")])]
#[case::added(&[("/a/", "s1"), ("/b/", "s2")])]
#[case::moved(&[("/a/", "s2")])]
#[case::replaced(&[("/b/", "s1")])]
#[case::emptied(&[])]
fn change_produces_the_newer_document(#[case] routes: &[(&str, &str)]) {
    let base = document(3, &[("/a/", "s1")]);
    let newer = document(8, routes);
    let change = DocumentChange::between(&base, &newer);
    assert_eq!(change.apply(&base).map(sorted), Some(sorted(newer)));
}

#[test]
fn limits_and_service_settings_change() {
    let base = document(3, &[("/a/", "s1")]);
    let mut newer = document(4, &[("/a/", "s1")]);
    newer.limits.body_bytes += 1;
    newer.services.insert("s1".to_owned(), terms(20));
    let change = DocumentChange::between(&base, &newer);
    assert_eq!(change.apply(&base), Some(newer));
}

#[test]
fn change_does_not_apply_to_another_version() {
    let change = DocumentChange::between(&document(3, &[]), &document(4, &[]));
    assert_eq!(change.apply(&document(2, &[])), None);
    assert_eq!(change.apply(&document(4, &[])), None);
}

#[test]
fn size_of_a_change_depends_on_what_changes() {
    let prefixes: Vec<String> = (0..MANY).map(|n| format!("/r{n}/")).collect();
    let routes: Vec<(&str, &str)> = prefixes.iter().map(|p| (p.as_str(), "s1")).collect();
    let base = document(1, &routes);
    let mut newer = document(2, &routes);
    newer.routes[7].attempts += 1;
    let change = DocumentChange::between(&base, &newer);
    let bytes = |text: serde_json::Result<String>| text.unwrap().len();
    let (change, whole) = (
        bytes(serde_json::to_string(&change)),
        bytes(serde_json::to_string(&newer)),
    );
    assert!(change * 100 < whole, "{change} of {whole} bytes");
}

fn customer(name: &str, key: &str, priority: Option<u32>) -> Customer {
    Customer {
        name: name.to_owned(),
        keys: vec![KeyHash::of(key.as_bytes())],
        priority,
        allowance: None,
        home_regions: Vec::new(),
    }
}

#[rstest]
#[case::nothing(&[("c1", "k1"), ("c2", "k2")])]
#[case::added(&[("c1", "k1"), ("c2", "k2"), ("c3", "k3")])]
#[case::revoked(&[("c1", "k1"), ("c2", "k9")])]
#[case::moved(&[("c1", "k2"), ("c2", "k1")])]
#[case::dropped(&[("c2", "k2")])]
#[case::emptied(&[])]
fn change_of_customers_produces_the_newer_document(#[case] customers: &[(&str, &str)]) {
    let with = |version, customers: &[(&str, &str)]| RouteDocument {
        customers: customers
            .iter()
            .map(|(n, k)| customer(n, k, None))
            .collect(),
        ..document(version, &[("/a/", "s1")])
    };
    let (before, after) = (with(3, &[("c1", "k1"), ("c2", "k2")]), with(7, customers));
    let change = DocumentChange::between(&before, &after);
    assert_eq!(change.apply(&before), Some(after));
}

#[test]
fn change_of_one_of_many_customers_is_small() {
    let many = |version, priority| {
        let customers = (0..MANY).map(|i| customer(&format!("c{i:05}"), &format!("k{i}"), None));
        let mut customers: Vec<Customer> = customers.collect();
        customers[500].priority = priority;
        RouteDocument {
            customers,
            ..document(version, &[("/a/", "s1")])
        }
    };
    let change = DocumentChange::between(&many(1, None), &many(2, Some(1)));
    let bytes = serde_json::to_vec(&change).unwrap().len();
    assert!(bytes < 1_000, "{bytes} bytes");
}
