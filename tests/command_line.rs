//! The commands for operators, run against a small deployment.

use std::path::PathBuf;
use std::sync::LazyLock;

use clap::Parser;
use rstest::rstest;
use stagedeck::{Cli, Config, Outcome};
use standin::{Deployment, DeploymentPlan};

fn run(words: &[&str]) -> Outcome {
    let words = ["stagedeck"].iter().chain(words);
    stagedeck::run(&Cli::parse_from(words))
}

fn at(host: &str, words: &[&str]) -> Outcome {
    let mut words = words.to_vec();
    words.extend(["--host", host]);
    run(&words)
}

fn example(name: &str) -> String {
    let path: PathBuf = [env!("CARGO_MANIFEST_DIR"), "examples", name]
        .iter()
        .collect();
    path.display().to_string()
}

fn start() -> (Deployment, String) {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let host = deployment.addresses("n1").operator.to_string();
    (deployment, host)
}

#[rstest]
#[case("railway.json", "6 zones, 2 services, 36 upstreams")]
#[case("tax.json", "6 zones, 2 services, 36 upstreams")]
#[case("settings.json", "good settings")]
fn examples_pass_the_check(#[case] file: &str, #[case] expected: &str) {
    let outcome = run(&["check", &example(file)]);
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    assert!(outcome.out.contains(expected), "{}", outcome.out);
}

static SETTINGS: LazyLock<serde_json::Value> = LazyLock::new(|| {
    serde_json::from_str(&std::fs::read_to_string(example("settings.json")).unwrap()).unwrap()
});

