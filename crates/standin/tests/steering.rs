//! Limits, loans between hosts and hedges in running hosts.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};

use serde_json::json;
use standin::{Deployment, DeploymentPlan, HostPlan, Reply, TrialCaller, eventually};
use std::time::Duration;

/// Within what the two upstreams' windows hold at the start.
const CAP: u32 = 6;
const DOWNLOAD: &[u8] = b"GET /services/surcos/archive?1000000000 HTTP/1.1\r\nhost: x\r\n\r\n";

/// Two hosts in the zone `norte`, which alone has upstreams, under a cap of [`CAP`].
fn start_capped() -> Deployment {
    let mut plan = DeploymentPlan::small();
    plan.hosts = vec![HostPlan::new("n1", "norte"), HostPlan::new("n2", "norte")];
    plan.document
        .upstreams
        .retain(|upstream| upstream.zone == "norte");
    let rule = json!({"name": "capped", "places": [
        {"zones": {"equals": {"zone": "norte"}}, "share_percent": 100, "cap_in_flight": CAP}]});
    plan.document.rules = vec![serde_json::from_value(rule).unwrap()];
    Deployment::start(plan).unwrap()
}

/// A download that nobody reads: it stays in flight until it is dropped.
fn download(host: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(host).unwrap();
    stream.write_all(DOWNLOAD).unwrap();
    stream
}

fn in_flight(deployment: &Deployment) -> u32 {
    let upstreams = deployment.upstreams.values();
    upstreams.map(standin::StandInUpstream::in_flight).sum()
}

/// Limits of a host's dump, for the cap of the rule: what it may use, and borrowed.
fn room(deployment: &Deployment, host: &str) -> String {
    let dump = deployment.operator(host).dump().unwrap();
    dump["limits"].to_string()
}

#[test]
fn the_host_that_admits_borrows_the_rest_of_the_cap_and_never_more() {
    let deployment = start_capped();
    let hosts = deployment.entries();
    let mut downloads = Vec::new();
    // The pool has one owner, and each host holds half of the cap at first.
    eventually("the whole cap is in use", || {
        let busy = in_flight(&deployment);
        assert!(busy <= CAP, "{busy} over the cap");
        if busy < CAP {
            downloads.push(download(hosts[downloads.len() % hosts.len()]));
        }
        busy == CAP
    })
    .unwrap_or_else(|error| {
        let (n1, n2) = (room(&deployment, "n1"), room(&deployment, "n2"));
        panic!("{error}: {n1} / {n2}")
    });
    let caller = TrialCaller::new("surcos", Vec::new());
    for host in &hosts {
        let reply = caller.get_at(*host, "/one-more");
        assert!(
            matches!(&reply, Reply::Refused { error, not_run, .. }
                if error == "limit_reached" && not_run == "true"),
            "{reply:?}"
        );
    }
    assert_eq!(in_flight(&deployment), CAP);
    drop(downloads);
    eventually("there is room again", || {
        matches!(caller.get_at(hosts[0], "/again"), Reply::Answered(_))
    })
    .unwrap();
}

#[test]
fn a_late_consultation_is_hedged_and_its_loser_cancelled() {
    const LONG: Duration = Duration::from_secs(600);
    /// Enough for some hedges' worth of budget.
    const WARM_UP: usize = 100;
    let mut plan = DeploymentPlan::small();
    plan.hosts = vec![HostPlan::new("n1", "norte")];
    plan.document.services[0].deadline_ms = LONG.as_millis() as u64;
    plan.document
        .upstreams
        .retain(|upstream| upstream.zone == "norte");
    let deployment = Deployment::start(plan).unwrap();
    let stuck = &deployment.upstreams["surcos-norte-1"];
    let other = &deployment.upstreams["surcos-norte-2"];
    // The one that will be stuck is the faster one at first, and gets the next request.
    stuck.behave(|behaviour| behaviour.service_time = Duration::from_millis(1));
    other.behave(|behaviour| behaviour.service_time = Duration::from_millis(20));
    let mut caller = TrialCaller::new("surcos", deployment.entries());
    let mut answered = |number: usize| {
        let reply = caller.get(&format!("/p/{number}"));
        matches!(reply, Reply::Answered(_))
    };
    assert!((0..WARM_UP).all(&mut answered));
    let before = stuck.counts().ran;
    stuck.behave(|behaviour| behaviour.service_time = LONG);
    let mut number = WARM_UP;
    eventually("a request came to the stuck upstream", || {
        number += 1;
        assert!(answered(number), "without a hedge it is late for ever");
        stuck.counts().ran > before
    })
    .unwrap();
    eventually("the loser is cancelled", || stuck.in_flight() == 0).unwrap();
}
