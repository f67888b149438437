//! One send of a request to one upstream.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use steering::route::{AnswerOutcome, Choice, SendOutcome, Sender, Upstream, WorkIdentity};
use steering::statement::Obstacle;
use upstream::{Body, Holding, Reuse, SendError, TrackedBody, WorkBody, end_to_end};

use super::Traffic;
use super::head::Head;
use super::hear::{Said, hear};

/// Connections to an upstream where its service names no bound.
const CONNECTIONS_DEFAULT: u32 = 256;

/// A request in flight at an upstream; ends when dropped.
struct Flight {
    upstream: Arc<Upstream>,
    begun: Instant,
    judged: Cell<bool>,
    work: WorkIdentity,
    /// Whether anything of it may have left this host.
    is_sent: Cell<bool>,
}

impl Flight {
    fn begin(choice: &Choice, work: WorkIdentity) -> Self {
        let begun = clock::now();
        let mut condition = choice.upstream.state();
        condition.request_sent(begun);
        condition.note_expected_work(choice.expectation.work.if_fetched);
        drop(condition);
        Flight {
            upstream: Arc::clone(&choice.upstream),
            begun,
            judged: Cell::new(false),
            work,
            is_sent: Cell::new(false),
        }
    }

    fn judge(&self, answered: AnswerOutcome) {
        let now = clock::now();
        let id = &self.upstream.report.id;
        let mut condition = self.upstream.state();
        condition.answered(now, answered);
        if answered.shows_life() && condition.statements.answered(self.begun) {
            tracing::info!(event = "upstream_rest_over", upstream = id);
        }
        drop(condition);
        self.upstream.zone().answered(now, id, answered);
        self.judged.set(true);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let is_abandoned = !self.judged.get() && self.is_sent.get();
        if !self.judged.get() {
            self.judge(AnswerOutcome::Unknown);
        }
        let now = clock::now();
        let mut condition = self.upstream.state();
        if is_abandoned {
            condition.abandoned.note(now, self.work, self.begun);
        }
        condition.statements.unanswered(self.begun);
        condition.request_ended(now);
    }
}

/// A send that brought no answer to pass on.
#[derive(Debug)]
pub(super) struct Missed {
    /// How far it got.
    pub sent: SendOutcome,
    /// Why, for the log.
    pub reason: String,
    /// Whether it was sent nowhere because its upstream has named a limit since it was chosen:
    /// it may go there with a token.
    pub lacks_token: bool,
    /// Whether its connection was closed, or broken, before an answer came.
    pub was_closed: bool,
}

impl Missed {
    fn new(sent: SendOutcome, reason: impl ToString) -> Self {
        Missed {
            sent,
            reason: reason.to_string(),
            lacks_token: false,
            was_closed: false,
        }
    }
}

/// What is sent.
pub(super) struct Sending<'a> {
    pub head: &'a Head,
    pub parts: &'a Parts,
    pub body: &'a mut WorkBody,
    pub repeatable: bool,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// Name of its route.
    pub route: &'a str,
    /// Who sends it.
    pub sender: &'a Sender,
    /// What it is known by where it comes again.
    pub work: WorkIdentity,
    /// Ends known against it when it was let in.
    pub ends_known: u32,
}

/// Sends a request once, and passes the answer on if it is one. `sent` is told as soon
/// as anything of the request may have left this host.
pub(super) async fn send(
    traffic: &Arc<Traffic>,
    choice: &Choice,
    sending: &mut Sending<'_>,
    sent: &mut SendOutcome,
) -> Result<Response<Body>, Missed> {
    let reuse = match sending.repeatable {
        true => Reuse::Any,
        false => Reuse::Recent,
    };
    let upstream = &choice.upstream;
    let flight = Flight::begin(choice, sending.work);
    let connections = choice.connections.unwrap_or(CONNECTIONS_DEFAULT);
    let address = upstream.report.address;
    let connected = traffic
        .connections
        .connect(address, connections, reuse, sending.deadline);
    let lease = match connected.await {
        Ok(lease) => lease,
        Err(reason) => {
            count_send("not_sent");
            flight.judge(AnswerOutcome::Unreachable);
            return Err(Missed::new(SendOutcome::Not, reason));
        }
    };
    if let Some(obstacle) = choice.new_obstacle(clock::now()) {
        count_send("not_sent");
        lease.give_back();
        return Err(Missed {
            lacks_token: matches!(obstacle, Obstacle::Limits(_)),
            ..Missed::new(SendOutcome::Not, obstacle)
        });
    }
    let suspects = &traffic.common.suspects;
    let barred_for = suspects.barred_for(sending.work, sending.ends_known);
    if barred_for.is_some() {
        count_send("not_sent");
        lease.give_back();
        return Err(Missed::new(SendOutcome::Not, "its work is refused since"));
    }
    let Some(request) = request(traffic, upstream, sending) else {
        return Err(Missed::new(
            SendOutcome::Perhaps,
            "the body can't be sent again",
        ));
    };
    *sent = SendOutcome::Perhaps;
    flight.is_sent.set(true);
    match lease.send(request, sending.deadline).await {
        Ok(answer) => {
            count_send("answered");
            take(traffic, choice, answer, sending, flight)
        }
        Err(SendError::NotSent { reason, request }) => {
            count_send("not_sent");
            flight.judge(AnswerOutcome::Unreachable);
            if let Some(request) = request {
                sending.body.put_back(request.into_body());
            }
            Err(Missed::new(SendOutcome::Not, reason))
        }
        Err(SendError::Lost { reason }) => {
            count_send("lost");
            flight.judge(AnswerOutcome::Broken);
            Err(Missed {
                was_closed: true,
                ..Missed::new(SendOutcome::Perhaps, reason)
            })
        }
        Err(SendError::Late) => {
            count_send("late");
            choice.note_timeout(clock::now(), clock::elapsed(flight.begun));
            Err(Missed::new(SendOutcome::Perhaps, "late"))
        }
    }
}

