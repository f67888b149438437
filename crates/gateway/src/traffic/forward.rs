//! A request's way in: its route and body, then its run.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use steering::route::{AuthError, CallerLimits, Route, Sender, WorkIdentity, WorkParts};
use upstream::{Body, BoundError, Bounded, WorkBody, hold};

use super::Traffic;
use super::answers::{Cause, Refusal};
use super::head::{Head, credentials};
use super::run::Run;
use super::trail::Trail;
use crate::allowances::Beyond;

/// Bodies up to this size are held, so that they can be sent again.
const HELD_BODY_BYTES: usize = 64 << 10;
/// Time after which a caller may come back to a host that holds no document yet.
pub(super) const NO_DOCUMENT_WAIT: Duration = Duration::from_millis(500);

/// Answers a caller's request.
pub(super) async fn answer(traffic: &Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let head = Head::read(&request, traffic.dialect.headers(), clock::now());
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
    let (parts, body) = request.into_parts();
    let Found {
        route,
        sender,
        limits,
    } = find(traffic, head, trail, &parts.headers, parts.uri.path())?;
    let body = read(body, limits).await?;
    admit(traffic, &sender, trail).await?;
    let deadline = match route.timeout {
        Some(timeout) => head.deadline.min(head.arrived + timeout),
        None => head.deadline,
    };
    let patience = head.deadline.saturating_duration_since(head.arrived);
    let which_try = traffic.shares().which_try(&route.name, patience);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let work = WorkIdentity::new(&WorkParts {
        route: &route.name,
        object: head.object.as_deref(),
        method: parts.method.as_str(),
        path,
        customer: sender.customer().map(|customer| customer.name.as_str()),
        body: body.held(),
    });
    let mut run = Run {
        work,
        ends_known: 0,
        turned_away: 0,
        traffic,
        head,
        trail,
        route: &route,
        sender: &sender,
        parts,
        body,
        deadline,
        which_try,
        sends: Vec::new(),
        tried: Vec::new(),
    };
    let time = deadline.saturating_duration_since(clock::now());
    let answered = match tokio::time::timeout(time, run.run()).await {
        Ok(answered) => answered,
        Err(_) => Err(run.out_of_time()),
    };
    if let (Err(Refusal::NotRun { .. }), Some(customer)) = (&answered, sender.with_allowance()) {
        traffic.common.allowances.give_back(customer);
    }
    answered
}

/// Takes a request off its customer's allowance.
async fn admit(traffic: &Traffic, sender: &Sender, trail: &mut Trail) -> Result<(), Refusal> {
    let Some(customer) = sender.with_allowance() else {
        return Ok(());
    };
    let begun = clock::now();
    let admitted = traffic.common.allowances.admit(customer).await;
    trail.token_ms = Some(clock::elapsed(begun).as_millis() as u64);
    admitted.map_err(|beyond| match beyond {
        Beyond::Used(come_back) => Refusal::BeyondAllowance { come_back },
        Beyond::Unheard(come_back) => Refusal::NotRun {
            cause: Cause::AllowanceUnheard,
            come_back,
        },
    })
}

/// What a request is to be served by.
struct Found {
    route: Arc<Route>,
    sender: Sender,
    /// Bounds on what its caller sends.
    limits: CallerLimits,
}

/// The request's route and who sends it, of one version of the document.
///
/// Holds no view while the request runs: with thousands of upstreams a view takes half a
/// megabyte, and some twenty follow each other while one request waits.
fn find(
    traffic: &Traffic,
    head: &Head,
    trail: &mut Trail,
    headers: &HeaderMap,
    path: &str,
) -> Result<Found, Refusal> {
    let view = traffic.common.view.load();
    if !view.is_ready() {
        return Err(Refusal::NotRun {
            cause: Cause::NoDocument,
            come_back: NO_DOCUMENT_WAIT,
        });
    }
    trail.version = view.version;
    let route = view.table.find(&head.domain, path);
    let route = route.ok_or_else(|| unknown(traffic, Refusal::NoRoute))?;
    trail.route.clone_from(&route.name);
    let sender = view
        .customers
        .authenticate(route.public, || credentials(headers));
    let sender = sender.map_err(|error| match error {
        AuthError::UnknownKey => unknown(traffic, Refusal::NoAccess),
        AuthError::Ambiguous => Refusal::BadRequest(StatusCode::BAD_REQUEST),
    })?;
    trail.customer = sender.customer().map(|customer| customer.name.clone());
    Ok(Found {
        route: Arc::clone(route),
        sender,
        limits: view.limits,
    })
}

/// The refusal of what the document in force does not have. A host that has heard neither the
/// store nor its tellers for as long as a change may take does not know what is in force.
fn unknown(traffic: &Traffic, refusal: Refusal) -> Refusal {
    let age = traffic.common.heard.age(clock::now());
    match age.is_some_and(|age| age <= traffic.common.bounds().apply) {
        true => refusal,
        false => Refusal::NotRun {
            cause: Cause::OldDocument,
            come_back: NO_DOCUMENT_WAIT,
        },
    }
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
