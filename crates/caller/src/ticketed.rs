//! Work that may not be repeated: under a ticket of this host, under another
//! host's ticket, or under a caller's own key.

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
use upstream::{Body, WorkBody, full};

use crate::answers::{Failure, REPLAYED_HEADER};
use crate::local::Miss;
use crate::request::{KEY_HEADER, NamedWork, WorkHead, value};
use crate::shared::Shared;
use crate::steer::{relay_home, steer};
use upstream::{Held, hold};

/// Time that a caller's own key is remembered here; its claim row lasts longer.
const KEY_MEMORY: Duration = Duration::from_secs(60);
const KEY_LIMIT_BYTES: usize = 256;

/// One piece of work that runs at most once.
struct Once {
    id: ClaimId,
    /// This try; its claim is told apart from those of others by it.
    attempt: AttemptId,
    fingerprint: Fingerprint,
    mode: TicketMode,
    /// When it may no longer be dispatched.
    lapse: Instant,
    /// When its memory here may lapse; not before `lapse`.
    forget_at: Instant,
    /// Statuses by which the upstream says that it did nothing.
    rejected_statuses: Vec<u16>,
}

impl Once {
    /// Work that any host may run, once the store has its claim.
    fn in_store(id: ClaimId, fingerprint: Fingerprint, rejected_statuses: Vec<u16>) -> Self {
        let lapse = clock::now() + KEY_MEMORY;
        Once {
            id,
            attempt: rand::random(),
            fingerprint,
            mode: TicketMode::Store,
            lapse,
            forget_at: lapse,
            rejected_statuses,
        }
    }
}

/// Answers a request that may not be repeated.
pub async fn run(
    shared: &Arc<Shared>,
    mut head: WorkHead,
    mut body: WorkBody,
    ticket_text: Option<&str>,
) -> Result<Response<Body>, Failure> {
    if let Some(work) = head.named.take() {
        return run_named(shared, head, body, work).await;
    }
    let fingerprint = fingerprint_of(&head, &body)?;
    let Some(ticket_text) = ticket_text else {
        return run_keyed(shared, head, body, fingerprint).await;
    };
    let ticket = ticket::decode_unverified(ticket_text).map_err(|_| ErrorKind::TicketInvalid)?;
    if shared.issuer.issued(&ticket) {
        let now = clock::elapsed(shared.started);
        let ticket = match shared.issuer.verify(ticket_text, &head.service, now) {
            Ok(ticket) => ticket,
            Err(TicketError::Lapsed) => return after_lapse(shared, &ticket, &fingerprint).await,
            Err(_) => return Err(ErrorKind::TicketInvalid.into()),
        };
        let lapse = lapse_of(shared, &ticket);
        let once = Once {
            lapse,
            forget_at: lapse + shared.config.ticket_ttl,
            id: ticket.id,
            attempt: rand::random(),
            fingerprint,
            mode: ticket.mode,
            rejected_statuses: Vec::new(),
        };
        return run_once(shared, head, body, once).await;
    }
    if ticket.service != head.service {
        return Err(ErrorKind::TicketInvalid.into());
    }
    match forward(shared, &head, &mut body, &ticket, ticket_text).await {
        Ok(answer) => Ok(answer),
        Err(Some(failure)) => Err(failure),
        Err(None) => after_home(shared, head, body, &ticket, fingerprint).await,
    }
}

/// Passes the request to the ticket's host; `Err(None)` where it can't be reached.
async fn forward(
    shared: &Shared,
    head: &WorkHead,
    body: &mut WorkBody,
    ticket: &Ticket,
    ticket_text: &str,
) -> Result<Response<Body>, Option<Failure>> {
    let view = shared.view.load_full();
    let Some(home) = view
        .host(&ticket.host)
        .filter(|home| home.name != view.me.name)
    else {
        return Err(None);
    };
    let mut head = head.clone();
    let name = crate::request::TICKET_HEADER;
    head.headers.insert(name, value(ticket_text));
    match relay_home(shared, &head, body, home).await {
        Ok(answer) => Ok(answer),
        // What the store holds may say more.
        Err(Miss::Unreachable | Miss::Silent) => Err(None),
        // Another start answers at this address: the ticket's host is gone.
        Err(Miss::NotRun(ErrorKind::TicketInvalid)) => Err(None),
        Err(Miss::Refused(kind)) => Err(Some(Failure::before_ticket(kind))),
        Err(Miss::NotRun(kind)) => Err(Some(kind.into())),
        Err(Miss::MayHaveRun(kind)) => Err(Some(kind.into())),
    }
}

fn lapse_of(shared: &Shared, ticket: &Ticket) -> Instant {
    shared.started + Duration::from_millis(ticket.lapse_ms)
}

