//! Attempts at a request: candidate zones in order of preference, with retries and
//! hedged requests within the retry budget of the service.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use futures::future::{Either, select};
use hyper::{Request, Response, header};
use steering::choice::rank_zones;
use steering::error::{ErrorKind, NotRun};
use steering::limiter::LimitKey;
use steering::membership::HostEntry;
use steering::pool::PoolLoad;
use steering::retry::FailedAttempt;
use steering::view::Target;
use tokio::time::sleep;
use upstream::{Body, RequestBody, Reuse, SendError};

use crate::answers::{ERROR_HEADER, Failure, NOT_RUN_HEADER};
use crate::local::{self, Admission, AttemptError, caller_response};
use crate::relay::{
    LOAD_HEADER, PROOF_HEADER, Purpose, RELAY_CONNECTIONS, RELAY_HEADER, RelayHead,
    STAGE_ADMISSION, STAGE_HEADER, is_proven,
};
use crate::request::{RequestHead, SERVICES_PATH, text, value};
use crate::shared::{LoadObservation, SharedState};

/// Further zones that are tried after the first one refused the request at admission or could not
/// be reached.
const MAX_FALLBACKS: usize = 2;
/// Attempts at one request in total, even where the retry budget would allow more.
const MAX_ATTEMPTS: usize = 4;
/// Hosts that one attempt tries to reach as the owner of the pool.
const MAX_OWNERS_TRIED: usize = 2;
/// A hedged request is sent after the expected time to the first byte times this factor.
const HEDGE_DELAY_FACTOR: f64 = 5.0;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Times that a relayed request may be relayed again.
const MAX_RELAY_HOPS: u8 = 1;

/// A zone that may serve the request, with the parameters of an attempt there.
struct Candidate {
    zone: String,
    pool: String,
    owners: Vec<HostEntry>,
    limits: Vec<LimitKey>,
    priority: u8,
    /// Requests of this host that are in flight to the service in the zone.
    own_in_flight: Option<Arc<AtomicU32>>,
    hedge_delay: Duration,
}

/// State of one attempt in a zone, shared with the code that may hedge the request.
#[derive(Default)]
struct AttemptState {
    /// Whether this attempt is a hedge beside a first attempt without a response so far.
    hedge: bool,
    /// Set once the request has left this host.
    sent: AtomicBool,
}

/// Counts a request of this host as in flight to a zone until dropped.
struct OwnInFlight(Arc<AtomicU32>);

impl OwnInFlight {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OwnInFlight(Arc::clone(count))
    }
}

impl Drop for OwnInFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request to a zone that can serve it, with retries in further zones.
pub async fn run(
    shared: &Arc<SharedState>,
    head: &RequestHead,
    body: &mut RequestBody,
) -> Result<Response<Body>, Failure> {
    shared.with_budget(&head.service, |budget| budget.record_first_attempt());
    let candidates = candidates(shared, head);
    if candidates.is_empty() {
        return Err(ErrorKind::NoUpstream.into());
    }
    let mut next = candidates.iter().cycle();
    let mut fallbacks = 0;
    let mut attempts = 0;
    loop {
        let candidate = next.next().expect("a cycle over a list that is not empty");
        attempts += 1;
        let error = match attempt_hedged(shared, head, body, candidate).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        tracing::debug!(event = "miss", id = head.id, zone = candidate.zone, miss = ?error);
        let (kind, again) = match error {
            AttemptError::Refused(_) | AttemptError::Unreachable => {
                fallbacks += 1;
                (
                    error.kind(),
                    fallbacks <= MAX_FALLBACKS && fallbacks < candidates.len(),
                )
            }
            AttemptError::NotRun(kind) => (kind, may_retry(shared, head, FailedAttempt::NotRun)),
            AttemptError::MayHaveRun(_) | AttemptError::Silent => (
                error.kind(),
                may_retry(shared, head, FailedAttempt::MayHaveRun),
            ),
        };
        let in_time = clock::now() < head.deadline;
        if !again || !in_time || attempts >= MAX_ATTEMPTS {
            return Err(failure(error, kind));
        }
        if error == AttemptError::NotRun(kind) {
            // The pool now avoids the upstream that failed, so its zone is still preferred.
            next = candidates.iter().cycle();
        }
    }
}

/// The failure that is reported to the caller.
///
/// States that the request did not run if, and only if, this is certain.
fn failure(error: AttemptError, kind: ErrorKind) -> Failure {
    let not_run = match error {
        AttemptError::Refused(_) | AttemptError::NotRun(_) | AttemptError::Unreachable => {
            NotRun::True
        }
        AttemptError::MayHaveRun(_) | AttemptError::Silent => NotRun::Unknown,
    };
    if kind.response().not_run == not_run {
        return Failure { kind, not_run };
    }
    match not_run {
        NotRun::True => ErrorKind::Internal.into(),
        _ => ErrorKind::OutcomeUnknown.into(),
    }
}

fn may_retry(shared: &SharedState, head: &RequestHead, last: FailedAttempt) -> bool {
    shared.with_budget(&head.service, |budget| {
        budget.try_spend_retry(last, head.repeatable)
    })
}

