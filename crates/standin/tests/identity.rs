//! Work that its service names by header fields runs once, whoever sends it again.

use std::net::SocketAddr;

use rstest::rstest;
use serde_json::json;
use standin::{Deployment, DeploymentPlan, Reply, TrialCaller, eventually};

const WORK: &str = "/returns";
const OPERATION: &str = "return";

/// Returns are named by client and period; with arguments, the amount must be the same.
fn start(with_arguments: bool) -> Deployment {
    let arguments: &[&str] = if with_arguments { &["x-amount"] } else { &[] };
    let operation = json!({
        "name": "file", "methods": ["POST"], "path_prefix": WORK, "repeatable": false,
        "identity": {"key_headers": ["x-client", "x-period"], "argument_headers": arguments}
    });
    let mut plan = DeploymentPlan::small();
    let service = &mut plan.document.services[0];
    service.operations = vec![serde_json::from_value(operation).unwrap()];
    Deployment::start(plan).unwrap()
}

fn caller() -> TrialCaller {
    TrialCaller::new("surcos", Vec::new())
}

fn file(host: SocketAddr, amount: &str, note: &str) -> Reply {
    let named = [
        ("x-client", "17"),
        ("x-period", "2026-11"),
        ("x-amount", amount),
    ];
    caller().post(host, WORK, OPERATION, &named, note)
}

fn ran(deployment: &Deployment) -> u32 {
    let operations = deployment.operations();
    operations.get(OPERATION).copied().unwrap_or(0)
}

fn is_refused(reply: &Reply, kind: &str, said: &str) -> bool {
    matches!(reply, Reply::Refused { error, not_run, .. } if error == kind && not_run == said)
}

#[test]
fn the_same_form_sent_again_gets_the_first_answer_on_every_host() {
    let deployment = start(true);
    let hosts = deployment.entries();
    let first = file(hosts[0], "100", "first try");
    assert!(matches!(first, Reply::Answered(_)), "{first:?}");
    // The receipt reaches other hosts a little later; until then it is in progress.
    eventually("every host tells the first answer", || {
        hosts
            .iter()
            .all(|host| file(*host, "100", "sent again, other words") == first)
    })
    .unwrap();
    assert_eq!(ran(&deployment), 1);
}

#[rstest]
#[case::another_amount(true, "250", "first try")]
#[case::another_body(false, "100", "other words")]
fn another_form_under_the_same_name_is_a_conflict(
    #[case] with_arguments: bool,
    #[case] amount: &str,
    #[case] note: &str,
) {
    let deployment = start(with_arguments);
    let hosts = deployment.entries();
    assert!(matches!(
        file(hosts[0], "100", "first try"),
        Reply::Answered(_)
    ));
    for host in &hosts {
        let reply = file(*host, amount, note);
        assert!(is_refused(&reply, "ticket_conflict", "true"), "{reply:?}");
    }
    assert_eq!(ran(&deployment), 1);
}

#[test]
fn many_senders_on_all_hosts_run_it_once() {
    let deployment = start(true);
    let hosts = deployment.entries();
    std::thread::scope(|scope| {
        for (number, host) in hosts.iter().cycle().take(8).enumerate() {
            scope.spawn(move || file(*host, "100", &number.to_string()));
        }
    });
    assert_eq!(ran(&deployment), 1);
}

#[test]
fn a_rejected_form_may_be_sent_corrected() {
    let deployment = start(true);
    let host = deployment.entries()[0];
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.reject_with = Some(422));
    }
    // The upstream's own rejection reaches the caller; a stand-in's is no JSON.
    assert!(matches!(file(host, "-1", "wrong"), Reply::Answered(_)));
    assert_eq!(ran(&deployment), 0);
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.reject_with = None);
    }
    let mut last = Reply::Cut(String::new());
    eventually("the corrected form runs", || {
        last = file(host, "100", "corrected");
        matches!(last, Reply::Answered(_))
    })
    .unwrap();
    assert_eq!(ran(&deployment), 1);
    assert!(is_refused(
        &file(host, "300", "once more"),
        "ticket_conflict",
        "true"
    ));
}

#[test]
fn a_form_whose_answer_was_lost_is_unknown_and_never_run_again() {
    let deployment = start(true);
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.drop_after_run = true);
    }
    let hosts = deployment.entries();
    let reply = file(hosts[0], "100", "a");
    assert!(
        is_refused(&reply, "outcome_unknown", "unknown"),
        "{reply:?}"
    );
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.drop_after_run = false);
    }
    for host in &hosts {
        let reply = file(*host, "100", "b");
        assert!(
            matches!(&reply, Reply::Refused { not_run, .. } if not_run == "unknown"),
            "{reply:?}"
        );
    }
    assert_eq!(ran(&deployment), 1);
}

#[rstest]
#[case::missing(&[("x-client", "17")])]
#[case::empty(&[("x-client", "17"), ("x-period", "")])]
#[case::twice(&[("x-client", "17"), ("x-period", "1"), ("x-period", "2")])]
fn a_form_without_its_name_is_refused(#[case] headers: &[(&str, &str)]) {
    let deployment = start(true);
    let host = deployment.entries()[0];
    let reply = caller().post(host, WORK, OPERATION, headers, "a");
    assert!(is_refused(&reply, "identity_required", "true"), "{reply:?}");
    assert_eq!(ran(&deployment), 0);
}

#[test]
fn without_the_store_it_does_not_run() {
    let deployment = start(true);
    deployment.platform.set_down(true);
    let host = deployment.entries()[0];
    let reply = file(host, "100", "a");
    assert!(
        is_refused(&reply, "store_unavailable", "unknown"),
        "{reply:?}"
    );
    assert_eq!(ran(&deployment), 0);
    deployment.platform.set_down(false);
    eventually("it runs", || {
        matches!(file(host, "100", "b"), Reply::Answered(_))
    })
    .unwrap();
    assert_eq!(ran(&deployment), 1);
}
