//! Prepares a request: finds its route, reads its body, and starts its run.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use steering::route::{
    AuthError, CallerLimits, NotRunProof, Route, Sender, Sends, WorkIdentity, WorkParts,
};
use tokio::time::timeout;
use upstream::{Body, BodyLimitError, BoundedBody, RequestBody, buffer_body, has_unknown_coding};

use super::Traffic;
use super::answers::{Cause, Refusal, UpstreamAnswer};
use super::head::{Head, credentials};
use super::open_answer::OpenAnswer;
use super::request_log::RequestLog;
use super::run::Run;
use super::start_waits::wait_until_ready;
use crate::allowances::AllowanceError;

/// Largest body that is kept in memory so that it can be sent again.
const MAX_HELD_BODY_BYTES: usize = 64 << 10;
/// Time after which a caller may retry if no better estimate is known, such as at a host that has
/// no document yet.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers a caller's request.
pub(super) async fn answer(
    traffic: &Arc<Traffic>,
    request: Request<Incoming>,
    open_answer: &OpenAnswer,
) -> Response<Body> {
    let head = Head::read(&request, traffic.wire_format.headers(), clock::now());
    let mut request_log = RequestLog::new(&head);
    let answered = route_and_run(traffic, &head, &mut request_log, request).await;
    request_log.finish(&head, &answered);
    match answered {
        Ok(answer) => answer.into_response(open_answer),
        Err(refusal) => refusal.answer(),
    }
}

async fn route_and_run(
    traffic: &Arc<Traffic>,
    head: &Head,
    request_log: &mut RequestLog,
    request: Request<Incoming>,
) -> Result<UpstreamAnswer, Refusal> {
    let time_left = head.deadline.saturating_duration_since(head.arrived);
    wait_until_ready(traffic, time_left).await;
    let (parts, body) = request.into_parts();
    if has_unknown_coding(&parts.headers) {
        return Err(Refusal::BadRequest);
    }
    let MatchedRoute {
        route,
        sender,
        limits,
    } = match_route(traffic, head, request_log, &parts.headers, parts.uri.path())?;
    let deadline = match route.timeout {
        Some(timeout) => head.deadline.min(head.arrived + timeout),
        None => head.deadline,
    };
    let reading = timeout(clock::remaining(deadline), read_body(body, limits));
    let body = tokio::select! {
        biased;
        read = reading => {
            read.unwrap_or_else(|_| Err(unsent(Cause::NoTime, DEFAULT_RETRY_AFTER)))?
        }
        () = traffic.until_end() => return Err(unsent(Cause::Leaving, Duration::ZERO)),
    };
    if !traffic.may_begin() {
        return Err(unsent(Cause::Leaving, Duration::ZERO));
    }
    take_allowance_token(traffic, &sender, request_log).await?;
    let caller_timeout = head.deadline.saturating_duration_since(head.arrived);
    let caller_attempt = traffic.stats().caller_attempt(&route.name, caller_timeout);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let work = WorkIdentity::new(&WorkParts {
        route: &route.name,
        object: head.object.as_deref(),
        method: parts.method.as_str(),
        path,
        customer: sender.customer().map(|customer| customer.name.as_str()),
        body: body.buffered(),
    });
    let mut run = Run {
        work,
        crashes_known: 0,
        token_refusals: 0,
        relay_refusals: 0,
        traffic,
        head,
        request_log,
        route: &route,
        sender: &sender,
        parts,
        body,
        deadline,
        caller_attempt,
        sends: Sends::default(),
        connections: Vec::new(),
        excluded: Vec::new(),
    };
    let time_left = deadline.saturating_duration_since(clock::now());
    let running = async {
        match timeout(time_left, run.run()).await {
            Ok(answered) => answered,
            Err(_) => Err(run.out_of_time()),
        }
    };
    let answered = tokio::select! {
        biased;
        answered = running => answered,
        () = traffic.until_end() => Err(run.cut()),
    };
    if let (Err(Refusal::NotRun { .. }), Some(customer)) = (&answered, sender.with_allowance()) {
        traffic.common.allowances.give_back(customer);
    }
    answered
}