#[rstest]
#[case("host", serde_json::json!(""), "host: must be")]
#[case("zone", serde_json::json!("a b"), "zone: must be")]
#[case("peer_key", serde_json::json!("short"), "peer_key: must have at least 16")]
#[case("look_up_ttl_ms", serde_json::json!(1), "look_up_ttl_ms: must be from 100")]
#[case("caller_address", serde_json::json!("0.0.0.0:1"), "caller_address: must be an IP address that others")]
#[case("peer_address", serde_json::json!("127.0.0.1:8080"), "peer_address: `127.0.0.1:8080` is used twice")]
#[case("log", serde_json::json!("loud=yes=no"), "log: ")]
#[case("limits", serde_json::json!({"head_bytes": 10}), "limits.head_bytes: must be from 8192")]
#[case("caller_address", serde_json::json!("localhost:80"), "invalid socket address")]
#[case("look_up_ttl_s", serde_json::json!(5), "unknown field `look_up_ttl_s`")]
fn errors_name_the_invalid_setting(
    #[case] field: &str,
    #[case] value: serde_json::Value,
    #[case] expected: &str,
) {
    let mut settings = SETTINGS.clone();
    settings[field] = value;
    let error = Config::parse(&settings.to_string())
        .unwrap_err()
        .to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn all_invalid_settings_are_reported_at_once() {
    let mut settings = SETTINGS.clone();
    settings["host"] = "".into();
    settings["peer_key"] = "".into();
    let error = Config::parse(&settings.to_string())
        .unwrap_err()
        .to_string();
    assert_eq!(error.lines().count(), 2, "{error}");
}

#[test]
fn changes_take_effect_and_errors_have_their_exit_codes() {
    let (deployment, host) = start();
    let labelled = at(&host, &["label", "upstream/surcos-norte-1", "tier=gold"]);
    assert_eq!((labelled.code, labelled.err.as_str()), (0, ""));
    assert!(at(&host, &["show"]).out.contains("gold"));
    assert_eq!(at(&host, &["label", "upstream/none", "tier=gold"]).code, 2);
    assert_eq!(at(&host, &["label", "house/x", "tier=gold"]).code, 2);
    assert_eq!(at(&host, &["label", "zone/norte", "tier"]).code, 2);
    let wrong = at(&host, &["label", "zone/norte", "state=asleep"]);
    assert_eq!(wrong.code, 2);
    assert!(wrong.err.contains("zones[0].labels.state"), "{}", wrong.err);
    let repeated = ["label", "zone/norte", "a=b", "--change-id", "same"];
    let first = at(&host, &repeated);
    assert_eq!(first, at(&host, &repeated));
    deployment.platform.set_down(true);
    assert_eq!(at(&host, &["label", "zone/norte", "a=c"]).code, 5);
    assert_eq!(at("127.0.0.1:1", &["status"]).code, 5);
}

#[test]
fn a_shown_configuration_can_be_applied() {
    let (_deployment, host) = start();
    let shown = at(&host, &["show"]).out;
    let file = std::env::temp_dir().join(format!("stagedeck-{}.json", std::process::id()));
    std::fs::write(
        &file,
        shown.replace("\"queue_limit\": 64", "\"queue_limit\": 65"),
    )
    .unwrap();
    let applied = at(&host, &["apply", &file.display().to_string()]);
    assert_eq!(
        (applied.code, applied.out.as_str()),
        (0, "in force from revision 2 on")
    );
    let again = at(&host, &["apply", &file.display().to_string()]);
    assert!(again.out.contains("nothing to change"), "{again:?}");
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn a_drain_waits_until_the_upstream_is_idle() {
    let (_deployment, host) = start();
    let outcome = at(&host, &["drain", "surcos-norte-1", "--wait"]);
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    assert!(outcome.out.contains("is drained"), "{}", outcome.out);
    let status = at(&host, &["status"]).out;
    assert!(status.contains("surcos-norte-1: 0 of"), "{status}");
    assert_eq!(at(&host, &["retire", "surcos-norte-1"]).code, 0);
    assert_eq!(at(&host, &["drain", "service/surcos"]).code, 2);
}

#[test]
fn status_dump_look_up_and_completions_print_results() {
    let (deployment, host) = start();
    let status = at(&host, &["--output", "json", "status"]);
    let status: serde_json::Value = serde_json::from_str(&status.out).unwrap();
    assert_eq!(status["revision"], 1);
    let dump: serde_json::Value = serde_json::from_str(&at(&host, &["dump"]).out).unwrap();
    assert_eq!(dump["status"]["host"], "n1");
    let callers = deployment.addresses("n1").caller.to_string();
    let found = run(&[
        "lookup",
        "--at",
        &callers,
        "--service",
        "surcos",
        "--tickets",
        "2",
    ]);
    let found: serde_json::Value = serde_json::from_str(&found.out).unwrap();
    assert_eq!(found["tickets"].as_array().unwrap().len(), 2);
    assert_eq!(
        run(&["lookup", "--at", &callers, "--service", "none"]).code,
        2
    );
    assert!(run(&["completions", "bash"]).out.contains("stagedeck"));
}

#[test]
fn metrics_are_prometheus_text() {
    let (deployment, _) = start();
    let mut caller = standin::TrialCaller::new("surcos", deployment.entries());
    caller.get("/x");
    let metrics = deployment.operator("n1").metrics().unwrap();
    assert!(metrics.contains("stagedeck_requests_total"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn works_are_listed_refused_and_cleared() {
    const WORK: &str = "00000000000000a7";
    let store = platform_standin::StandInStore::start(1).await.unwrap();
    let store_address = store.address(0);
    let settings = gateway::GatewaySettings {
        metrics_address: Some(([127, 0, 0, 1], 0).into()),
        store_address,
        ..gateway::GatewaySettings::default()
    };
    let host = gateway::GatewayHost::start(
        settings,
        std::sync::Arc::new(platform::PlatformWireFormat),
        Box::new(move || Box::new(platform::PlatformStore::new(store_address)) as _),
        String::new,
    );
    let host = host.unwrap();
    let at = host.settings().metrics_address.unwrap().to_string();
    let works = |more: &[&str]| run(&[&["works", "--at", at.as_str()], more].concat());
    assert_eq!(works(&[]).out, r#"{"works":[]}"#);
    assert_eq!(works(&["--refuse", WORK]).code, 0);
    assert!(works(&[]).out.contains(WORK));
    assert_eq!(works(&["--clear", WORK]).code, 0);
    assert_eq!(works(&[]).out, r#"{"works":[]}"#);
    for (more, reason) in [
        (["--clear", WORK], "nothing is held"),
        (["--refuse", "7"], "sixteen"),
    ] {
        let outcome = works(&more);
        assert_eq!(outcome.code, 2);
        assert!(outcome.err.contains(reason), "{}", outcome.err);
    }
    host.stop();
    assert_eq!(works(&[]).code, 5);
}
