//! Untrusted input is accepted or refused, and never panics.
//!
//! `STAGEDECK_CASES` sets the number of cases.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::{Value, json};
use steering::Document;
use steering::document::{Change, Proposal};
use steering::history::{Entry, History, Snapshot};
use steering::limiter::{LimitKey, LoanRequest};
use steering::plan::Plan;
use steering::ticket;

fn config() -> Config {
    let cases = std::env::var("STAGEDECK_CASES").ok();
    Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(512),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    }
}

/// Values that occur in valid documents and values that do not.
fn arbitrary_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z]{0,3}".prop_map(Value::from),
        Just(json!("norte")),
        Just(json!("surcos")),
        Just(json!("10.0.0.0/8")),
        Just(json!("127.0.0.1:9000")),
        Just(json!([])),
        Just(json!({})),
    ]
}

fn valid_document() -> Value {
    json!({
        "regions": [{"name": "sierra", "limit_in_flight": 9}, {"name": "costa"}],
        "zones": [{"name": "norte", "region": "sierra"}, {"name": "puerto", "region": "costa"}],
        "links": [{"from": "sierra", "to": "costa", "one_way_ms": 35, "limit_in_flight": 4}],
        "services": [{"name": "surcos", "operations": [
            {"name": "file", "repeatable": false, "identity": {"key_headers": ["a"]}}]}],
        "upstreams": [{"name": "u1", "service": "surcos", "zone": "norte",
                       "address": "127.0.0.1:9000", "slots": 9}],
        "rules": [{"name": "all", "places": [
            {"zones": {"equals": {"zone": "norte"}}, "share_percent": 70},
            {"zones": {"equals": {"zone": "puerto"}}, "share_percent": 30, "cap_per_s": 10}]}],
        "blocks": [{"prefix": "10.0.0.0/8", "zone": "norte"}]
    })
}

/// Collects the JSON pointers of a value and of all values inside it.
fn pointers(value: &Value, at: String, all: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                pointers(field, format!("{at}/{name}"), all);
            }
        }
        Value::Array(items) => {
            for (i, item) in items.iter().enumerate() {
                pointers(item, format!("{at}/{i}"), all);
            }
        }
        _ => {}
    }
    all.push(at);
}

/// A valid document with up to three values replaced.
fn mutated_document() -> impl Strategy<Value = Value> {
    let replacements =
        prop::collection::vec((any::<prop::sample::Index>(), arbitrary_value()), 0..4);
    replacements.prop_map(|replacements| {
        let mut document = valid_document();
        for (index, value) in replacements {
            let mut all = Vec::new();
            pointers(&document, String::new(), &mut all);
            let pointer = all[index.index(all.len())].clone();
            if let Some(target) = document.pointer_mut(&pointer) {
                *target = value;
            }
        }
        document
    })
}

proptest! {
    #![proptest_config(config())]

    /// A document that passes the check can be applied, indexed and sent as a snapshot.
    #[test]
    fn a_document_that_is_accepted_can_be_used(document in mutated_document()) {
        let Ok(document) = serde_json::from_value::<Document>(document) else {
            return Ok(());
        };
        if document.check().is_err() {
            return Ok(());
        }
        let change = Document::default().difference(&document, "c".to_owned());
        let mut history = History::default();
        let entry = history.propose(change);
        prop_assert_eq!(history.accept(&entry), Ok(true));
        prop_assert_eq!(&**history.document(), &document);
        let plan = Plan::new(std::sync::Arc::clone(history.document()));
        for zone in &document.zones {
            plan.zone_limits(&zone.name);
        }
        let sent = serde_json::to_vec(&history.snapshot()).unwrap();
        let snapshot: Snapshot = serde_json::from_slice(&sent).unwrap();
        prop_assert_eq!(History::default().install(&snapshot), Ok(true));
    }

    /// An entry or snapshot with a flipped bit never installs different content.
    #[test]
    fn a_damaged_entry_or_snapshot_installs_nothing_different(at in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let document: Document = serde_json::from_value(valid_document()).unwrap();
        let mut history = History::default();
        let entry = history.propose(Document::default().difference(&document, "c".to_owned()));
        history.accept(&entry).unwrap();
        let flip_bit = |text: Vec<u8>| {
            let mut damaged = text;
            let at = at.index(damaged.len());
            damaged[at] ^= 1 << bit;
            damaged
        };
        let encoded = serde_json::to_vec(&entry).unwrap();
        if let Ok(damaged) = serde_json::from_slice::<Entry>(&flip_bit(encoded)) {
            let mut fresh = History::default();
            let result = fresh.accept(&damaged);
            prop_assert!(result != Ok(true) || damaged == entry, "{damaged:?}");
        }
        let encoded = serde_json::to_vec(&history.snapshot()).unwrap();
        if let Ok(damaged) = serde_json::from_slice::<Snapshot>(&flip_bit(encoded)) {
            let mut fresh = History::default();
            if fresh.install(&damaged) == Ok(true) {
                prop_assert_eq!(&**fresh.document(), &document);
                prop_assert_eq!(fresh.position(), history.position());
            }
        }
    }

    /// Arbitrary text and bytes are decoded or refused without a panic.
    #[test]
    fn any_text_is_decoded_or_refused(text in ".{0,200}", bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = ticket::decode_unverified(&text);
        let _ = serde_json::from_slice::<Document>(&bytes);
        let _ = serde_json::from_slice::<Change>(&bytes);
        let _ = serde_json::from_slice::<Proposal>(&bytes);
        let _ = serde_json::from_slice::<Entry>(&bytes);
        let _ = serde_json::from_slice::<LimitKey>(&bytes);
        let _ = serde_json::from_slice::<LoanRequest>(&bytes);
    }
}

proptest! {
    #![proptest_config(config())]

    /// The issuing host refuses a ticket with any byte changed.
    #[test]
    fn a_changed_ticket_is_refused(at in any::<prop::sample::Index>(), with in "[A-Za-z0-9_.-]", seed in any::<u64>()) {
        use rand::SeedableRng;
        use std::time::Duration;
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let issuer = ticket::Issuer::new("n1".to_owned(), 1, &mut rng);
        let mode = steering::document::TicketMode::Home;
        let text = issuer.issue("surcos", mode, Duration::from_secs(9), &mut rng);
        let at = at.index(text.len());
        let changed = format!("{}{with}{}", &text[..at], &text[at + 1..]);
        let now = Duration::from_secs(1);
        prop_assert!(issuer.verify(&text, "surcos", now).is_ok());
        let result = issuer.verify(&changed, "surcos", now);
        prop_assert!(changed == text || result.is_err(), "{result:?}");
    }
}
