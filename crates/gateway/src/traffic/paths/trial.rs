//! Finds out whether the direct path to a zone's upstreams is back.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use steering::route::Upstream;
use upstream::full;

use super::apply_change;
use crate::traffic::Traffic;

/// Time limit of a trial; longer than two round trips between regions.
const TRIAL_TIME: Duration = Duration::from_millis(300);
/// Identity of an upstream that none has, so that the request is refused at once and never runs.
const NO_UPSTREAM: &str = "none";

/// Tries the direct path, and records the result.
pub(super) async fn run(traffic: Arc<Traffic>, upstream: Arc<Upstream>, max_connections: u32) {
    let passed = answers_directly(&traffic, &upstream, max_connections).await;
    let zone = &upstream.report.zone;
    let mut paths = traffic.paths.upstreams();
    let change = paths.zone(zone).trial_ended(clock::now(), passed);
    drop(paths);
    apply_change(&traffic, zone, change);
}

/// Sends a request that is addressed to no upstream over a new direct connection. Any answer shows
/// that the path works.
pub(super) async fn answers_directly(
    traffic: &Traffic,
    upstream: &Upstream,
    max_connections: u32,
) -> bool {
    let deadline = clock::now() + TRIAL_TIME;
    let address = upstream.report.address;
    let exchange = async {
        let connecting = traffic.connections.open_direct(address, max_connections);
        let lease = connecting.await.ok()?;
        let names = traffic.wire_format.headers();
        let request = Request::get("/")
            .header(&names.expected_upstream, NO_UPSTREAM)
            .header(&names.request_id, NO_UPSTREAM)
            .header(&names.deadline_ms, TRIAL_TIME.as_millis() as u64)
            .body(full(""));
        let request = request.expect("the headers are valid");
        let mut answer = lease.send(request, deadline).await.ok()?;
        answer.body_mut().accept();
        Some(())
    };
    let answer = tokio::time::timeout(clock::remaining(deadline), exchange).await;
    matches!(answer, Ok(Some(_)))
}
