//! A request's way in: its route and body, then its run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use steering::route::{CallerLimits, Route};
use upstream::{Body, BoundError, Bounded, WorkBody, hold};

use super::Traffic;
use super::answers::{Cause, Refusal};
use super::head::Head;
use super::run::Run;
use super::trail::Trail;

/// Bodies up to this size are held, so that they can be sent again.
const HELD_BODY_BYTES: usize = 64 << 10;
/// Time after which a caller may come back to a host that holds no document yet.
pub(super) const NO_DOCUMENT_WAIT: Duration = Duration::from_millis(500);

/// Answers a caller's request.
pub(super) async fn answer(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let head = Head::read(&request, traffic.dialect.headers(), Instant::now());
    let mut trail = Trail::new(&head);
    let answered = route_and_run(traffic, &head, &mut trail, request).await;
    trail.end(&head, &answered);
    answered.unwrap_or_else(Refusal::answer)
}

async fn route_and_run(
    traffic: &Arc<Traffic>,
    head: &Head,
    trail: &mut Trail,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let (route, limits) = find(traffic, head, trail, request.uri().path())?;
    let (parts, body) = request.into_parts();
    let body = read(body, limits).await?;
    let deadline = match route.timeout {
        Some(timeout) => head.deadline.min(head.arrived + timeout),
        None => head.deadline,
    };
    let patience = head.deadline.saturating_duration_since(head.arrived);
    let which_try = traffic.shares().which_try(&route.name, patience);
    let mut run = Run {
        traffic,
        head,
        trail,
        route: &route,
        parts,
        body,
        deadline,
        which_try,
        sends: Vec::new(),
        tried: Vec::new(),
    };
    let time = deadline.saturating_duration_since(Instant::now());
    match tokio::time::timeout(time, run.run()).await {
        Ok(answered) => answered,
        Err(_) => Err(run.out_of_time()),
    }
}

/// The request's route, and the bounds on what its caller sends.
///
/// Holds no view while the request runs: with thousands of upstreams a view takes half a
/// megabyte, and some twenty follow each other while one request waits.
fn find(
    traffic: &Traffic,
    head: &Head,
    trail: &mut Trail,
    path: &str,
) -> Result<(Arc<Route>, CallerLimits), Refusal> {
    let view = traffic.common.view.load();
    if !view.is_ready() {
        return Err(Refusal::NotRun {
            cause: Cause::NoDocument,
            come_back: NO_DOCUMENT_WAIT,
        });
    }
    trail.version = view.version;
    let route = view.table.find(&head.domain, path);
    let route = Arc::clone(route.ok_or(Refusal::NoRoute)?);
    trail.route.clone_from(&route.name);
    Ok((route, view.limits))
}

async fn read(body: Incoming, limits: CallerLimits) -> Result<WorkBody, Refusal> {
    let body = Bounded::new(body, limits.body_bytes, limits.head_timeout).boxed_unsync();
    let held = hold(body, HELD_BODY_BYTES).await;
    held.map(WorkBody::from).map_err(|error| {
        Refusal::BadRequest(match error.downcast_ref() {
            Some(BoundError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Some(BoundError::Stalled) => StatusCode::REQUEST_TIMEOUT,
            None => StatusCode::BAD_REQUEST,
        })
    })
}
