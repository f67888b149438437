//! A request's attempts: places in order, then retries and hedges in budget.

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
use upstream::{Body, Reuse, SendError, WorkBody};

use crate::answers::{ERROR_HEADER, Failure, NOT_RUN_HEADER};
use crate::local::{self, Admission, Miss, pass_back};
use crate::relay::{
    LOAD_HEADER, PROOF_HEADER, Purpose, RELAY_CONNECTIONS, RELAY_HEADER, RelayHead,
    STAGE_ADMISSION, STAGE_HEADER, is_proven,
};
use crate::request::{SERVICES_PATH, WorkHead, text, value};
use crate::shared::{LoadNote, Shared};

/// Places that are tried after the first has refused at admission.
const SPILLS: usize = 2;
/// Attempts of one request in all, whatever the budget.
const ATTEMPTS: usize = 4;
/// Hosts that are asked for one pool.
const OWNERS_TRIED: usize = 2;
/// Expected times to the first byte after which a hedge is sent.
const HEDGE_FACTOR: f64 = 5.0;
const HEDGE_AT_LEAST: Duration = Duration::from_millis(50);
/// Hosts that may pass a request on after the first relay.
const RELAY_HOPS: u8 = 1;

/// A place with all that an attempt there needs.
struct Plan {
    zone: String,
    pool: String,
    owners: Vec<HostEntry>,
    limits: Vec<LimitKey>,
    priority: u8,
    own: Option<Arc<AtomicU32>>,
    hedge_after: Duration,
}

/// Which of a place's attempts it is, and how far it has come.
#[derive(Default)]
struct Try {
    /// Whether it is the second at a request that is late.
    hedge: bool,
    /// Set when it has left this host.
    sent: AtomicBool,
}

/// Counts a request among this host's own to a place.
struct OwnCount(Arc<AtomicU32>);

impl OwnCount {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        OwnCount(Arc::clone(count))
    }
}

impl Drop for OwnCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sends a request to a place that can answer it.
pub async fn steer(
    shared: &Arc<Shared>,
    head: &WorkHead,
    body: &mut WorkBody,
) -> Result<Response<Body>, Failure> {
    shared.with_budget(&head.service, |budget| budget.record_first_attempt());
    let places = places(shared, head);
    if places.is_empty() {
        return Err(ErrorKind::NoUpstream.into());
    }
    let mut next = places.iter().cycle();
    let mut spills = 0;
    let mut attempts = 0;
    loop {
        let place = next.next().expect("a cycle over a list that is not empty");
        attempts += 1;
        let miss = match attempt_hedged(shared, head, body, place).await {
            Ok(answer) => return Ok(answer),
            Err(miss) => miss,
        };
        tracing::debug!(event = "miss", id = head.id, zone = place.zone, ?miss);
        let (kind, again) = match miss {
            Miss::Refused(_) | Miss::Unreachable => {
                spills += 1;
                (miss.kind(), spills <= SPILLS && spills < places.len())
            }
            Miss::NotRun(kind) => (kind, may_retry(shared, head, FailedAttempt::NotRun)),
            Miss::MayHaveRun(_) | Miss::Silent => (
                miss.kind(),
                may_retry(shared, head, FailedAttempt::MayHaveRun),
            ),
        };
        let in_time = clock::now() < head.deadline;
        if !again || !in_time || attempts >= ATTEMPTS {
            return Err(failure(miss, kind));
        }
        if miss == Miss::NotRun(kind) {
            // The pool leaves out the upstream that failed; the place stays the best.
            next = places.iter().cycle();
        }
    }
}

/// What the caller is told: never "not run" on a guess, and never less than is known.
fn failure(miss: Miss, kind: ErrorKind) -> Failure {
    let not_run = match miss {
        Miss::Refused(_) | Miss::NotRun(_) | Miss::Unreachable => NotRun::True,
        Miss::MayHaveRun(_) | Miss::Silent => NotRun::Unknown,
    };
    if kind.response().not_run == not_run {
        return Failure { kind, not_run };
    }
    match not_run {
        NotRun::True => ErrorKind::Internal.into(),
        _ => ErrorKind::OutcomeUnknown.into(),
    }
}

fn may_retry(shared: &Shared, head: &WorkHead, last: FailedAttempt) -> bool {
    shared.with_budget(&head.service, |budget| {
        budget.try_spend_retry(last, head.repeatable)
    })
}

