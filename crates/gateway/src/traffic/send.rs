//! Sends a request to an upstream once.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use steering::ids::{HostName, RuleName};
use steering::route::{
    AnswerEvidence, AnswerOutcome, AnswerQuality, Choice, DirectResult, SendOutcome, Sender,
    StatusMeaning, Upstream, UpstreamId, WorkIdentity, ZoneChange,
};
use steering::statement::Obstacle;
use upstream::{
    Body, ConnectionId, GuardedBody, Lease, RequestBody, Reuse, SendError, TrackedBody, end_to_end,
};

use super::Traffic;
use super::answers::status_meaning;
use super::head::Head;
use super::paths::{ConnectFailure, Wanted, connect, direct_sent};
use super::statements::{AnswerHead, apply_statement};
use crate::wire_format::HeaderNames;

/// Time without an answer after which a request counts against the host that relays it.
const RELAY_SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// The connection that a request was sent on.
#[derive(Debug, Default)]
enum Connection {
    /// Nothing was sent.
    #[default]
    None,
    /// This host's own.
    Direct {
        /// Whether the request is the first one on it.
        is_new: bool,
        /// Longest expected work on the request.
        work: Duration,
    },
    /// Through a host.
    Relayed(HostName),
}

/// A request in flight at an upstream. Its drop records the end of the request.
struct InFlight {
    upstream: Arc<Upstream>,
    started_at: Instant,
    is_recorded: Cell<bool>,
    work: WorkIdentity,
    /// Whether any part of the request may have left this host.
    is_sent: Cell<bool>,
    connection: RefCell<Connection>,
    traffic: Arc<Traffic>,
}

impl InFlight {
    fn begin(traffic: &Arc<Traffic>, choice: &Choice, work: WorkIdentity) -> Self {
        let started_at = clock::now();
        let mut state = choice.upstream.state();
        state.request_sent(started_at);
        state.note_expected_work(choice.expectation.work.if_fetched);
        drop(state);
        InFlight {
            upstream: Arc::clone(&choice.upstream),
            started_at,
            is_recorded: Cell::new(false),
            work,
            is_sent: Cell::new(false),
            connection: RefCell::default(),
            traffic: Arc::clone(traffic),
        }
    }

    /// Records the connection that the request is about to be sent on.
    fn sent_on(&self, lease: &Lease, choice: &Choice) {
        let work = choice.expectation.work.if_fetched;
        self.is_sent.set(true);
        self.connection.replace(match lease.relay() {
            Some(relay) => Connection::Relayed(relay.host.clone()),
            None => {
                direct_sent(&self.traffic, choice, work);
                Connection::Direct {
                    is_new: lease.is_new(),
                    work,
                }
            }
        });
    }

    /// Records what the request shows of the path to the upstream.
    fn record_path(&self, now: Instant, outcome: AnswerOutcome) {
        let paths = &self.traffic.paths;
        match &*self.connection.borrow() {
            Connection::None => {}
            Connection::Direct { is_new, work } => {
                let result = DirectResult {
                    sent_at: self.started_at,
                    is_first: *is_new,
                    work: *work,
                    outcome,
                };
                paths.direct_ended(&self.upstream, result);
            }
            Connection::Relayed(host) => {
                let waited = now.saturating_duration_since(self.started_at);
                let is_silent = outcome == AnswerOutcome::Unknown && waited > RELAY_SILENT_AFTER;
                if is_silent || outcome == AnswerOutcome::Broken {
                    paths.relay_silent(host);
                }
            }
        }
    }

    /// Whether the request was sent on a path to the zone that is not used any more, so that its
    /// failure says nothing about the upstream.
    fn is_of_former_path(&self) -> bool {
        let is_relayed = self.traffic.paths.is_relayed(&self.upstream);
        match &*self.connection.borrow() {
            Connection::None => false,
            Connection::Direct { .. } => is_relayed,
            Connection::Relayed(_) => !is_relayed,
        }
    }

    fn record(&self, answered: AnswerOutcome) {
        let now = clock::now();
        let id = &self.upstream.report.id;
        if !answered.proves_alive() && self.is_of_former_path() {
            self.record_path(now, answered);
            self.is_recorded.set(true);
            return;
        }
        let mut state = self.upstream.state();
        state.answered(now, answered);
        if answered.proves_alive() && state.statements.answered(self.started_at) {
            tracing::info!(event = "upstream_rest_over", upstream = id);
        }
        drop(state);
        let change = self.upstream.zone().answered(now, id, answered);
        if let Some(change) = change {
            log_zone_change(&self.upstream, change);
        }
        self.record_path(now, answered);
        self.is_recorded.set(true);
    }
}

