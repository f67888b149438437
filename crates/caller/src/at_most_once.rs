//! Requests that must run at most once.
//!
//! Such a request is identified by a ticket of this host, by a ticket of another host,
//! by an idempotency key that the caller chose, or by header fields that its service
//! declares.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use hyper::header::{self, HeaderMap};
use sha2::{Digest, Sha256};
use steering::claim::{
    AttemptId, CLAIM_DISPATCH_WINDOW, ClaimOutcome, Fingerprint, Receipt, TicketDecision,
    WorkOutcome, decide_existing_claim, fingerprint,
};
use steering::document::TicketMode;
use steering::error::{ErrorKind, NotRun};
use steering::ids::ClaimId;
use steering::ticket::{self, Ticket, TicketError};
use upstream::{Body, RequestBody, full};

use crate::answers::{Failure, REPLAYED_HEADER};
use crate::dispatch::{self, relay_to_issuer};
use crate::local::AttemptError;
use crate::request::{KEY_HEADER, OperationIdentity, RequestHead, value};
use crate::shared::SharedState;
use upstream::{BufferedBody, buffer_body};

/// Time that this host remembers an idempotency key. The claim row in the store lives longer.
const KEY_TTL: Duration = Duration::from_secs(60);
const MAX_KEY_BYTES: usize = 256;

/// One attempt to run a request that must run at most once.
struct Execution {
    id: ClaimId,
    /// Distinguishes the claim of this attempt from those of other attempts.
    attempt: AttemptId,
    fingerprint: Fingerprint,
    mode: TicketMode,
    /// From then on the request must not be dispatched.
    expires_at: Instant,
    /// From then on this host may forget the outcome; not before `expires_at`.
    forget_at: Instant,
    /// Statuses by which the upstream reports that it did not run the request.
    rejected_statuses: Vec<u16>,
}

impl Execution {
    /// An execution that any host may start once its claim is in the store.
    fn in_store(id: ClaimId, fingerprint: Fingerprint, rejected_statuses: Vec<u16>) -> Self {
        let expires_at = clock::now() + KEY_TTL;
        Execution {
            id,
            attempt: rand::random(),
            fingerprint,
            mode: TicketMode::Store,
            expires_at,
            forget_at: expires_at,
            rejected_statuses,
        }
    }
}

/// Answers a request that must run at most once.
pub async fn run(
    shared: &Arc<SharedState>,
    mut head: RequestHead,
    mut body: RequestBody,
    ticket_text: Option<&str>,
) -> Result<Response<Body>, Failure> {
    if let Some(identity) = head.identity.take() {
        return run_with_identity(shared, head, body, identity).await;
    }
    let fingerprint = fingerprint_of(&head, &body)?;
    let Some(ticket_text) = ticket_text else {
        return run_with_key(shared, head, body, fingerprint).await;
    };
    let ticket = ticket::decode_unverified(ticket_text).map_err(|_| ErrorKind::TicketInvalid)?;
    if shared.issuer.issued(&ticket) {
        let now = clock::elapsed(shared.started);
        let ticket = match shared.issuer.verify(ticket_text, &head.service, now) {
            Ok(ticket) => ticket,
            Err(TicketError::Lapsed) => return answer_expired(shared, &ticket, &fingerprint).await,
            Err(_) => return Err(ErrorKind::TicketInvalid.into()),
        };
        let expires_at = expiry_of(shared, &ticket);
        let execution = Execution {
            expires_at,
            forget_at: expires_at + shared.config.ticket_ttl,
            id: ticket.id,
            attempt: rand::random(),
            fingerprint,
            mode: ticket.mode,
            rejected_statuses: Vec::new(),
        };
        return run_at_most_once(shared, head, body, execution).await;
    }
    if ticket.service != head.service {
        return Err(ErrorKind::TicketInvalid.into());
    }
    match relay_to_ticket_host(shared, &head, &mut body, &ticket, ticket_text).await {
        Ok(answer) => Ok(answer),
        Err(Some(failure)) => Err(failure),
        Err(None) => answer_without_issuer(shared, head, body, &ticket, fingerprint).await,
    }
}

