//! Handlers of all HTTP requests, from callers and from other hosts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use rand::Rng;
use steering::error::ErrorKind;
use upstream::{Body, REQUEST_ID_HEADER, RequestBody};

use crate::answers::{Failure, failure};
use crate::at_most_once;
use crate::dispatch;
use crate::guarded_stream::AmbiguousHead;
use crate::local::{self, Admission, AttemptError};
use crate::look_up::{self, LOOK_UP_PATH};
use crate::relay::{
    LOAD_HEADER, PROOF_HEADER, Purpose, RELAY_HEADER, RelayHead, STAGE_ADMISSION, STAGE_DISPATCH,
    STAGE_HEADER, prove,
};
use crate::request::{KEY_HEADER, RequestHead, TICKET_HEADER, parse, text, value};
use crate::shared::SharedState;
use upstream::{BodyLimitError, BoundedBody, GuardedBody, buffer_body};

/// Counts a request as in flight on this host until the body of its response has ended.
struct InFlightGuard(Arc<SharedState>);

impl InFlightGuard {
    /// Counts the request; fails as `host_busy` at the limit.
    fn new(shared: &Arc<SharedState>) -> Result<InFlightGuard, ErrorKind> {
        let limit = shared.config.limits.requests_in_flight;
        let guard = InFlightGuard(Arc::clone(shared));
        if shared.in_flight.fetch_add(1, Ordering::AcqRel) >= limit {
            return Err(ErrorKind::HostBusy);
        }
        Ok(guard)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers a request of a caller.
pub async fn from_caller(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
    peer: SocketAddr,
    ambiguous: AmbiguousHead,
) -> Response<Body> {
    let id = new_id();
    let started_at = clock::now();
    let unchecked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let ambiguous = ambiguous.load(Ordering::Acquire);
    let path = request.uri().path().to_owned();
    let answer = match ambiguous {
        true => Err(ErrorKind::Malformed.into()),
        false => answer_caller(&shared, request, peer.ip(), &id).await,
    };
    let mut answer = answer.unwrap_or_else(|failed: Failure| failure(failed, &id));
    // The heads that follow on this connection would not be checked for ambiguity.
    if unchecked || ambiguous {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer.headers_mut().insert(REQUEST_ID_HEADER, value(&id));
    log_request(&path, &id, &answer, clock::elapsed(started_at));
    answer
}

async fn answer_caller(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
    caller: IpAddr,
    id: &str,
) -> Result<Response<Body>, Failure> {
    if request.uri().path() == LOOK_UP_PATH {
        return Ok(look_up::answer(shared, request.uri(), caller)?);
    }
    let has_ticket_or_key = has_ticket_or_key(request.headers());
    let view = shared.view.load_full();
    let head = parse(&request, &view, caller, id.to_owned());
    let head = head.map_err(|kind| early_failure(kind, has_ticket_or_key))?;
    let early = |kind| early_failure(kind, !head.repeatable);
    let in_flight = InFlightGuard::new(shared).map_err(early)?;
    let ticket = text(request.headers(), TICKET_HEADER).map(str::to_owned);
    let body = read_body(shared, &head, request.into_body()).await;
    let body = body.map_err(early)?;
    let answer = run(shared, head, body, ticket.as_deref()).await?;
    Ok(answer.map(|body| GuardedBody::new(body, in_flight).boxed_unsync()))
}

fn has_ticket_or_key(headers: &HeaderMap) -> bool {
    headers.contains_key(TICKET_HEADER) || headers.contains_key(KEY_HEADER)
}

/// A failure before any check whether the same request came before.
fn early_failure(kind: ErrorKind, may_be_repetition: bool) -> Failure {
    match may_be_repetition {
        true => Failure::before_ticket(kind),
        false => kind.into(),
    }
}

async fn run(
    shared: &Arc<SharedState>,
    head: RequestHead,
    mut body: RequestBody,
    ticket: Option<&str>,
) -> Result<Response<Body>, Failure> {
    if head.repeatable {
        return dispatch::run(shared, &head, &mut body).await;
    }
    at_most_once::run(shared, head, body, ticket).await
}

/// Answers a request that another host relayed.
pub async fn from_host(shared: Arc<SharedState>, request: Request<Incoming>) -> Response<Body> {
    let relay = text(request.headers(), RELAY_HEADER).unwrap_or("");
    let Ok(relay) = RelayHead::verify(relay, &shared.config.peer_key) else {
        tracing::warn!(
            event = "relay_refused",
            reason = "not signed with the shared key"
        );
        return failure_at_stage(ErrorKind::Malformed, "", STAGE_ADMISSION);
    };
    let id = relay.id.clone();
    let mut answer = match answer_host(&shared, request, relay).await {
        Ok(answer) => answer,
        Err(error @ (AttemptError::Refused(_) | AttemptError::Unreachable)) => {
            failure_at_stage(error.kind(), &id, STAGE_ADMISSION)
        }
        Err(error) => failure_at_stage(error.kind(), &id, STAGE_DISPATCH),
    };
    let proof = prove(&shared.config.peer_key, &id);
    answer.headers_mut().insert(PROOF_HEADER, value(&proof));
    answer
}

async fn answer_host(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
    relay: RelayHead,
) -> Result<Response<Body>, AttemptError> {
    let in_flight = InFlightGuard::new(shared).map_err(AttemptError::Refused)?;
    let view = shared.view.load_full();
    let mut head = parse(&request, &view, relay.caller, relay.id).map_err(AttemptError::Refused)?;
    head.deadline = clock::now() + Duration::from_millis(relay.deadline_ms);
    head.repeatable = relay.repeatable;
    let ticket = text(request.headers(), TICKET_HEADER).map(str::to_owned);
    let body = read_body(shared, &head, request.into_body()).await;
    let mut body = body.map_err(AttemptError::Refused)?;
    let answer = match relay.purpose {
        Purpose::Ticketed => {
            let answer = at_most_once::run(shared, head, body, ticket.as_deref()).await;
            answer.map_err(|failed| match failed.not_run {
                steering::NotRun::True => AttemptError::NotRun(failed.kind),
                _ => AttemptError::MayHaveRun(failed.kind),
            })
        }
        purpose => admit(shared, &head, &mut body, purpose, relay.revision).await,
    }?;
    Ok(answer.map(|body| GuardedBody::new(body, in_flight).boxed_unsync()))
}

/// Admits a relayed request on this host, or relays it again to the owner of the pool.
async fn admit(
    shared: &Arc<SharedState>,
    head: &RequestHead,
    body: &mut RequestBody,
    purpose: Purpose,
    revision: u64,
) -> Result<Response<Body>, AttemptError> {
    let Purpose::Admit {
        pool,
        limits,
        priority,
        owner_unreachable,
        hedge,
        hops,
    } = purpose
    else {
        return Err(AttemptError::Refused(ErrorKind::Internal));
    };
    let view = shared.view.load_full();
    let owner = view
        .owners(&view.me.zone, &pool)
        .first()
        .map(|owner| (*owner).clone());
    let owns = owner
        .as_ref()
        .is_some_and(|owner| owner.name == view.me.name);
    if !owner_unreachable && !owns {
        let Some(owner) = owner.filter(|_| hops > 0) else {
            return Err(AttemptError::Refused(ErrorKind::NoUpstream));
        };
        let purpose = Purpose::Admit {
            pool: pool.clone(),
            limits: limits.clone(),
            priority,
            owner_unreachable,
            hedge,
            hops: hops - 1,
        };
        let relayed = dispatch::relay_to_owner(shared, head, body, &owner, purpose).await;
        if !matches!(relayed, Err(AttemptError::Unreachable)) {
            return relayed;
        }
    }
    if revision > view.revision && !limits.iter().all(|key| knows_limit(shared, key)) {
        // The sender has a newer configuration with a limit that this host can't enforce yet.
        return Err(AttemptError::Refused(ErrorKind::LimitReached));
    }
    let admission = Admission {
        pool: &pool,
        limits: &limits,
        priority,
        hedge,
        sent: &AtomicBool::new(false),
    };
    let mut answer = local::run(shared, head, body, &admission).await?;
    if let Some(load) = shared.pools.load(&pool) {
        let load = serde_json::to_string(&load).expect("loads are valid JSON");
        answer.headers_mut().insert(LOAD_HEADER, value(&load));
    }
    Ok(answer)
}

fn knows_limit(shared: &SharedState, key: &steering::limiter::LimitKey) -> bool {
    use steering::limiter::LimitKey;
    match key {
        LimitKey::RuleFlight(..) | LimitKey::RuleRate(..) => shared.ledger().has(key),
        LimitKey::Zone | LimitKey::Region | LimitKey::Link(_) => true,
    }
}

async fn read_body(
    shared: &SharedState,
    head: &RequestHead,
    body: Incoming,
) -> Result<RequestBody, ErrorKind> {
    let limits = &shared.config.limits;
    let view = shared.view.load();
    let service = view.plan.services.get(&head.service);
    let body_limit_bytes = service.map_or(0, |service| service.service.body_limit_bytes);
    let stall_timeout = Duration::from_millis(limits.stall_timeout_ms);
    let body = BoundedBody::new(body, body_limit_bytes, stall_timeout).boxed_unsync();
    match buffer_body(body, limits.hold_body_bytes).await {
        Ok(held) => Ok(held.into()),
        Err(error) => Err(match error.downcast_ref() {
            Some(BodyLimitError::TooLarge) => ErrorKind::TooLarge,
            Some(BodyLimitError::Stalled) => ErrorKind::SlowCaller,
            None => ErrorKind::Malformed,
        }),
    }
}

/// The response for a failure, with a header that names at which it occurred.
fn failure_at_stage(kind: ErrorKind, id: &str, stage: &'static str) -> Response<Body> {
    let mut answer = failure(kind.into(), id);
    let stage = HeaderValue::from_static(stage);
    answer.headers_mut().insert(STAGE_HEADER, stage);
    answer
}

fn new_id() -> String {
    format!("{:016x}", rand::rng().random::<u64>())
}

fn log_request(path: &str, id: &str, answer: &Response<Body>, took: Duration) {
    let status = answer.status().as_u16();
    let error = text(answer.headers(), crate::answers::ERROR_HEADER).unwrap_or("none");
    let ms = took.as_secs_f64() * 1_000.0;
    metrics::counter!("stagedeck_requests_total", "error" => error.to_owned()).increment(1);
    metrics::histogram!("stagedeck_first_byte_seconds").record(took.as_secs_f64());
    tracing::info!(event = "request", id, path, status, error, ms);
}