fn log_zone_change(upstream: &Upstream, change: ZoneChange) {
    let zone = &upstream.report.zone;
    match change {
        ZoneChange::Suspected {
            failing,
            expires_in,
        } => {
            let expires_in_ms = expires_in.as_millis() as u64;
            tracing::warn!(event = "zone_suspected", zone, failing, expires_in_ms);
        }
        ZoneChange::Answers => tracing::info!(event = "zone_answers", zone),
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let is_abandoned = !self.is_recorded.get() && self.is_sent.get();
        if !self.is_recorded.get() {
            self.record(AnswerOutcome::Unknown);
        }
        let now = clock::now();
        let mut state = self.upstream.state();
        if is_abandoned {
            state.abandoned.note(now, self.work, self.started_at);
        }
        state.statements.unanswered(self.started_at);
        state.request_ended(now);
    }
}

/// A send that did not yield an answer to pass on.
#[derive(Debug)]
pub(super) struct SendFailure {
    /// How far the request got.
    pub sent: SendOutcome,
    /// Reason for the log.
    pub reason: String,
    /// Whether nothing was sent because the upstream has declared a rate limit since it was
    /// selected. The request may be sent there with a token.
    pub lacks_token: bool,
    /// Whether the connection was closed or broken before an answer arrived.
    pub was_closed: bool,
    /// Time after which the request may be tried again, if no host had room to relay it.
    pub no_relay: Option<Duration>,
    /// What the answer shows about the run of the request; none if there was no answer.
    pub evidence: Option<AnswerEvidence>,
}

impl SendFailure {
    fn new(sent: SendOutcome, reason: impl ToString) -> Self {
        SendFailure {
            sent,
            reason: reason.to_string(),
            lacks_token: false,
            was_closed: false,
            no_relay: None,
            evidence: None,
        }
    }

    fn with_evidence(self, evidence: AnswerEvidence) -> Self {
        SendFailure {
            evidence: Some(evidence),
            ..self
        }
    }
}

/// The request to send.
pub(super) struct OutgoingRequest<'a> {
    pub head: &'a Head,
    pub parts: &'a Parts,
    pub body: &'a mut RequestBody,
    /// Connections on which the request was sent.
    pub connections: &'a mut Vec<ConnectionId>,
    pub repeatable: bool,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Time until which the request waits for room at the hosts that relay.
    pub wait_until: Instant,
    /// Name of the route.
    pub route: &'a RuleName,
    /// Latency goal of the route.
    pub goal: Duration,
    /// Who sent the request.
    pub sender: &'a Sender,
    /// Whether a host of a region may pass on the request's bytes.
    pub may_pass: &'a dyn Fn(&str) -> bool,
    /// Identity of the request and its object for crash detection.
    pub work: WorkIdentity,
    /// Crashes attributed to the request when it was admitted.
    pub crashes_known: u32,
}

