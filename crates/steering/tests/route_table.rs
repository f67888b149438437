//! Lookup of a request's route.

use std::time::Duration;

use rstest::rstest;
use steering::route::{Route, RouteDocument, RouteTable, WeightedService};

fn route(domain: &str, prefix: &str) -> Route {
    Route {
        name: format!("{domain}{prefix}"),
        domain: domain.to_owned(),
        prefix: prefix.to_owned(),
        repeatable: true,
        priority: 1,
        goal: Duration::from_millis(400),
        timeout: None,
        attempts: 2,
        parts: vec![WeightedService {
            service: "surcos".to_owned(),
            weight: 1.0,
        }],
        by_object: true,
        public: false,
        home_regions: Vec::new(),
    }
}

fn table(routes: &[(&str, &str)]) -> RouteTable {
    RouteTable::new(&RouteDocument {
        version: 1,
        routes: routes.iter().map(|(d, p)| route(d, p)).collect(),
        ..RouteDocument::default()
    })
}

#[rstest]
#[case::longest_wins("a.example", "/x/y/z", Some("a.example/x/y/"))]
#[case::shorter("a.example", "/x/q", Some("a.example/x/"))]
#[case::exactly_the_prefix("a.example", "/x/", Some("a.example/x/"))]
#[case::prefix_without_its_slash("a.example", "/x", None)]
#[case::only_whole_segments("a.example", "/xx/y", None)]
#[case::other_domain("b.example", "/x/y/", Some("b.example/"))]
#[case::root("b.example", "/", Some("b.example/"))]
#[case::port_and_case("A.Example:8080", "/x/1", Some("a.example/x/"))]
#[case::unknown_domain("c.example", "/x/", None)]
#[case::no_path("a.example", "", None)]
fn finds_the_longest_prefix(#[case] host: &str, #[case] path: &str, #[case] found: Option<&str>) {
    let table = table(&[
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/"),
    ]);
    let route = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(route, found);
}

/// The cost of a look-up depends on the segments of the path and not on the number of
/// routes.
#[test]
fn finds_one_of_ten_thousand() {
    let prefixes: Vec<String> = (0..10_000).map(|i| format!("/r{i}/")).collect();
    let routes: Vec<(&str, &str)> = prefixes.iter().map(|p| ("a.example", p.as_str())).collect();
    let table = table(&routes);
    for (i, prefix) in prefixes.iter().enumerate() {
        let found = table.find("a.example", &format!("{prefix}deep/er/{i}"));
        assert_eq!(found.map(|route| &route.prefix), Some(prefix));
    }
}
