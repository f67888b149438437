//! Sends a request to an upstream once.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use steering::route::{AnswerEvidence, AnswerOutcome, Choice, SendOutcome, Sender, Upstream};
use steering::statement::Obstacle;
use upstream::{Body, ConnectionId, RequestBody, Reuse, end_to_end};

use super::Traffic;
use super::answers::UpstreamAnswer;
use super::in_flight::InFlight;
use super::paths::{ConnectFailure, Wanted, connect};
use super::unanswered_send::{AnswerTerms, UnansweredSend};

/// A send that did not yield an answer to pass on.
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
    /// Body of a request of which nothing was sent.
    pub unsent_body: Option<Body>,
    /// The send itself, if its answer may still arrive.
    pub unanswered: Option<Box<UnansweredSend>>,
}

impl SendFailure {
    pub fn new(sent: SendOutcome, reason: impl ToString) -> Self {
        SendFailure {
            sent,
            reason: reason.to_string(),
            lacks_token: false,
            was_closed: false,
            no_relay: None,
            evidence: None,
            unsent_body: None,
            unanswered: None,
        }
    }

    pub fn with_evidence(self, evidence: AnswerEvidence) -> Self {
        SendFailure {
            evidence: Some(evidence),
            ..self
        }
    }
}

/// The request to send.
pub(super) struct OutgoingRequest<'a> {
    pub terms: AnswerTerms<'a>,
    pub parts: &'a Parts,
    pub body: &'a mut RequestBody,
    /// Connections on which the request was sent.
    pub connections: &'a mut Vec<ConnectionId>,
    pub repeatable: bool,
    /// Time until which the request waits for room at the hosts that relay.
    pub wait_until: Instant,
    /// Who sent the request.
    pub sender: &'a Sender,
    /// Whether a host of a region may pass on the request's bytes.
    pub may_pass: &'a dyn Fn(&str) -> bool,
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
) -> Result<UpstreamAnswer, SendFailure> {
    let reuse = match outgoing.repeatable {
        true => Reuse::Any,
        false => Reuse::Recent,
    };
    let upstream = &choice.upstream;
    let in_flight = InFlight::begin(traffic, choice, outgoing.terms.route, outgoing.terms.work);
    let wanted = Wanted {
        choice,
        reuse,
        used: outgoing.connections.as_slice(),
        may_pass: outgoing.may_pass,
        deadline: outgoing.terms.deadline,
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
    let blocked_for = suspects.blocked_for(outgoing.terms.work, outgoing.crashes_known);
    if blocked_for.is_some() {
        count_send("not_sent");
        lease.give_back();
        return Err(SendFailure::new(
            SendOutcome::Not,
            "refused because of crashes since it was admitted",
        ));
    }
    let Some(request) = build_request(traffic, upstream, outgoing) else {
        count_send("not_sent");
        lease.give_back();
        return Err(SendFailure::new(
            SendOutcome::Not,
            "the request can't be built",
        ));
    };
    *sent = SendOutcome::Perhaps;
    // Without an identity, an answer can't be told from one to an earlier request.
    let lacks_id = outgoing.terms.head.id.is_empty();
    let is_ambiguous = outgoing.connections.contains(&lease.id()) || (lacks_id && !lease.is_new());
    outgoing.connections.push(lease.id());
    in_flight.sent_on(&lease, choice);
    let is_direct = lease.relay().is_none();
    let sending = lease.send(request, outgoing.terms.deadline);
    let mut unanswered = UnansweredSend {
        answer: Box::pin(sending),
        choice: choice.clone(),
        in_flight,
        is_direct,
        is_ambiguous,
    };
    let sent_at = unanswered.in_flight.started_at;
    // Only work that may run again can be sent on another path. The send goes on beside that.
    let may_be_lost = is_direct && outgoing.repeatable;
    let answer = tokio::select! {
        biased;
        answer = &mut unanswered.answer => answer,
        () = traffic.paths.until_lost(upstream, sent_at), if may_be_lost => {
            count_send("doubtful");
            let reason = "this host may be cut off from the upstream";
            return Err(SendFailure {
                unanswered: Some(Box::new(unanswered)),
                ..SendFailure::new(SendOutcome::Perhaps, reason)
            });
        }
    };
    let concluded = unanswered.conclude(traffic, &outgoing.terms, answer);
    concluded.map_err(|mut failure| {
        if let Some(body) = failure.unsent_body.take() {
            outgoing.body.put_back(body);
        }
        failure
    })
}

pub(super) fn count_send(outcome: &'static str) {
    metrics::counter!("stagedeck_sends_total", "outcome" => outcome).increment(1);
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
    let left = outgoing
        .terms
        .deadline
        .saturating_duration_since(clock::now());
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