/// Relays the request to the host that issued the ticket.
///
/// Returns `Err(None)` where this host is gone or gives no answer.
async fn relay_to_ticket_host(
    shared: &SharedState,
    head: &RequestHead,
    body: &mut RequestBody,
    ticket: &Ticket,
    ticket_text: &str,
) -> Result<Response<Body>, Option<Failure>> {
    let view = shared.view.load_full();
    let Some(issuer) = view
        .host(&ticket.host)
        .filter(|issuer| issuer.name != view.me.name)
    else {
        return Err(None);
    };
    let mut head = head.clone();
    let name = crate::request::TICKET_HEADER;
    head.headers.insert(name, value(ticket_text));
    match relay_to_issuer(shared, &head, body, issuer).await {
        Ok(answer) => Ok(answer),
        // The store may hold the outcome.
        Err(AttemptError::Unreachable | AttemptError::Silent) => Err(None),
        // Another incarnation answers at this address, so the one that issued the ticket is gone.
        Err(AttemptError::NotRun(ErrorKind::TicketInvalid)) => Err(None),
        Err(AttemptError::Refused(kind)) => Err(Some(Failure::before_ticket(kind))),
        Err(AttemptError::NotRun(kind)) => Err(Some(kind.into())),
        Err(AttemptError::MayHaveRun(kind)) => Err(Some(kind.into())),
    }
}

/// The time from which the ticket is no longer good for dispatch.
fn expiry_of(shared: &SharedState, ticket: &Ticket) -> Instant {
    shared.started + Duration::from_millis(ticket.lapse_ms)
}

