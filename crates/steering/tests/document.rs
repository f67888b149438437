//! Validation and changes of configurations.

use rstest::rstest;
use serde_json::{Value, json};
use steering::Document;
use steering::document::{Change, Edit, EditError, Kind, ObjectId};
use steering::labels::Selector;

fn valid_document() -> Value {
    json!({
        "regions": [{"name": "sierra"}, {"name": "costa"}],
        "zones": [{"name": "norte", "region": "sierra"}, {"name": "puerto", "region": "costa"}],
        "links": [{"from": "sierra", "to": "costa", "one_way_ms": 35}],
        "services": [{"name": "surcos"}],
        "upstreams": [{"name": "u1", "service": "surcos", "zone": "norte",
                       "address": "127.0.0.1:9000", "slots": 9}],
        "rules": [{"name": "all", "places": [
            {"zones": {"equals": {"zone": "norte"}}, "share_percent": 70},
            {"zones": {"equals": {"zone": "puerto"}}, "share_percent": 30, "cap_per_s": 10}]}],
        "blocks": [{"prefix": "10.0.0.0/8", "zone": "norte"}]
    })
}

/// Operations of a service, with one that has this identity.
fn operations_with_identity(identity: Value) -> Value {
    json!([{"name": "file", "repeatable": false, "identity": identity}])
}

#[test]
fn a_valid_document_passes() {
    let document: Document = serde_json::from_value(valid_document()).unwrap();
    assert_eq!(document.check(), Ok(()));
}

#[rstest]
#[case("/regions/0/name", json!(""), "regions[0].name", "letters")]
#[case("/zones/0/region", json!("selva"), "zones[0].region", "no region is named `selva`")]
#[case("/zones/1/name", json!("norte"), "zones[1].name", "used twice")]
#[case("/zones/0/limit_in_flight", json!(0), "zones[0].limit_in_flight", "at least 1")]
#[case("/zones/0/labels", json!({"state": "asleep"}), "zones[0].labels.state", "one of active")]
#[case("/links/0/to", json!("sierra"), "links[0]", "joins a region to itself")]
#[case("/links/0/one_way_ms", json!(-1), "links[0].one_way_ms", "0 or more")]
#[case("/services/0/deadline_ms", json!(0), "services[0].deadline_ms", "at least 1")]
#[case("/services/0/priority", json!(10), "services[0].priority", "from 0 to 9")]
#[case("/services/0/operations", operations_with_identity(json!({"key_headers": []})), "services[0].operations[0].identity.key_headers", "not be empty")]
#[case("/services/0/operations", operations_with_identity(json!({"key_headers": ["X-A"]})), "services[0].operations[0].identity.key_headers[0]", "lower-case")]
#[case("/services/0/operations", operations_with_identity(json!({"key_headers": ["a"], "argument_headers": ["b", "a"]})), "services[0].operations[0].identity.argument_headers[1]", "twice")]
#[case("/services/0/operations", operations_with_identity(json!({"key_headers": ["a"], "rejected_statuses": [422, 500]})), "services[0].operations[0].identity.rejected_statuses[1]", "is 500")]
#[case("/services/0/operations", json!([{"name": "a", "repeatable": true, "identity": {"key_headers": ["a"]}}]), "services[0].operations[0].identity", "only for operations that are not repeatable")]
#[case("/upstreams/0/slots", json!(0), "upstreams[0].slots", "at least 1")]
#[case("/upstreams/0/connection_limit", json!(3), "upstreams[0].connection_limit", "at least 9")]
#[case("/upstreams/0/service", json!("x"), "upstreams[0].service", "no service is named `x`")]
#[case("/rules/0/places/0/share_percent", json!(80), "rules[0].places", "sums to 110")]
#[case("/rules/0/places/0/share_percent", json!(170), "rules[0].places[0].share_percent", "0 to 100")]
#[case("/rules/0/places/0/zones", json!({"equals": {"zone": "x"}}), "rules[0].places[0].zones", "matches no zone")]
#[case("/rules/0/places/0/zones", json!({}), "rules[0].places[1].zones", "already in places[0]")]
#[case("/rules/0/traffic", json!({"service": {"exists": ["x"]}}), "rules[0].traffic.service", "matches no service")]
#[case("/blocks/0/prefix", json!("10.0.0.1/8"), "blocks[0].prefix", "bits set")]
#[case("/blocks/0/zone", json!("x"), "blocks[0].zone", "no zone")]
fn an_invalid_field_is_reported_with_its_path(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] reason: &str,
) {
    let mut document = valid_document();
    match document.pointer_mut(pointer) {
        Some(field) => *field = value,
        None => {
            let (parent, field) = pointer.rsplit_once('/').unwrap();
            document.pointer_mut(parent).unwrap()[field] = value;
        }
    }
    let document: Document = serde_json::from_value(document).unwrap();
    let problems = document.check().unwrap_err().list;
    let found = problems
        .iter()
        .any(|p| p.path == path && p.reason.contains(reason));
    assert!(found, "{problems:?}");
}

