//! Random settings are either accepted without loss, or rejected with a reason.

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngSeed};
use serde_json::{Value, json};
use stagedeck::Config;

fn valid_settings() -> Value {
    json!({
        "host": "n1", "zone": "norte",
        "caller_address": "127.0.0.1:8080", "relay_address": "127.0.0.1:8081",
        "peer_address": "127.0.0.1:8082", "operator_address": "127.0.0.1:8083",
        "platform_address": "127.0.0.1:8070", "peer_key": "sixteen characters",
        "seeds": ["127.0.0.1:9082"], "limits": {"connections": 10}, "ticket_ttl_ms": 1000,
        "look_up_ttl_ms": 500, "traffic_threads": 2, "log": "info"
    })
}

fn value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        Just(json!([1])),
        Just(json!({"connections": 0})),
        Just(json!("127.0.0.1:0")),
    ]
}

proptest! {
    #![proptest_config(Cases {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..Cases::default()
    })]

    #[test]
    fn accepted_settings_survive_a_round_trip(field in any::<prop::sample::Index>(), value in value()) {
        let mut settings = valid_settings();
        let fields = settings.as_object_mut().unwrap();
        let name = fields.keys().nth(field.index(fields.len())).unwrap().clone();
        fields.insert(name.clone(), value);
        match Config::parse(&settings.to_string()) {
            Ok(accepted) => {
                let text = serde_json::to_string(&accepted).unwrap();
                prop_assert_eq!(Config::parse(&text).unwrap(), accepted);
            }
            Err(error) => prop_assert!(!error.to_string().is_empty()),
        }
    }

    #[test]
    fn any_text_is_rejected_with_a_reason(text in ".{0,200}") {
        let error = Config::parse(&text).unwrap_err();
        prop_assert!(!error.to_string().is_empty());
    }
}

#[test]
fn valid_settings_are_accepted() {
    Config::parse(&valid_settings().to_string()).unwrap();
}