fn places(shared: &Shared, head: &WorkHead) -> Vec<Plan> {
    let view = shared.view.load();
    let Some(service) = view.plan.services.get(&head.service) else {
        return Vec::new();
    };
    let operation = head
        .operation
        .and_then(|number| service.service.operations.get(number));
    let caller = view.plan.class(head.class);
    let rule = view.plan.rule(&service.service, operation, caller);
    let targets = view.targets(clock::now(), service, rule);
    let views: Vec<_> = targets.iter().map(|target| target.place.clone()).collect();
    let from = view.plan.region(&view.me.zone);
    let mut rng = rand::rng();
    rank_zones(&views, &mut rng)
        .into_iter()
        .filter_map(|number| {
            let target = &targets[number];
            let pool = view.draw_pool(target.zone, &mut rng)?.to_owned();
            let zone = &target.zone.zone;
            Some(Plan {
                owners: view.owners(zone, &pool).into_iter().cloned().collect(),
                limits: view.plan.limits_of(rule, from, zone),
                priority: service.service.priority,
                own: view.own_in_flight_count(&head.service, zone).cloned(),
                hedge_after: hedge_after(target),
                zone: zone.clone(),
                pool,
            })
        })
        .collect()
}

fn hedge_after(target: &Target<'_>) -> Duration {
    let place = &target.place;
    let expected_ms = place.latency_ms + 2.0 * place.one_way_ms;
    Duration::from_secs_f64(expected_ms * HEDGE_FACTOR / 1_000.0).max(HEDGE_AT_LEAST)
}

/// An attempt, and a second one beside it where the first is late.
async fn attempt_hedged(
    shared: &Arc<Shared>,
    head: &WorkHead,
    body: &mut WorkBody,
    place: &Plan,
) -> Result<Response<Body>, Miss> {
    let copy = if head.repeatable { body.copy() } else { None };
    let first_try = Try::default();
    let Some(mut copy) = copy else {
        return attempt(shared, head, body, place, &first_try).await;
    };
    let mut first = pin!(attempt(shared, head, body, place, &first_try));
    loop {
        let timer = pin!(sleep(place.hedge_after));
        if let Either::Left((answer, _)) = select(first.as_mut(), timer).await {
            return answer;
        }
        // A second one would only wait in the same queue.
        if first_try.sent.load(Ordering::Acquire) {
            break;
        }
    }
    if !may_retry(shared, head, FailedAttempt::MayHaveRun) {
        return first.await;
    }
    tracing::debug!(event = "hedge", id = head.id, zone = place.zone);
    let second_try = Try {
        hedge: true,
        ..Try::default()
    };
    let second = pin!(attempt(shared, head, &mut copy, place, &second_try));
    // The one that is not waited for any more is dropped, which cancels it.
    match select(first, second).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), second)) => second.await,
        Either::Right((Err(_), first)) => first.await,
    }
}

/// One attempt at a place.
async fn attempt(
    shared: &Arc<Shared>,
    head: &WorkHead,
    body: &mut WorkBody,
    place: &Plan,
    this: &Try,
) -> Result<Response<Body>, Miss> {
    let count = place.own.as_ref().map(OwnCount::new);
    let mut answer = Err(Miss::Refused(ErrorKind::NoUpstream));
    for (tried, owner) in place.owners.iter().take(OWNERS_TRIED).enumerate() {
        let owner_unreachable = tried > 0;
        answer = match owner.name == shared.view.load().me.name {
            true => {
                let admission = Admission {
                    pool: &place.pool,
                    limits: &place.limits,
                    priority: place.priority,
                    hedge: this.hedge,
                    sent: &this.sent,
                };
                local::run(shared, head, body, &admission).await
            }
            false => {
                this.sent.store(true, Ordering::Release);
                let purpose = Purpose::Admit {
                    pool: place.pool.clone(),
                    limits: place.limits.clone(),
                    priority: place.priority,
                    owner_unreachable,
                    hedge: this.hedge,
                    hops: RELAY_HOPS,
                };
                relay(shared, head, body, owner, purpose, Some(place)).await
            }
        };
        if !matches!(answer, Err(Miss::Unreachable)) {
            break;
        }
    }
    answer.map(|answer| match count {
        Some(count) => hold(answer, count),
        None => answer,
    })
}

