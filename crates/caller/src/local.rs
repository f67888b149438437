//! Runs a request on an upstream of a pool that this host owns: limits, admission, dispatch.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, Response, Uri, header};
use steering::error::ErrorKind;
use steering::limiter::LimitKey;
use steering::pool::{Outcome, PoolLimits, PoolRequest};
use steering::statement::RequestedRest;
use upstream::{
    Body, DEADLINE_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, RequestBody, Reuse, SendError,
    TrackedBody, end_to_end, requested_rest,
};

use crate::admission::Permit;
use crate::request::{RequestHead, value};
use crate::shared::SharedState;
use upstream::GuardedBody;

/// Time without a tick of the control thread after which the view counts as outdated and the
/// host refuses requests.
const MAX_CONTROL_TICK_AGE: Duration = Duration::from_secs(5);

/// Why an attempt failed, with what is known about the request having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptError {
    /// The request was refused at admission; it was sent to no upstream.
    Refused(ErrorKind),
    /// The request was admitted, and certainly did not run.
    NotRun(ErrorKind),
    /// The request may have run.
    MayHaveRun(ErrorKind),
    /// The host to relay to can't be reached; nothing was sent.
    Unreachable,
    /// The host relayed to gave no valid response; the request may have run.
    Silent,
}

impl AttemptError {
    /// The error kind for the caller.
    pub fn kind(self) -> ErrorKind {
        match self {
            AttemptError::Refused(kind)
            | AttemptError::NotRun(kind)
            | AttemptError::MayHaveRun(kind) => kind,
            AttemptError::Unreachable => ErrorKind::NoUpstream,
            AttemptError::Silent => ErrorKind::OutcomeUnknown,
        }
    }
}

/// Parameters for the admission of a request to a pool.
pub struct Admission<'a> {
    /// Key of the pool.
    pub pool: &'a str,
    /// Limits that apply to the request.
    pub limits: &'a [LimitKey],
    /// Priority of the service.
    pub priority: u8,
    /// Whether this is a hedge beside a first attempt without a response so far.
    pub hedge: bool,
    /// Set once the request is sent to an upstream.
    pub sent: &'a AtomicBool,
}

/// A request's use of the zone's limits, released on drop.
struct LimitGuard {
    shared: Arc<SharedState>,
    keys: Vec<LimitKey>,
    /// Whether the request was admitted; otherwise its tokens are returned.
    used: bool,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let mut ledger = self.shared.ledger();
        match self.used {
            true => ledger.release(&self.keys),
            false => ledger.give_back(clock::now(), &self.keys),
        }
    }
}

/// Runs a request on one of the pool's upstreams.
pub async fn run(
    shared: &Arc<SharedState>,
    head: &RequestHead,
    body: &mut RequestBody,
    admission: &Admission<'_>,
) -> Result<Response<Body>, AttemptError> {
    if shared.control_tick_age() > MAX_CONTROL_TICK_AGE {
        return Err(AttemptError::Refused(ErrorKind::HostBusy));
    }
    ensure_pool(shared, head, admission.pool)?;
    let mut limits = take_limits(shared, admission.limits)?;
    let pool_request = PoolRequest {
        deadline: head.deadline,
        priority: admission.priority,
        hedge: admission.hedge,
    };
    let permit = shared
        .pools
        .admit(admission.pool, pool_request)
        .await
        .map_err(AttemptError::Refused)?;
    limits.used = true;
    admission.sent.store(true, Ordering::Release);
    let (answer, permit) = dispatch(shared, head, body, permit).await?;
    Ok(caller_response(answer, (permit, limits)))
}

/// Takes the pool over if it belongs to this zone and the host does not have it yet.
fn ensure_pool(shared: &SharedState, head: &RequestHead, key: &str) -> Result<(), AttemptError> {
    if shared.pools.has(key) {
        return Ok(());
    }
    let view = shared.view.load();
    let service = view.plan.services.get(&head.service);
    let zone = service.and_then(|service| service.zone(&view.me.zone));
    let pool = zone.and_then(|zone| zone.pools.iter().find(|pool| pool.key == key));
    let (Some(service), Some(pool)) = (service, pool) else {
        return Err(AttemptError::Refused(ErrorKind::NoUpstream));
    };
    let unknown_for = Duration::from_millis(service.service.deadline_ms);
    let limits = PoolLimits::from(&service.service);
    shared
        .pools
        .configure(key, limits, &pool.upstreams, unknown_for);
    tracing::info!(event = "pool_taken", pool = key, id = head.id);
    Ok(())
}

