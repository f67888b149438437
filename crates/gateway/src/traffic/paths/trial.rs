//! Finds out whether the direct path to a zone's upstreams is back.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Request, Response};
use steering::route::Upstream;
use upstream::{ConnectError, SendError, TrackedBody, full};

use super::apply_change;
use crate::traffic::Traffic;

/// Time limit of a trial; longer than two round trips between regions.
pub(super) const TRIAL_TIME: Duration = Duration::from_millis(300);
/// Identity of an upstream that none has, so that the request is refused at once and never runs.
const NO_UPSTREAM: &str = "none";

/// Why an upstream has not answered on a new direct connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrialFailure {
    /// The connection was opened, and nothing was answered in time.
    Silent,
    /// The upstream's address refuses connections.
    Refused,
    /// The connection was not opened, or broken.
    Failed,
    /// This host can't open a connection. Says nothing about the upstream.
    Local,
}

/// Tries the direct path, and records the result.
pub(super) async fn run(traffic: Arc<Traffic>, upstream: Arc<Upstream>, max_connections: u32) {
    let answer = try_directly(&traffic, &upstream, max_connections, TRIAL_TIME).await;
    let passed = answer.map(keep_connection).is_ok();
    let zone = &upstream.report.zone;
    let mut paths = traffic.paths.upstreams();
    let change = paths.zone(zone).trial_ended(clock::now(), passed);
    drop(paths);
    apply_change(&traffic, zone, change);
}

/// Keeps the connection of an answer for further requests.
pub(super) fn keep_connection(mut answer: Response<TrackedBody>) {
    answer.body_mut().accept();
}

/// Sends a request that is addressed to no upstream over a new direct connection. Any answer shows
/// that the path works. The connection closes with the answer, unless it is kept.
pub(super) async fn try_directly(
    traffic: &Traffic,
    upstream: &Upstream,
    max_connections: u32,
    time: Duration,
) -> Result<Response<TrackedBody>, TrialFailure> {
    let deadline = clock::now() + time;
    let address = upstream.report.address;
    let connecting = traffic.connections.open_direct(address, max_connections);
    let lease = connecting.await.map_err(|error| match error {
        ConnectError::Unreachable(error) if error.kind() == ErrorKind::ConnectionRefused => {
            TrialFailure::Refused
        }
        ConnectError::Unreachable(_) => TrialFailure::Failed,
        ConnectError::AllInUse | ConnectError::Local(_) => TrialFailure::Local,
    })?;
    let names = traffic.wire_format.headers();
    let request = Request::get("/")
        .header(&names.expected_upstream, NO_UPSTREAM)
        .header(&names.request_id, NO_UPSTREAM)
        .header(&names.deadline_ms, time.as_millis() as u64)
        .body(full(""));
    let request = request.expect("the headers are valid");
    let answer = lease.send(request, deadline).await;
    answer.map_err(|error| match error {
        SendError::Timeout => TrialFailure::Silent,
        SendError::NotSent { .. } | SendError::Lost { .. } | SendError::InvalidAnswer { .. } => {
            TrialFailure::Failed
        }
    })
}