fn hold(answer: Response<Body>, count: OwnCount) -> Response<Body> {
    use http_body_util::BodyExt;
    answer.map(|body| upstream::Holding::new(body, count).boxed_unsync())
}

/// Passes a request to another host.
async fn relay(
    shared: &Shared,
    head: &WorkHead,
    body: &mut WorkBody,
    to: &HostEntry,
    purpose: Purpose,
    place: Option<&Plan>,
) -> Result<Response<Body>, Miss> {
    let Some(unsent) = body.take() else {
        return Err(Miss::MayHaveRun(ErrorKind::OutcomeUnknown));
    };
    let Some(left) = head.deadline.checked_duration_since(clock::now()) else {
        body.put_back(unsent);
        return Err(Miss::Refused(ErrorKind::DeadlineBeforeDispatch));
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
    let request = build(shared, head, &relay, to, unsent);
    let reuse = if head.repeatable {
        Reuse::Any
    } else {
        Reuse::Recent
    };
    // The owner keeps the deadline; its word that it was late is worth waiting for.
    let patience = head.deadline + Duration::from_millis(100);
    let answer = shared
        .connections
        .send(
            to.relay_address,
            RELAY_CONNECTIONS,
            reuse,
            request,
            patience,
        )
        .await;
    match answer {
        Ok(answer) => {
            let proof = text(answer.headers(), PROOF_HEADER).unwrap_or("");
            if !is_proven(&shared.config.peer_key, &head.id, proof) {
                tracing::warn!(event = "relay_stranger", id = head.id, host = to.name);
                return Err(Miss::Silent);
            }
            note_load(shared, head, place, &answer);
            accept(answer)
        }
        Err(SendError::NotSent { request, reason }) => {
            tracing::info!(event = "relay_failed", id = head.id, host = to.name, reason);
            if let Some(request) = request {
                body.put_back(request.into_body());
            }
            Err(Miss::Unreachable)
        }
        Err(SendError::Lost { reason }) => {
            tracing::info!(event = "relay_lost", id = head.id, host = to.name, reason);
            Err(Miss::Silent)
        }
        Err(SendError::Late) => Err(Miss::MayHaveRun(ErrorKind::DeadlineAfterDispatch)),
    }
}

/// Passes a request to the host that issued its ticket.
pub async fn relay_home(
    shared: &Shared,
    head: &WorkHead,
    body: &mut WorkBody,
    to: &HostEntry,
) -> Result<Response<Body>, Miss> {
    relay(shared, head, body, to, Purpose::Ticketed, None).await
}

/// Passes a relayed request on to the pool's owner in this zone.
pub async fn relay_on(
    shared: &Shared,
    head: &WorkHead,
    body: &mut WorkBody,
    to: &HostEntry,
    purpose: Purpose,
) -> Result<Response<Body>, Miss> {
    relay(shared, head, body, to, purpose, None).await
}

fn build(
    shared: &Shared,
    head: &WorkHead,
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

fn note_load(
    shared: &Shared,
    head: &WorkHead,
    place: Option<&Plan>,
    answer: &Response<impl Sized>,
) {
    let load = text(answer.headers(), LOAD_HEADER);
    let load: Option<PoolLoad> = load.and_then(|load| serde_json::from_str(load).ok());
    if let (Some(load), Some(place)) = (load, place) {
        shared.note(LoadNote {
            zone: place.zone.clone(),
            service: head.service.clone(),
            load,
            heard: clock::now(),
        });
    }
}

/// Another host's answer: an upstream's, or a failure with what is known of it.
fn accept(answer: Response<upstream::TrackedBody>) -> Result<Response<Body>, Miss> {
    let headers = answer.headers();
    let Some(code) = text(headers, ERROR_HEADER) else {
        return Ok(pass_back(answer, ()));
    };
    let kind = ErrorKind::find(code).unwrap_or(ErrorKind::OutcomeUnknown);
    let not_run = text(headers, NOT_RUN_HEADER) == Some("true");
    let at_admission = text(headers, STAGE_HEADER) == Some(STAGE_ADMISSION);
    Err(match (not_run, at_admission) {
        (true, true) => Miss::Refused(kind),
        (true, false) => Miss::NotRun(kind),
        (false, _) => Miss::MayHaveRun(kind),
    })
}