fn take_limits(shared: &Arc<SharedState>, keys: &[LimitKey]) -> Result<LimitGuard, AttemptError> {
    let mut ledger = shared.ledger();
    let admitted = ledger.admit(clock::now(), keys);
    drop(ledger);
    match admitted {
        Ok(()) => Ok(LimitGuard {
            shared: Arc::clone(shared),
            keys: keys.to_vec(),
            used: false,
        }),
        Err(key) => {
            tracing::debug!(event = "limit_reached", limit = %key);
            Err(AttemptError::Refused(ErrorKind::LimitReached))
        }
    }
}

async fn dispatch(
    shared: &SharedState,
    head: &RequestHead,
    body: &mut RequestBody,
    mut permit: Permit,
) -> Result<(Response<TrackedBody>, Permit), AttemptError> {
    let upstream = Arc::clone(permit.upstream());
    let Some(unsent) = body.take() else {
        return Err(AttemptError::MayHaveRun(ErrorKind::OutcomeUnknown));
    };
    let sent = clock::now();
    let Some(left) = head.deadline.checked_duration_since(sent) else {
        body.put_back(unsent);
        return Err(AttemptError::NotRun(ErrorKind::DeadlineBeforeDispatch));
    };
    let request = upstream_request(head, upstream.address.to_string(), left, unsent);
    let reuse = if head.repeatable {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    let limit = upstream.connection_limit;
    let answer = shared
        .connections
        .send(upstream.address, limit, reuse, request, head.deadline)
        .await;
    tracing::debug!(
        event = "dispatch",
        id = head.id,
        upstream = upstream.name,
        ok = answer.is_ok(),
        ms = clock::elapsed(sent).as_millis() as u64
    );
    match answer {
        // The answer is not accepted: answers of upstreams carry no identity, so that a late copy of
        // a refusal would be taken for the answer to the next request on the connection.
        Ok(answer) if is_refusal(&answer) => {
            let rest = requested_rest(answer.status(), answer.headers());
            if let Some(rest) = rest {
                let rest_ms = rest.granted().as_millis() as u64;
                tracing::info!(event = "upstream_rests", upstream = upstream.name, rest_ms);
            }
            permit.outcome(match rest.map(RequestedRest::granted) {
                Some(rest) => Outcome::Rests(rest),
                None => Outcome::Shed,
            });
            Err(AttemptError::NotRun(ErrorKind::NoCapacity))
        }
        Ok(mut answer) => {
            answer.body_mut().accept();
            permit.first_byte();
            Ok((answer, permit))
        }
        Err(SendError::NotSent { request, .. }) => {
            permit.outcome(Outcome::Failed);
            if let Some(request) = request {
                body.put_back(request.into_body());
            }
            Err(AttemptError::NotRun(ErrorKind::NoUpstream))
        }
        Err(SendError::Lost { reason }) => {
            tracing::info!(
                event = "lost",
                id = head.id,
                upstream = upstream.name,
                reason
            );
            permit.outcome(Outcome::Failed);
            Err(AttemptError::MayHaveRun(ErrorKind::OutcomeUnknown))
        }
        Err(SendError::InvalidAnswer { reason }) => {
            tracing::warn!(
                event = "answer_invalid",
                id = head.id,
                upstream = upstream.name,
                %reason
            );
            permit.outcome(Outcome::Failed);
            Err(AttemptError::MayHaveRun(ErrorKind::OutcomeUnknown))
        }
        Err(SendError::Timeout) => {
            permit.outcome(Outcome::Answered(clock::elapsed(sent)));
            Err(AttemptError::MayHaveRun(ErrorKind::DeadlineAfterDispatch))
        }
    }
}

/// Whether an upstream states that it did not run the request. A success contradicts that.
fn is_refusal(answer: &Response<TrackedBody>) -> bool {
    !answer.status().is_success() && answer.headers().contains_key(NOT_RUN_HEADER)
}

fn upstream_request(
    head: &RequestHead,
    address: String,
    left: Duration,
    body: Body,
) -> Request<Body> {
    let uri: Uri = head.path.parse().unwrap_or_default();
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    headers.remove(header::EXPECT);
    headers.insert(header::HOST, value(&address));
    headers.insert(REQUEST_ID_HEADER, value(&head.id));
    headers.insert(DEADLINE_HEADER, value(&left.as_millis().to_string()));
    headers.append("x-forwarded-for", value(&head.caller.to_string()));
    request
}

/// The response for the caller; `held` is dropped once its body has ended.
pub fn caller_response<B, T>(answer: Response<B>, held: T) -> Response<Body>
where
    B: http_body::Body<Data = bytes::Bytes, Error = upstream::BodyError> + Send + Unpin + 'static,
    T: Send + Unpin + 'static,
{
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    parts.extensions.clear();
    Response::from_parts(parts, GuardedBody::new(body, held).boxed_unsync())
}