/// Answers a request under an expired ticket with the outcome of an earlier run, if it is known.
async fn answer_expired(
    shared: &SharedState,
    ticket: &Ticket,
    fingerprint: &str,
) -> Result<Response<Body>, Failure> {
    let (earlier, remembered) = {
        let spent = shared.spent();
        // The clock is read under the lock: a ticket that was removed before was removed at
        // an earlier time, so one that must still be remembered is found here.
        let now = clock::now();
        let remembered = now < expiry_of(shared, ticket) + shared.config.ticket_ttl;
        (spent.status(&ticket.id, fingerprint), remembered)
    };
    if let Some(decision) = earlier {
        return answer_without_running(decision, ticket.mode);
    }
    if remembered && ticket.mode == TicketMode::Home {
        return Err(ErrorKind::TicketLapsed.into());
    }
    match shared.claims.find(ticket.id.clone()).await {
        Ok(Some(row)) => {
            answer_without_running(decide_existing_claim(&row, fingerprint, false), ticket.mode)
        }
        Ok(None) | Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

/// The answer for a request that is not run now.
fn answer_without_running(
    decision: TicketDecision,
    mode: TicketMode,
) -> Result<Response<Body>, Failure> {
    match decision {
        TicketDecision::Replay(outcome) => replay(outcome),
        TicketDecision::Conflict => Err(ErrorKind::TicketConflict.into()),
        TicketDecision::Run | TicketDecision::InProgress => Err(ErrorKind::InProgress.into()),
        TicketDecision::Full if mode == TicketMode::Home => Err(ErrorKind::HostBusy.into()),
        // Another host may have run the request.
        TicketDecision::Full => Err(Failure::before_ticket(ErrorKind::HostBusy)),
    }
}

/// Answers a request whose ticket host can't be reached, from what this host left in the store.
async fn answer_without_issuer(
    shared: &Arc<SharedState>,
    head: RequestHead,
    body: RequestBody,
    ticket: &Ticket,
    fingerprint: Fingerprint,
) -> Result<Response<Body>, Failure> {
    if ticket.mode == TicketMode::Store {
        let execution = Execution::in_store(ticket.id.clone(), fingerprint, Vec::new());
        return run_at_most_once(shared, head, body, execution).await;
    }
    // In mode `home` only the host that issued the ticket runs the request. Without a
    // receipt it may have run there.
    match shared.claims.find(ticket.id.clone()).await {
        Ok(Some(row)) => {
            answer_without_running(decide_existing_claim(&row, &fingerprint, true), ticket.mode)
        }
        Ok(None) | Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

/// Runs a request under the idempotency key in its header.
async fn run_with_key(
    shared: &Arc<SharedState>,
    head: RequestHead,
    body: RequestBody,
    fingerprint: Fingerprint,
) -> Result<Response<Body>, Failure> {
    let key = head
        .headers
        .get(KEY_HEADER)
        .ok_or(ErrorKind::TicketRequired)?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(ErrorKind::Malformed.into());
    }
    let mut digest = Sha256::new();
    digest.update(head.service.as_bytes());
    digest.update([0]);
    digest.update(key.as_bytes());
    let id = format!("key-{:x}", digest.finalize());
    run_at_most_once(
        shared,
        head,
        body,
        Execution::in_store(id, fingerprint, Vec::new()),
    )
    .await
}

/// Runs a request that its service identifies by header fields.
///
/// Requests with the same fields count as one, also from different callers.
async fn run_with_identity(
    shared: &Arc<SharedState>,
    head: RequestHead,
    body: RequestBody,
    OperationIdentity {
        operation,
        identity,
    }: OperationIdentity,
) -> Result<Response<Body>, Failure> {
    let value = |name: &str| only_value(&head.headers, name);
    let id = identity
        .claim_id(&head.service, &operation, &value)
        .ok_or(ErrorKind::IdentityRequired)?;
    let fingerprint = match identity.arguments(&value) {
        Some(arguments) => fingerprint(head.method.as_str(), &head.path, arguments.as_bytes()),
        None => fingerprint_of(&head, &body)?,
    };
    let execution = Execution::in_store(id, fingerprint, identity.rejected_statuses);
    run_at_most_once(shared, head, body, execution).await
}

/// A header field's value, if the field occurs exactly once and is not empty.
fn only_value(headers: &HeaderMap, name: &str) -> Option<Vec<u8>> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty())?;
    match values.next() {
        None => Some(value.as_bytes().to_vec()),
        Some(_) => None,
    }
}

/// Runs the request unless this host knows of an earlier execution.
async fn run_at_most_once(
    shared: &Arc<SharedState>,
    head: RequestHead,
    body: RequestBody,
    execution: Execution,
) -> Result<Response<Body>, Failure> {
    let decision = shared.spent().begin(
        clock::now(),
        &execution.id,
        &execution.fingerprint,
        execution.forget_at,
    );
    if decision != TicketDecision::Run {
        return answer_without_running(decision, execution.mode);
    }
    let shared = Arc::clone(shared);
    // A separate task, so that the execution completes even if the caller disconnects.
    let task = tokio::spawn(async move { claim_and_run(&shared, head, body, execution).await });
    match task.await {
        Ok(answer) => answer,
        Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

async fn claim_and_run(
    shared: &Arc<SharedState>,
    head: RequestHead,
    mut body: RequestBody,
    execution: Execution,
) -> Result<Response<Body>, Failure> {
    let started_at = clock::now();
    if execution.mode == TicketMode::Store
        && let Err(answer) = claim(shared, &execution).await
    {
        return match answer {
            Ok(outcome) => {
                shared.spent().complete(&execution.id, outcome.clone());
                replay(outcome)
            }
            Err(kind) => {
                shared.spent().release(&execution.id);
                Err(kind.into())
            }
        };
    }
    // A process that was paused since then must not dispatch under its old claim or ticket.
    let too_late =
        clock::elapsed(started_at) > CLAIM_DISPATCH_WINDOW || clock::now() >= execution.expires_at;
    let answer = match too_late {
        true => Err(ErrorKind::DeadlineBeforeDispatch.into()),
        false => dispatch::run(shared, &head, &mut body).await,
    };
    match answer {
        Ok(answer) => record_answer(shared, &execution, answer).await,
        Err(failure) => {
            let outcome = match failure.not_run {
                NotRun::True => None,
                NotRun::False | NotRun::Unknown => Some(WorkOutcome::Unknown),
            };
            finish(shared, &execution, outcome);
            Err(failure)
        }
    }
}

/// Writes the claim to the store.
///
/// # Errors
///
/// The outcome of an earlier execution, or the reason why the request can't run now.
async fn claim(
    shared: &SharedState,
    execution: &Execution,
) -> Result<(), Result<WorkOutcome, ErrorKind>> {
    let outcome = shared
        .claims
        .claim(
            execution.id.clone(),
            execution.attempt,
            execution.fingerprint.clone(),
        )
        .await;
    let row = match outcome {
        ClaimOutcome::Held => return Ok(()),
        ClaimOutcome::Taken(row) => row,
        ClaimOutcome::Failed(reason) => {
            tracing::info!(event = "claim_failed", claim = execution.id, reason);
            // The write may have succeeded all the same. The request did not run, so its
            // claim is removed.
            remove_claim(shared, execution, execution.attempt);
            return Err(Err(ErrorKind::StoreUnavailable));
        }
    };
    let view = shared.view.load();
    let is_own = row.host == view.me.name && row.incarnation == view.incarnation;
    if is_own && row.ending.is_none() && row.fingerprint == execution.fingerprint {
        // The row is from an earlier attempt of this incarnation that did not run, and is
        // about to be removed. Until then, a claim of this attempt could not be distinguished
        // from no claim.
        remove_claim(shared, execution, row.attempt);
        return Err(Err(ErrorKind::InProgress));
    }
    let same_host = row.host == view.me.name;
    let holder_is_gone = same_host || view.host(&row.host).is_none();
    match decide_existing_claim(&row, &execution.fingerprint, holder_is_gone) {
        TicketDecision::Replay(outcome) => Err(Ok(outcome)),
        TicketDecision::Conflict => Err(Err(ErrorKind::TicketConflict)),
        _ => Err(Err(ErrorKind::InProgress)),
    }
}

/// Removes the claim of an attempt that did not run, if the claim was written.
fn remove_claim(shared: &SharedState, execution: &Execution, attempt: AttemptId) {
    let (id, fingerprint) = (execution.id.clone(), execution.fingerprint.clone());
    shared.claims.finish(id, attempt, fingerprint, None);
}

/// Records the response so that it can be replayed, and returns it.
async fn record_answer(
    shared: &SharedState,
    execution: &Execution,
    answer: Response<Body>,
) -> Result<Response<Body>, Failure> {
    if execution
        .rejected_statuses
        .contains(&answer.status().as_u16())
    {
        // By this status the service declares that nothing was done, so the caller may send
        // a corrected request under the same identity.
        finish(shared, execution, None);
        return Ok(answer);
    }
    let (parts, body) = answer.into_parts();
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let mut receipt = Receipt {
        status: parts.status.as_u16(),
        content_type: content_type
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned),
        body: None,
    };
    match buffer_body(body, shared.config.limits.kept_answer_bytes).await {
        Ok(BufferedBody::Whole(bytes)) => {
            receipt.body = Some(bytes.clone());
            finish(shared, execution, Some(WorkOutcome::Ran(receipt)));
            Ok(Response::from_parts(parts, full(bytes)))
        }
        Ok(BufferedBody::Streaming(body)) => {
            finish(shared, execution, Some(WorkOutcome::Ran(receipt)));
            Ok(Response::from_parts(parts, body))
        }
        Err(_) => {
            // The request ran, but its response is lost.
            finish(shared, execution, Some(WorkOutcome::Ran(receipt)));
            Err(ErrorKind::AnswerNotKept.into())
        }
    }
}

/// Records how the execution ended; `None` if the request did not run.
fn finish(shared: &SharedState, execution: &Execution, outcome: Option<WorkOutcome>) {
    match &outcome {
        Some(outcome) => shared.spent().complete(&execution.id, outcome.clone()),
        None => shared.spent().release(&execution.id),
    }
    let has_claim = execution.mode == TicketMode::Store;
    if outcome.is_some() || has_claim {
        let id = execution.id.clone();
        shared.claims.finish(
            id,
            execution.attempt,
            execution.fingerprint.clone(),
            outcome,
        );
    }
}

/// The response of an earlier run, rebuilt from its receipt.
fn replay(outcome: WorkOutcome) -> Result<Response<Body>, Failure> {
    let WorkOutcome::Ran(receipt) = outcome else {
        return Err(ErrorKind::OutcomeUnknown.into());
    };
    let Some(body) = receipt.body else {
        return Err(ErrorKind::AnswerNotKept.into());
    };
    let mut answer = Response::builder()
        .status(receipt.status)
        .header(REPLAYED_HEADER, "true");
    if let Some(content_type) = receipt.content_type {
        answer = answer.header(header::CONTENT_TYPE, content_type);
    }
    let answer = answer.body(full(body));
    answer.map_err(|_| ErrorKind::AnswerNotKept.into())
}

/// The fingerprint of a request.
///
/// The body must be buffered whole: only then can a repetition be distinguished from another
/// request under the same identity.
fn fingerprint_of(head: &RequestHead, body: &RequestBody) -> Result<Fingerprint, Failure> {
    match body {
        RequestBody::Whole(bytes) => Ok(fingerprint(head.method.as_str(), &head.path, bytes)),
        RequestBody::Streaming(_) => Err(ErrorKind::TooLarge.into()),
    }
}
