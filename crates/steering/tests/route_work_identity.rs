//! The keys by which repeated requests are recognised.

use rstest::rstest;
use steering::route::{WorkIdentity, WorkParts};

const PARTS: WorkParts<'_> = WorkParts {
    route: "r1",
    object: Some(b"17"),
    method: "GET",
    path: "/a/b",
    customer: Some("c1"),
    body: Some(b"body"),
};

#[rstest]
#[case::path(WorkParts { path: "/a/c", ..PARTS })]
#[case::method(WorkParts { method: "PUT", ..PARTS })]
#[case::customer(WorkParts { customer: Some("c2"), ..PARTS })]
#[case::no_customer(WorkParts { customer: None, ..PARTS })]
#[case::body(WorkParts { body: Some(b"other"), ..PARTS })]
#[case::large_body(WorkParts { body: None, ..PARTS })]
fn different_requests_have_different_keys_and_the_same_object_key(#[case] other: WorkParts<'_>) {
    let work = WorkIdentity::new(&PARTS);
    let other = WorkIdentity::new(&other);
    assert_eq!(work, WorkIdentity::new(&PARTS));
    assert_ne!(work.request, other.request);
    assert_eq!(work.object, other.object);
}

#[rstest]
#[case::route(WorkParts { route: "r2", ..PARTS })]
#[case::object(WorkParts { object: Some(b"18"), ..PARTS })]
fn object_keys_depend_on_the_route(#[case] other: WorkParts<'_>) {
    let (work, other) = (WorkIdentity::new(&PARTS), WorkIdentity::new(&other));
    assert_ne!(work.object, other.object);
    assert_ne!(work.request, other.request);
}

#[test]
fn a_request_without_an_object_has_one_key() {
    let parts = WorkParts {
        object: None,
        ..PARTS
    };
    let work = WorkIdentity::new(&parts);
    assert_eq!(work.request, work.object);
    assert_eq!(work.keys().count(), 1);
}