#[test]
fn all_problems_are_reported_together() {
    let mut document = valid_document();
    document["zones"][0]["region"] = json!("x");
    document["upstreams"][0]["slots"] = json!(0);
    let document: Document = serde_json::from_value(document).unwrap();
    assert!(document.check().unwrap_err().list.len() >= 2);
}

#[rstest]
#[case(json!({"zonas": []}))]
#[case(json!({"zones": [{"name": "a", "region": "b", "limit": 3}]}))]
#[case(json!({"services": [{"name": "a", "deadline_s": 3}]}))]
#[case(json!({"upstreams": [{"name": "a", "service": "s", "zone": "z", "address": "host:80", "slots": 1}]}))]
fn unknown_fields_and_names_for_addresses_are_refused(#[case] document: Value) {
    assert!(serde_json::from_value::<Document>(document).is_err());
}

#[rstest]
#[case(json!({}), true)]
#[case(json!({"equals": {"tier": "gold"}}), true)]
#[case(json!({"equals": {"tier": "iron"}}), false)]
#[case(json!({"in": {"tier": ["gold", "iron"]}}), true)]
#[case(json!({"in": {"none": ["gold"]}}), false)]
#[case(json!({"not_in": {"tier": ["gold"]}}), false)]
#[case(json!({"not_in": {"none": ["gold"]}}), true)]
#[case(json!({"exists": ["tier"]}), true)]
#[case(json!({"exists": ["none"]}), false)]
#[case(json!({"absent": ["none"]}), true)]
#[case(json!({"absent": ["tier"]}), false)]
#[case(json!({"equals": {"tier": "gold"}, "absent": ["tier"]}), false)]
fn selectors_match_as_their_terms_say(#[case] selector: Value, #[case] matches: bool) {
    let selector: Selector = serde_json::from_value(selector).unwrap();
    let labels = [("tier".to_owned(), "gold".to_owned())].into();
    assert_eq!(selector.matches(&labels), matches);
}

#[test]
fn a_difference_turns_one_document_into_the_other() {
    let before: Document = serde_json::from_value(valid_document()).unwrap();
    let mut after = valid_document();
    after["upstreams"][0]["slots"] = json!(3);
    after["rules"] = json!([]);
    after["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "manifiestos"}));
    let after: Document = serde_json::from_value(after).unwrap();
    let change = before.difference(&after, "c".to_owned());
    assert_eq!(change.edits.len(), 3);
    assert_eq!(change.apply(&before), Ok(after));
}

#[test]
fn labels_are_set_and_removed() {
    let before: Document = serde_json::from_value(valid_document()).unwrap();
    let object = ObjectId {
        kind: Kind::Upstream,
        name: "u1".to_owned(),
    };
    let set = |key: &str, value: Option<&str>| Change {
        id: "c".to_owned(),
        edits: vec![Edit::Label {
            object: object.clone(),
            labels: [(key.to_owned(), value.map(str::to_owned))].into(),
        }],
    };
    let labelled = set("tier", Some("gold")).apply(&before).unwrap();
    assert_eq!(labelled.upstreams[0].labels["tier"], "gold");
    assert_eq!(set("tier", None).apply(&labelled), Ok(before.clone()));
    assert!(matches!(
        set("state", Some("x")).apply(&before),
        Err(EditError::Problems(_))
    ));
}

#[test]
fn a_change_of_a_missing_object_changes_nothing() {
    let before: Document = serde_json::from_value(valid_document()).unwrap();
    let missing = ObjectId {
        kind: Kind::Zone,
        name: "x".to_owned(),
    };
    let change = Change {
        id: "c".to_owned(),
        edits: vec![Edit::Remove(missing.clone())],
    };
    assert_eq!(change.apply(&before), Err(EditError::Missing(missing)));
}

#[test]
fn a_large_change_adds_replaces_and_removes_objects() {
    let mut before = valid_document();
    let blocks: Vec<Value> = (0..200)
        .map(|n| json!({"prefix": format!("10.{n}.0.0/16"), "zone": "norte"}))
        .collect();
    before["blocks"] = json!(blocks);
    let mut after = before.clone();
    after["blocks"][7]["zone"] = json!("puerto");
    let more = (0..60).map(|n| json!({"prefix": format!("11.{n}.0.0/16"), "zone": "puerto"}));
    after["blocks"].as_array_mut().unwrap().extend(more);
    after["blocks"].as_array_mut().unwrap().remove(100);
    let before: Document = serde_json::from_value(before).unwrap();
    let after: Document = serde_json::from_value(after).unwrap();
    let change = before.difference(&after, "c".to_owned());
    assert_eq!(change.edits.len(), 62);
    assert_eq!(change.apply(&before), Ok(after));
}