fn count_send(outcome: &'static str) {
    metrics::counter!("stagedeck_sends_total", "outcome" => outcome).increment(1);
}

fn request(
    traffic: &Traffic,
    upstream: &Upstream,
    sending: &mut Sending<'_>,
) -> Option<Request<Body>> {
    let names = traffic.dialect.headers();
    let path = sending.parts.uri.path_and_query();
    let mut request = Request::new(sending.body.take()?);
    *request.method_mut() = sending.parts.method.clone();
    *request.uri_mut() = path.map_or("/", |path| path.as_str()).parse().ok()?;
    let headers = request.headers_mut();
    *headers = end_to_end(&sending.parts.headers);
    name_sender(headers, &names.customer, sending.sender)?;
    let left = sending.deadline.saturating_duration_since(clock::now());
    headers.insert(&names.deadline_ms, (left.as_millis() as u64).into());
    let id = HeaderValue::from_str(&upstream.report.id).ok()?;
    headers.insert(&names.expected_upstream, id);
    Some(request)
}

/// Tells the upstream who the customer is, and not by which key that is known. What the
/// caller itself said of it is not passed on.
fn name_sender(headers: &mut HeaderMap, name: &HeaderName, sender: &Sender) -> Option<()> {
    if *sender == Sender::Anyone {
        return Some(());
    }
    headers.remove(AUTHORIZATION);
    headers.remove(name);
    if let Some(customer) = sender.customer() {
        headers.insert(name, HeaderValue::from_str(&customer.name).ok()?);
    }
    Some(())
}

/// Passes an answer on, where it is this request's own and the upstream's.
fn take(
    traffic: &Arc<Traffic>,
    choice: &Choice,
    answer: Response<TrackedBody>,
    sending: &Sending<'_>,
    flight: Flight,
) -> Result<Response<Body>, Missed> {
    let names = traffic.dialect.headers();
    let headers = answer.headers();
    let is_own = headers
        .get(&names.request_id)
        .is_some_and(|id| id.as_bytes() == sending.head.id.as_bytes());
    if !is_own && !sending.head.id.is_empty() {
        flight.judge(AnswerOutcome::Broken);
        return Err(Missed::new(
            SendOutcome::Perhaps,
            "an answer to another request",
        ));
    }
    let status = answer.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        flight.judge(AnswerOutcome::Refused);
        flight.upstream.state().replaced();
        return Err(Missed::new(SendOutcome::Refused, "another has the address"));
    }
    let statement = traffic.dialect.statement(status, headers);
    let lacks_proof = status.is_success() && !headers.contains_key(&names.proof);
    let is_own = !status.is_informational() && !lacks_proof;
    let said = Said {
        sent: flight.begun,
        statement,
        is_own,
    };
    hear(&flight.upstream, &said);
    let unread = traffic.dialect.unread(headers);
    traffic.unread.note(&flight.upstream.report.id, &unread);
    let load = headers.get(&names.load).and_then(|load| load.to_str().ok());
    // One that wants rest has nothing to do and no room: its load says nothing of either.
    let load = load.filter(|_| statement.rest.is_none());
    if let Some(load) = load.and_then(|load| traffic.dialect.load(load)) {
        let reporter = &flight.upstream;
        reporter.load_reported(clock::now(), load.running, load.waiting);
    }
    if headers.contains_key(&names.not_run) {
        flight.judge(AnswerOutcome::Refused);
        return Err(Missed::new(SendOutcome::Refused, status));
    }
    if !is_own {
        flight.judge(AnswerOutcome::Broken);
        return Err(Missed::new(
            SendOutcome::Perhaps,
            "not an upstream's own answer",
        ));
    }
    flight.judge(AnswerOutcome::Complete);
    if status.is_success() {
        let now = clock::now();
        let took = now - flight.begun;
        traffic.shares().learn(now, sending.route, choice, took);
    }
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    let body = Holding::new(body, flight).boxed_unsync();
    Ok(Response::from_parts(parts, body))
}