/// Takes a token of the customer's allowance, if the sender has one.
async fn take_allowance_token(
    traffic: &Traffic,
    sender: &Sender,
    request_log: &mut RequestLog,
) -> Result<(), Refusal> {
    let Some(customer) = sender.with_allowance() else {
        return Ok(());
    };
    let started_at = clock::now();
    let admitted = traffic.common.allowances.admit(customer).await;
    request_log.token_ms = Some(clock::elapsed(started_at).as_millis() as u64);
    admitted.map_err(|error| match error {
        AllowanceError::Exhausted(retry_after) => Refusal::BeyondAllowance {
            proof: NotRunProof::unsent(),
            retry_after,
        },
        AllowanceError::NoAnswer(retry_after) => unsent(Cause::AllowanceUnheard, retry_after),
    })
}

/// The route and sender of a request.
struct MatchedRoute {
    route: Arc<Route>,
    sender: Sender,
    /// Limits on what the caller sends.
    limits: CallerLimits,
}

/// Finds the route and the sender, both from the same version of the document.
///
/// The view is not held while the request runs: with thousands of upstreams a view takes half a
/// megabyte, and some twenty views follow each other while one request waits.
fn match_route(
    traffic: &Traffic,
    head: &Head,
    request_log: &mut RequestLog,
    headers: &HeaderMap,
    path: &str,
) -> Result<MatchedRoute, Refusal> {
    let view = traffic.common.view.load();
    if !view.is_ready() {
        return Err(unsent(Cause::NoDocument, DEFAULT_RETRY_AFTER));
    }
    request_log.version = view.version;
    let route = view.table.find(&head.domain, path);
    let route = route.ok_or_else(|| unless_outdated(traffic, Refusal::NoRoute))?;
    request_log.route.clone_from(&route.name);
    let sender = view
        .customers
        .authenticate(route.public, || credentials(headers));
    let sender = sender.map_err(|error| match error {
        AuthError::UnknownKey => unless_outdated(traffic, Refusal::NoAccess),
        AuthError::Ambiguous => Refusal::BadRequest,
    })?;
    request_log.customer = sender.customer().map(|customer| customer.name.clone());
    Ok(MatchedRoute {
        route: Arc::clone(route),
        sender,
        limits: view.limits,
    })
}

/// The refusal of a route or key that is not in the document in force. A host that has heard
/// neither from the store nor from a host that polls it for longer than a change may take does not
/// know which document is in force.
fn unless_outdated(traffic: &Traffic, refusal: Refusal) -> Refusal {
    let age = traffic.common.document_age.age(clock::now());
    match age.is_some_and(|age| age <= traffic.common.bounds().document_apply_time) {
        true => refusal,
        false => unsent(Cause::OldDocument, DEFAULT_RETRY_AFTER),
    }
}

/// The refusal of a request before its first send.
fn unsent(cause: Cause, retry_after: Duration) -> Refusal {
    Refusal::NotRun {
        proof: NotRunProof::unsent(),
        cause,
        retry_after,
    }
}

async fn read_body(body: Incoming, limits: CallerLimits) -> Result<RequestBody, Refusal> {
    let body = BoundedBody::new(body, limits.body_bytes, limits.head_timeout).boxed_unsync();
    let held = buffer_body(body, MAX_HELD_BODY_BYTES).await;
    held.map(RequestBody::from)
        .map_err(|error| match error.downcast_ref() {
            Some(BodyLimitError::TooLarge) => Refusal::TooLarge,
            Some(BodyLimitError::Stalled) => Refusal::SlowBody(NotRunProof::unsent()),
            None => Refusal::BadRequest,
        })
}
