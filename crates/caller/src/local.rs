//! A request's way through a pool that this host owns: limits, admission,
//! dispatch.

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
    Body, DEADLINE_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, Reuse, SendError, TrackedBody,
    WorkBody, end_to_end, rest_asked,
};

use crate::admission::Permit;
use crate::request::{WorkHead, value};
use crate::shared::Shared;
use upstream::Holding;

/// Silence of the control thread after which a host trusts its own view no more.
const CONTROL_SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Miss {
    /// It was refused at admission; no upstream saw it.
    Refused(ErrorKind),
    /// It was admitted, and certainly did not run.
    NotRun(ErrorKind),
    /// It may have run.
    MayHaveRun(ErrorKind),
    /// The host that it was to go to can't be reached; nothing was sent.
    Unreachable,
    /// The host that it was sent to gave no answer; it may have run.
    Silent,
}

impl Miss {
    /// The error kind that tells of it.
    pub fn kind(self) -> ErrorKind {
        match self {
            Miss::Refused(kind) | Miss::NotRun(kind) | Miss::MayHaveRun(kind) => kind,
            Miss::Unreachable => ErrorKind::NoUpstream,
            Miss::Silent => ErrorKind::OutcomeUnknown,
        }
    }
}

/// How a request is to be admitted.
pub struct Admission<'a> {
    /// The pool.
    pub pool: &'a str,
    /// Limits that it comes under.
    pub limits: &'a [LimitKey],
    /// Priority of its service.
    pub priority: u8,
    /// Whether it is the second try at a request that is late.
    pub hedge: bool,
    /// Set when it has left this host, for an upstream.
    pub sent: &'a AtomicBool,
}

/// Room taken under a zone's limits.
struct LimitGuard {
    shared: Arc<Shared>,
    keys: Vec<LimitKey>,
    /// Whether an upstream was asked; otherwise the room was not used.
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

/// Runs a request on one of a pool's upstreams.
pub async fn run(
    shared: &Arc<Shared>,
    head: &WorkHead,
    body: &mut WorkBody,
    admission: &Admission<'_>,
) -> Result<Response<Body>, Miss> {
    if shared.control_silence() > CONTROL_SILENCE_LIMIT {
        return Err(Miss::Refused(ErrorKind::HostBusy));
    }
    ensure_pool(shared, head, admission.pool)?;
    let mut limits = take_limits(shared, admission.limits)?;
    let offer = PoolRequest {
        deadline: head.deadline,
        priority: admission.priority,
        hedge: admission.hedge,
    };
    let permit = shared
        .gate
        .admit(admission.pool, offer)
        .await
        .map_err(Miss::Refused)?;
    limits.used = true;
    admission.sent.store(true, Ordering::Release);
    let (answer, permit) = dispatch(shared, head, body, permit).await?;
    Ok(pass_back(answer, (permit, limits)))
}

/// Holds the pool from now on, where it is one of this zone's.
fn ensure_pool(shared: &Shared, head: &WorkHead, key: &str) -> Result<(), Miss> {
    if shared.gate.has(key) {
        return Ok(());
    }
    let view = shared.view.load();
    let service = view.plan.services.get(&head.service);
    let zone = service.and_then(|service| service.zone(&view.me.zone));
    let pool = zone.and_then(|zone| zone.pools.iter().find(|pool| pool.key == key));
    let (Some(service), Some(pool)) = (service, pool) else {
        return Err(Miss::Refused(ErrorKind::NoUpstream));
    };
    let unknown_for = Duration::from_millis(service.service.deadline_ms);
    let limits = PoolLimits::from(&service.service);
    shared
        .gate
        .configure(key, limits, &pool.upstreams, unknown_for);
    tracing::info!(event = "pool_taken", pool = key, id = head.id);
    Ok(())
}

fn take_limits(shared: &Arc<Shared>, keys: &[LimitKey]) -> Result<LimitGuard, Miss> {
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
            Err(Miss::Refused(ErrorKind::LimitReached))
        }
    }
}

async fn dispatch(
    shared: &Shared,
    head: &WorkHead,
    body: &mut WorkBody,
    mut permit: Permit,
) -> Result<(Response<TrackedBody>, Permit), Miss> {
    let upstream = Arc::clone(permit.upstream());
    let Some(unsent) = body.take() else {
        return Err(Miss::MayHaveRun(ErrorKind::OutcomeUnknown));
    };
    let sent = clock::now();
    let Some(left) = head.deadline.checked_duration_since(sent) else {
        body.put_back(unsent);
        return Err(Miss::NotRun(ErrorKind::DeadlineBeforeDispatch));
    };
    let request = build(head, upstream.address.to_string(), left, unsent);
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
        Ok(answer) if answer.headers().contains_key(NOT_RUN_HEADER) => {
            let rest = rest_asked(answer.status(), answer.headers());
            if let Some(rest) = rest {
                let rest_ms = rest.granted().as_millis() as u64;
                tracing::info!(event = "upstream_rests", upstream = upstream.name, rest_ms);
            }
            permit.outcome(match rest.map(RequestedRest::granted) {
                Some(rest) => Outcome::Rests(rest),
                None => Outcome::Shed,
            });
            Err(Miss::NotRun(ErrorKind::NoCapacity))
        }
        Ok(answer) => {
            permit.first_byte();
            Ok((answer, permit))
        }
        Err(SendError::NotSent { request, .. }) => {
            permit.outcome(Outcome::Failed);
            if let Some(request) = request {
                body.put_back(request.into_body());
            }
            Err(Miss::NotRun(ErrorKind::NoUpstream))
        }
        Err(SendError::Lost { reason }) => {
            tracing::info!(
                event = "lost",
                id = head.id,
                upstream = upstream.name,
                reason
            );
            permit.outcome(Outcome::Failed);
            Err(Miss::MayHaveRun(ErrorKind::OutcomeUnknown))
        }
        Err(SendError::Late) => {
            permit.outcome(Outcome::Answered(clock::elapsed(sent)));
            Err(Miss::MayHaveRun(ErrorKind::DeadlineAfterDispatch))
        }
    }
}

fn build(head: &WorkHead, address: String, left: Duration, body: Body) -> Request<Body> {
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

/// An upstream's answer for the caller; `held` is kept until it has ended.
pub fn pass_back<B, T>(answer: Response<B>, held: T) -> Response<Body>
where
    B: http_body::Body<Data = bytes::Bytes, Error = upstream::BodyError> + Send + Unpin + 'static,
    T: Send + Unpin + 'static,
{
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    parts.version = hyper::Version::HTTP_11;
    parts.extensions.clear();
    Response::from_parts(parts, Holding::new(body, held).boxed_unsync())
}