/// Sends a request once and returns the answer if it can be passed on. `sent` is set as soon as any
/// part of the request may have left this host.
pub(super) async fn send(
    traffic: &Arc<Traffic>,
    choice: &Choice,
    outgoing: &mut OutgoingRequest<'_>,
    sent: &mut SendOutcome,
) -> Result<Response<Body>, SendFailure> {
    let reuse = match outgoing.repeatable {
        true => Reuse::Any,
        false => Reuse::Recent,
    };
    let upstream = &choice.upstream;
    let in_flight = InFlight::begin(traffic, choice, outgoing.work);
    let wanted = Wanted {
        choice,
        reuse,
        may_pass: outgoing.may_pass,
        deadline: outgoing.deadline,
        wait_until: outgoing.wait_until,
    };
    let lease = match connect(traffic, &wanted).await {
        Ok(lease) => lease,
        Err(failure) => {
            count_send("not_sent");
            let mut no_relay = None;
            match failure {
                ConnectFailure::Unreachable(_) => in_flight.record(AnswerOutcome::Unreachable),
                ConnectFailure::Local(_) => in_flight.record(AnswerOutcome::Unknown),
                ConnectFailure::NoRelay { retry_after } => {
                    in_flight.record(AnswerOutcome::Unknown);
                    no_relay = Some(retry_after);
                }
            }
            return Err(SendFailure {
                no_relay,
                ..SendFailure::new(SendOutcome::Not, failure)
            });
        }
    };
    if let Some(obstacle) = choice.new_obstacle(clock::now()) {
        count_send("not_sent");
        lease.give_back();
        return Err(SendFailure {
            lacks_token: matches!(obstacle, Obstacle::LimitExhausted(_)),
            ..SendFailure::new(SendOutcome::Not, obstacle)
        });
    }
    let suspects = &traffic.common.suspects;
    let blocked_for = suspects.blocked_for(outgoing.work, outgoing.crashes_known);
    if blocked_for.is_some() {
        count_send("not_sent");
        lease.give_back();
        return Err(SendFailure::new(
            SendOutcome::Not,
            "refused because of crashes since it was admitted",
        ));
    }
    let Some(request) = build_request(traffic, upstream, outgoing) else {
        return Err(SendFailure::new(
            SendOutcome::Perhaps,
            "the body can't be sent again",
        ));
    };
    *sent = SendOutcome::Perhaps;
    let is_repeated = outgoing.connections.contains(&lease.id());
    outgoing.connections.push(lease.id());
    in_flight.sent_on(&lease, choice);
    let is_direct = lease.relay().is_none();
    let sending = lease.send(request, outgoing.deadline);
    // Only work that may run again can be sent on another path.
    let result = match is_direct && outgoing.repeatable {
        true => tokio::select! {
            result = sending => result,
            () = traffic.paths.until_lost(upstream, in_flight.started_at) => {
                count_send("lost");
                in_flight.record(AnswerOutcome::Broken);
                let reason = "this host is cut off from the upstream";
                return Err(SendFailure::new(SendOutcome::Perhaps, reason));
            }
        },
        false => sending.await,
    };
    let is_lost = matches!(result, Err(SendError::Lost { .. } | SendError::Timeout));
    // A loss on this host's own cut links says nothing about the upstream's version.
    if is_lost && !(is_direct && traffic.paths.is_relayed(upstream)) {
        traffic
            .common
            .rollouts
            .answered(outgoing.route, upstream, AnswerQuality::Failed);
    }
    match result {
        Ok(answer) => {
            count_send("answered");
            accept_answer(traffic, choice, answer, outgoing, in_flight, is_repeated)
        }
        Err(SendError::NotSent { reason, request }) => {
            count_send("not_sent");
            in_flight.record(AnswerOutcome::Unreachable);
            if let Some(request) = request {
                outgoing.body.put_back(request.into_body());
            }
            Err(SendFailure::new(SendOutcome::Not, reason))
        }
        Err(SendError::Lost { reason }) => {
            count_send("lost");
            in_flight.record(AnswerOutcome::Broken);
            Err(SendFailure {
                was_closed: true,
                ..SendFailure::new(SendOutcome::Perhaps, reason)
            })
        }
        Err(SendError::Timeout) => {
            count_send("late");
            choice.note_timeout(clock::now(), clock::elapsed(in_flight.started_at));
            Err(SendFailure::new(SendOutcome::Perhaps, "late"))
        }
    }
}

fn count_send(outcome: &'static str) {
    metrics::counter!("stagedeck_sends_total", "outcome" => outcome).increment(1);
}

/// Counts an answer that is passed on although its status is a promise.
fn count_evidence(evidence: &AnswerEvidence) {
    if evidence.status == StatusMeaning::Promise {
        let signed = evidence.is_signed.to_string();
        metrics::counter!("stagedeck_unmarked_refusals_total", "signed" => signed).increment(1);
    }
}

/// What the head of an answer shows about the run of the request that was sent to `expected`.
fn evidence(
    names: &HeaderNames,
    answer: &Response<TrackedBody>,
    expected: &UpstreamId,
) -> AnswerEvidence {
    let headers = answer.headers();
    let names_another = headers
        .get(&names.answering_upstream)
        .is_some_and(|id| id.as_bytes() != expected.as_bytes());
    let is_misdirected = answer.status() == StatusCode::MISDIRECTED_REQUEST;
    AnswerEvidence {
        status: status_meaning(answer.status()),
        is_marked: headers.contains_key(&names.not_run),
        is_signed: headers.contains_key(&names.signature),
        is_misdirected: is_misdirected && names_another,
        is_repeated: false,
    }
}