/// Zones that may serve the request, best first.
fn candidates(shared: &SharedState, head: &RequestHead) -> Vec<Candidate> {
    let view = shared.view.load();
    let Some(service) = view.plan.services.get(&head.service) else {
        return Vec::new();
    };
    let operation = head
        .operation
        .and_then(|index| service.service.operations.get(index));
    let caller = view.plan.class(head.class);
    let rule = view.plan.rule(&service.service, operation, caller);
    let targets = view.targets(clock::now(), service, rule);
    let zone_candidates: Vec<_> = targets.iter().map(|target| target.place.clone()).collect();
    let from = view.plan.region(&view.me.zone);
    let mut rng = rand::rng();
    rank_zones(&zone_candidates, &mut rng)
        .into_iter()
        .filter_map(|index| {
            let target = &targets[index];
            let pool = view.draw_pool(target.zone, &mut rng)?.to_owned();
            let zone = &target.zone.zone;
            Some(Candidate {
                owners: view.owners(zone, &pool).into_iter().cloned().collect(),
                limits: view.plan.limits_of(rule, from, zone),
                priority: service.service.priority,
                own_in_flight: view.own_in_flight_count(&head.service, zone).cloned(),
                hedge_delay: hedge_delay(target),
                zone: zone.clone(),
                pool,
            })
        })
        .collect()
}

fn hedge_delay(target: &Target<'_>) -> Duration {
    let zone = &target.place;
    let expected_ms = zone.latency_ms + 2.0 * zone.one_way_ms;
    Duration::from_secs_f64(expected_ms * HEDGE_DELAY_FACTOR / 1_000.0).max(MIN_HEDGE_DELAY)
}

