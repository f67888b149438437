//! Decides whether an upstream's answer is passed on.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use steering::route::{
    AnswerEvidence, AnswerOutcome, AnswerQuality, Choice, SendOutcome, StatusMeaning, UpstreamId,
};
use upstream::{Body, GuardedBody, TrackedBody, end_to_end};

use super::Traffic;
use super::answers::status_meaning;
use super::in_flight::InFlight;
use super::send::{OutgoingRequest, SendFailure};
use super::statements::{AnswerHead, apply_statement};
use crate::wire_format::HeaderNames;

/// Returns an answer to pass on, if it belongs to this request and comes from the upstream itself.
pub(super) fn accept_answer(
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