fn build_request(
    traffic: &Traffic,
    upstream: &Upstream,
    outgoing: &mut OutgoingRequest<'_>,
) -> Option<Request<Body>> {
    let names = traffic.wire_format.headers();
    let path = outgoing.parts.uri.path_and_query();
    let mut request = Request::new(outgoing.body.take()?);
    *request.method_mut() = outgoing.parts.method.clone();
    *request.uri_mut() = path.map_or("/", |path| path.as_str()).parse().ok()?;
    let headers = request.headers_mut();
    *headers = end_to_end(&outgoing.parts.headers);
    set_customer(headers, &names.customer, outgoing.sender)?;
    let left = outgoing.deadline.saturating_duration_since(clock::now());
    headers.insert(&names.deadline_ms, (left.as_millis() as u64).into());
    let id = HeaderValue::from_str(&upstream.report.id).ok()?;
    headers.insert(&names.expected_upstream, id);
    Some(request)
}

/// Names the customer to the upstream and removes its key. Removes a customer header that the
/// caller itself has set.
fn set_customer(headers: &mut HeaderMap, name: &HeaderName, sender: &Sender) -> Option<()> {
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

/// Returns an answer to pass on, if it belongs to this request and comes from the upstream itself.
fn accept_answer(
    traffic: &Arc<Traffic>,
    choice: &Choice,
    answer: Response<TrackedBody>,
    outgoing: &OutgoingRequest<'_>,
    in_flight: InFlight,
    is_repeated: bool,
) -> Result<Response<Body>, SendFailure> {
    let names = traffic.wire_format.headers();
    let headers = answer.headers();
    let evidence = AnswerEvidence {
        is_repeated,
        ..evidence(names, &answer, &choice.upstream.report.id)
    };
    let is_own = headers
        .get(&names.request_id)
        .is_some_and(|id| id.as_bytes() == outgoing.head.id.as_bytes());
    if !is_own && !outgoing.head.id.is_empty() {
        in_flight.record(AnswerOutcome::Broken);
        return Err(SendFailure::new(
            SendOutcome::Perhaps,
            "an answer to another request",
        ));
    }
    let status = answer.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.record(AnswerOutcome::Refused);
        in_flight.upstream.state().replaced();
        let reason = "another upstream process has the address";
        return Err(SendFailure::new(SendOutcome::Refused, reason).with_evidence(evidence));
    }
    let statement = traffic.wire_format.parse_statement(status, headers);
    let lacks_proof = status.is_success() && !headers.contains_key(&names.signature);
    let is_own = !status.is_informational() && !lacks_proof;
    let answer_head = AnswerHead {
        sent_at: in_flight.started_at,
        statement,
        is_own,
    };
    apply_statement(&in_flight.upstream, &answer_head);
    let unknown = traffic.wire_format.unknown_statements(headers);
    traffic
        .unknown_statements
        .note(&in_flight.upstream.report.id, &unknown);
    let load = headers.get(&names.load).and_then(|load| load.to_str().ok());
    // An upstream that asks to rest is idle and accepts nothing, so its load is meaningless.
    let load = load.filter(|_| statement.rest.is_none());
    if let Some(load) = load.and_then(|load| traffic.wire_format.parse_load(load)) {
        let reporter = &in_flight.upstream;
        reporter.load_reported(clock::now(), load.running, load.waiting);
    }
    if headers.contains_key(&names.not_run) {
        in_flight.record(AnswerOutcome::Refused);
        return Err(SendFailure::new(SendOutcome::Refused, status).with_evidence(evidence));
    }
    if !is_own {
        in_flight.record(AnswerOutcome::Broken);
        return Err(SendFailure::new(
            SendOutcome::Perhaps,
            "not an upstream's own answer",
        ));
    }
    count_evidence(&evidence);
    in_flight.record(AnswerOutcome::Complete);
    let mut quality = AnswerQuality::Good;
    if status.is_success() {
        let now = clock::now();
        let took = now - in_flight.started_at;
        let ratio = traffic
            .stats()
            .record_answer(now, outgoing.route, outgoing.goal, choice, took);
        quality = ratio.map_or(quality, AnswerQuality::of_time);
    } else if status.is_server_error() {
        quality = AnswerQuality::Failed;
    }
    traffic
        .common
        .rollouts
        .answered(outgoing.route, &choice.upstream, quality);
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    let body = GuardedBody::new(body, in_flight).boxed_unsync();
    Ok(Response::from_parts(parts, body))
}