/// Makes an attempt, and a hedged second one in parallel where the first one is slow.
async fn attempt_hedged(
    shared: &Arc<SharedState>,
    head: &RequestHead,
    body: &mut RequestBody,
    candidate: &Candidate,
) -> Result<Response<Body>, AttemptError> {
    let copy = if head.repeatable { body.copy() } else { None };
    let first_state = AttemptState::default();
    let Some(mut copy) = copy else {
        return attempt(shared, head, body, candidate, &first_state).await;
    };
    let mut first = pin!(attempt(shared, head, body, candidate, &first_state));
    loop {
        let timer = pin!(sleep(candidate.hedge_delay));
        if let Either::Left((answer, _)) = select(first.as_mut(), timer).await {
            return answer;
        }
        // Before the request is sent, a hedge would only wait in the same queue.
        if first_state.sent.load(Ordering::Acquire) {
            break;
        }
    }
    if !may_retry(shared, head, FailedAttempt::MayHaveRun) {
        return first.await;
    }
    tracing::debug!(event = "hedge", id = head.id, zone = candidate.zone);
    let second_state = AttemptState {
        hedge: true,
        ..AttemptState::default()
    };
    let second = pin!(attempt(shared, head, &mut copy, candidate, &second_state));
    // The slower attempt is dropped with its future, which cancels it.
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// Makes one attempt in a zone, at the owner of its pool or the next host in rank.
async fn attempt(
    shared: &Arc<SharedState>,
    head: &RequestHead,
    body: &mut RequestBody,
    candidate: &Candidate,
    state: &AttemptState,
) -> Result<Response<Body>, AttemptError> {
    let count = candidate.own_in_flight.as_ref().map(OwnInFlight::new);
    let mut answer = Err(AttemptError::Refused(ErrorKind::NoUpstream));
    for (tried, owner) in candidate.owners.iter().take(MAX_OWNERS_TRIED).enumerate() {
        let owner_unreachable = tried > 0;
        answer = match owner.name == shared.view.load().me.name {
            true => {
                let admission = Admission {
                    pool: &candidate.pool,
                    limits: &candidate.limits,
                    priority: candidate.priority,
                    hedge: state.hedge,
                    sent: &state.sent,
                };
                local::run(shared, head, body, &admission).await
            }
            false => {
                state.sent.store(true, Ordering::Release);
                let purpose = Purpose::Admit {
                    pool: candidate.pool.clone(),
                    limits: candidate.limits.clone(),
                    priority: candidate.priority,
                    owner_unreachable,
                    hedge: state.hedge,
                    hops: MAX_RELAY_HOPS,
                };
                relay(shared, head, body, owner, purpose, Some(candidate)).await
            }
        };
        if !matches!(answer, Err(AttemptError::Unreachable)) {
            break;
        }
    }
    answer.map(|answer| match count {
        Some(count) => count_until_end(answer, count),
        None => answer,
    })
}

/// Counts the request as in flight until the body of its response has ended.
fn count_until_end(answer: Response<Body>, count: OwnInFlight) -> Response<Body> {
    use http_body_util::BodyExt;
    answer.map(|body| upstream::GuardedBody::new(body, count).boxed_unsync())
}

/// Relays a request to another host.
async fn relay(
    shared: &SharedState,
    head: &RequestHead,
    body: &mut RequestBody,
    to: &HostEntry,
    purpose: Purpose,
    candidate: Option<&Candidate>,
) -> Result<Response<Body>, AttemptError> {
    let Some(unsent) = body.take() else {
        return Err(AttemptError::MayHaveRun(ErrorKind::OutcomeUnknown));
    };
    let Some(left) = head.deadline.checked_duration_since(clock::now()) else {
        body.put_back(unsent);
        return Err(AttemptError::Refused(ErrorKind::DeadlineBeforeDispatch));
    };
    let view = shared.view.load_full();
    let relay = RelayHead {
        id: head.id.clone(),
        from: view.me.name.clone(),
        revision: view.revision,
        caller: head.caller,
        deadline_ms: left.as_millis() as u64,
        repeatable: head.repeatable,
        purpose,
    };
    let request = relay_request(shared, head, &relay, to, unsent);
    let reuse = if head.repeatable {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    // The other host enforces the deadline itself. Waiting a little longer gives the
    // caller its error, which says more than a timeout here.
    let wait_until = head.deadline + Duration::from_millis(100);
    let answer = shared
        .connections
        .send(
            to.relay_address,
            RELAY_CONNECTIONS,
            reuse,
            request,
            wait_until,
        )
        .await;
    match answer {
        Ok(mut answer) => {
            let proof = text(answer.headers(), PROOF_HEADER).unwrap_or("");
            if !is_proven(&shared.config.peer_key, &head.id, proof) {
                tracing::warn!(event = "relay_stranger", id = head.id, host = to.name);
                return Err(AttemptError::Silent);
            }
            answer.body_mut().accept();
            record_load(shared, head, candidate, &answer);
            read_relay_answer(answer)
        }
        Err(SendError::NotSent { request, reason }) => {
            tracing::info!(event = "relay_failed", id = head.id, host = to.name, reason);
            if let Some(request) = request {
                body.put_back(request.into_body());
            }
            Err(AttemptError::Unreachable)
        }
        Err(SendError::Lost { reason }) => {
            tracing::info!(event = "relay_lost", id = head.id, host = to.name, reason);
            Err(AttemptError::Silent)
        }
        Err(SendError::InvalidAnswer { reason }) => {
            tracing::warn!(event = "relay_answer_invalid", id = head.id, host = to.name, %reason);
            Err(AttemptError::Silent)
        }
        Err(SendError::Timeout) => Err(AttemptError::MayHaveRun(ErrorKind::DeadlineAfterDispatch)),
    }
}

/// Relays a request to the host that issued its ticket.
pub async fn relay_to_issuer(
    shared: &SharedState,
    head: &RequestHead,
    body: &mut RequestBody,
    to: &HostEntry,
) -> Result<Response<Body>, AttemptError> {
    relay(shared, head, body, to, Purpose::Ticketed, None).await
}

/// Relays a relayed request again, to the owner of the pool in this zone.
pub async fn relay_to_owner(
    shared: &SharedState,
    head: &RequestHead,
    body: &mut RequestBody,
    to: &HostEntry,
    purpose: Purpose,
) -> Result<Response<Body>, AttemptError> {
    relay(shared, head, body, to, purpose, None).await
}

fn relay_request(
    shared: &SharedState,
    head: &RequestHead,
    relay: &RelayHead,
    to: &HostEntry,
    body: Body,
) -> Request<Body> {
    let path = format!("{SERVICES_PATH}{}{}", head.service, head.path);
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    headers.remove(header::EXPECT);
    headers.insert(header::HOST, value(&to.relay_address.to_string()));
    headers.insert(RELAY_HEADER, value(&relay.sign(&shared.config.peer_key)));
    request
}

/// Hands the pool load in a relay response to the control thread.
fn record_load(
    shared: &SharedState,
    head: &RequestHead,
    candidate: Option<&Candidate>,
    answer: &Response<impl Sized>,
) {
    let load = text(answer.headers(), LOAD_HEADER);
    let load: Option<PoolLoad> = load.and_then(|load| serde_json::from_str(load).ok());
    if let (Some(load), Some(candidate)) = (load, candidate) {
        shared.record_load(LoadObservation {
            zone: candidate.zone.clone(),
            service: head.service.clone(),
            load,
            received: clock::now(),
        });
    }
}

/// Reads a relay response: an upstream's response, or a failure and whether the request ran.
fn read_relay_answer(
    answer: Response<upstream::TrackedBody>,
) -> Result<Response<Body>, AttemptError> {
    let headers = answer.headers();
    let Some(code) = text(headers, ERROR_HEADER) else {
        return Ok(caller_response(answer, ()));
    };
    let kind = ErrorKind::find(code).unwrap_or(ErrorKind::OutcomeUnknown);
    let not_run = text(headers, NOT_RUN_HEADER) == Some("true");
    let at_admission = text(headers, STAGE_HEADER) == Some(STAGE_ADMISSION);
    Err(match (not_run, at_admission) {
        (true, true) => AttemptError::Refused(kind),
        (true, false) => AttemptError::NotRun(kind),
        (false, _) => AttemptError::MayHaveRun(kind),
    })
}