/// A lapsed ticket runs nothing any more; what became of its work is still told.
async fn after_lapse(
    shared: &Shared,
    ticket: &Ticket,
    fingerprint: &str,
) -> Result<Response<Body>, Failure> {
    let (recalled, remembered) = {
        let spent = shared.spent();
        // Read under the lock: whoever forgot the ticket before did so at an earlier time.
        let now = clock::now();
        let remembered = now < lapse_of(shared, ticket) + shared.config.ticket_ttl;
        (spent.status(&ticket.id, fingerprint), remembered)
    };
    if let Some(spent) = recalled {
        return tell(spent, ticket.mode);
    }
    if remembered && ticket.mode == TicketMode::Home {
        return Err(ErrorKind::TicketLapsed.into());
    }
    match shared.claims.find(ticket.id.clone()).await {
        Ok(Some(row)) => tell(decide_existing_claim(&row, fingerprint, false), ticket.mode),
        Ok(None) | Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

/// What a caller is told of work that does not run now.
fn tell(spent: TicketDecision, mode: TicketMode) -> Result<Response<Body>, Failure> {
    match spent {
        TicketDecision::Replay(ending) => replay(ending),
        TicketDecision::Conflict => Err(ErrorKind::TicketConflict.into()),
        TicketDecision::Run | TicketDecision::InProgress => Err(ErrorKind::InProgress.into()),
        TicketDecision::Full if mode == TicketMode::Home => Err(ErrorKind::HostBusy.into()),
        // Another host may have run it.
        TicketDecision::Full => Err(Failure::before_ticket(ErrorKind::HostBusy)),
    }
}

/// The ticket's host does not answer: what it left in the store decides.
async fn after_home(
    shared: &Arc<Shared>,
    head: WorkHead,
    body: WorkBody,
    ticket: &Ticket,
    fingerprint: Fingerprint,
) -> Result<Response<Body>, Failure> {
    if ticket.mode == TicketMode::Store {
        let once = Once::in_store(ticket.id.clone(), fingerprint, Vec::new());
        return run_once(shared, head, body, once).await;
    }
    // In mode `home` nobody else ever runs it; without a receipt it may have run.
    match shared.claims.find(ticket.id.clone()).await {
        Ok(Some(row)) => tell(decide_existing_claim(&row, &fingerprint, true), ticket.mode),
        Ok(None) | Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

async fn run_keyed(
    shared: &Arc<Shared>,
    head: WorkHead,
    body: WorkBody,
    fingerprint: Fingerprint,
) -> Result<Response<Body>, Failure> {
    let key = head
        .headers
        .get(KEY_HEADER)
        .ok_or(ErrorKind::TicketRequired)?;
    if key.is_empty() || key.len() > KEY_LIMIT_BYTES {
        return Err(ErrorKind::Malformed.into());
    }
    let mut digest = Sha256::new();
    digest.update(head.service.as_bytes());
    digest.update([0]);
    digest.update(key.as_bytes());
    let id = format!("key-{:x}", digest.finalize());
    run_once(
        shared,
        head,
        body,
        Once::in_store(id, fingerprint, Vec::new()),
    )
    .await
}

/// Work that its service names by header fields, whoever sends it and how often.
async fn run_named(
    shared: &Arc<Shared>,
    head: WorkHead,
    body: WorkBody,
    NamedWork {
        operation,
        identity,
    }: NamedWork,
) -> Result<Response<Body>, Failure> {
    let value = |name: &str| only_value(&head.headers, name);
    let id = identity
        .claim_id(&head.service, &operation, &value)
        .ok_or(ErrorKind::IdentityRequired)?;
    let fingerprint = match identity.arguments(&value) {
        Some(arguments) => fingerprint(head.method.as_str(), &head.path, arguments.as_bytes()),
        None => fingerprint_of(&head, &body)?,
    };
    let once = Once::in_store(id, fingerprint, identity.rejected_statuses);
    run_once(shared, head, body, once).await
}

/// A header field's value, where it is there once and not empty.
fn only_value(headers: &HeaderMap, name: &str) -> Option<Vec<u8>> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|value| !value.is_empty())?;
    match values.next() {
        None => Some(value.as_bytes().to_vec()),
        Some(_) => None,
    }
}

async fn run_once(
    shared: &Arc<Shared>,
    head: WorkHead,
    body: WorkBody,
    once: Once,
) -> Result<Response<Body>, Failure> {
    let spend = shared
        .spent()
        .begin(clock::now(), &once.id, &once.fingerprint, once.forget_at);
    if spend != TicketDecision::Run {
        return tell(spend, once.mode);
    }
    let shared = Arc::clone(shared);
    // A task of its own: it runs to its end even where the caller leaves.
    let task = tokio::spawn(async move { claim_and_run(&shared, head, body, once).await });
    match task.await {
        Ok(answer) => answer,
        Err(_) => Err(ErrorKind::OutcomeUnknown.into()),
    }
}

async fn claim_and_run(
    shared: &Arc<Shared>,
    head: WorkHead,
    mut body: WorkBody,
    once: Once,
) -> Result<Response<Body>, Failure> {
    let begun = clock::now();
    if once.mode == TicketMode::Store
        && let Err(answer) = claim(shared, &once).await
    {
        return match answer {
            Ok(ending) => {
                shared.spent().complete(&once.id, ending.clone());
                replay(ending)
            }
            Err(kind) => {
                shared.spent().release(&once.id);
                Err(kind.into())
            }
        };
    }
    // A host that was paused meanwhile must not act on what it held before.
    let paused = clock::elapsed(begun) > CLAIM_DISPATCH_WINDOW || clock::now() >= once.lapse;
    let answer = match paused {
        true => Err(ErrorKind::DeadlineBeforeDispatch.into()),
        false => steer(shared, &head, &mut body).await,
    };
    match answer {
        Ok(answer) => keep(shared, &once, answer).await,
        Err(failure) => {
            let ending = match failure.not_run {
                NotRun::True => None,
                NotRun::False | NotRun::Unknown => Some(WorkOutcome::Unknown),
            };
            end(shared, &once, ending);
            Err(failure)
        }
    }
}

/// Writes the claim; `Err` holds how it ended before, or why it can't run now.
async fn claim(shared: &Shared, once: &Once) -> Result<(), Result<WorkOutcome, ErrorKind>> {
    let outcome = shared
        .claims
        .claim(once.id.clone(), once.attempt, once.fingerprint.clone())
        .await;
    let row = match outcome {
        ClaimOutcome::Held => return Ok(()),
        ClaimOutcome::Taken(row) => row,
        ClaimOutcome::Failed(reason) => {
            tracing::info!(event = "claim_failed", claim = once.id, reason);
            // If it was written after all, it is taken away; nobody ran it.
            forget_claim(shared, once, once.attempt);
            return Err(Err(ErrorKind::StoreUnavailable));
        }
    };
    let view = shared.view.load();
    let mine = row.host == view.me.name && row.incarnation == view.incarnation;
    if mine && row.ending.is_none() && row.fingerprint == once.fingerprint {
        // Left by an earlier try of this start, which did not run. It is on its way
        // out; until then a claim of this try can't be told from no claim at all.
        forget_claim(shared, once, row.attempt);
        return Err(Err(ErrorKind::InProgress));
    }
    let same_host = row.host == view.me.name;
    let gone = same_host || view.host(&row.host).is_none();
    match decide_existing_claim(&row, &once.fingerprint, gone) {
        TicketDecision::Replay(ending) => Err(Ok(ending)),
        TicketDecision::Conflict => Err(Err(ErrorKind::TicketConflict)),
        _ => Err(Err(ErrorKind::InProgress)),
    }
}

/// Takes the claim of a try that did not run away, where it was written.
fn forget_claim(shared: &Shared, once: &Once, attempt: AttemptId) {
    let (id, fingerprint) = (once.id.clone(), once.fingerprint.clone());
    shared.claims.finish(id, attempt, fingerprint, None);
}

/// Keeps an answer so that it can be fetched again, and passes it on.
async fn keep(
    shared: &Shared,
    once: &Once,
    answer: Response<Body>,
) -> Result<Response<Body>, Failure> {
    if once.rejected_statuses.contains(&answer.status().as_u16()) {
        // The service's word that nothing was done: it may be sent again, corrected.
        end(shared, once, None);
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
    match hold(body, shared.config.limits.kept_answer_bytes).await {
        Ok(Held::Whole(bytes)) => {
            receipt.body = Some(bytes.clone());
            end(shared, once, Some(WorkOutcome::Ran(receipt)));
            Ok(Response::from_parts(parts, full(bytes)))
        }
        Ok(Held::Streaming(body)) => {
            end(shared, once, Some(WorkOutcome::Ran(receipt)));
            Ok(Response::from_parts(parts, body))
        }
        Err(_) => {
            // It ran, and what it answered is lost.
            end(shared, once, Some(WorkOutcome::Ran(receipt)));
            Err(ErrorKind::AnswerNotKept.into())
        }
    }
}

fn end(shared: &Shared, once: &Once, ending: Option<WorkOutcome>) {
    match &ending {
        Some(ending) => shared.spent().complete(&once.id, ending.clone()),
        None => shared.spent().release(&once.id),
    }
    let written_before = once.mode == TicketMode::Store;
    if ending.is_some() || written_before {
        let id = once.id.clone();
        shared
            .claims
            .finish(id, once.attempt, once.fingerprint.clone(), ending);
    }
}

fn replay(ending: WorkOutcome) -> Result<Response<Body>, Failure> {
    let WorkOutcome::Ran(receipt) = ending else {
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

/// Work that may not be repeated must be held whole, to be told apart from other work.
fn fingerprint_of(head: &WorkHead, body: &WorkBody) -> Result<Fingerprint, Failure> {
    match body {
        WorkBody::Whole(bytes) => Ok(fingerprint(head.method.as_str(), &head.path, bytes)),
        WorkBody::Streaming(_) => Err(ErrorKind::TooLarge.into()),
    }
}
