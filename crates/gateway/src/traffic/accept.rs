//! Decides whether an upstream's answer is passed on.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use steering::route::{
    AnswerEvidence, AnswerOutcome, AnswerQuality, AnswerVerdict, Choice, SendOutcome,
    StatusMeaning, UpstreamId,
};
use upstream::{GuardedBody, TrackedBody, end_to_end};

use super::Traffic;
use super::answers::{UpstreamAnswer, status_meaning};
use super::in_flight::InFlight;
use super::send::SendFailure;
use super::statements::{AnswerHead, apply_statement};
use super::unanswered_send::AnswerTerms;
use crate::wire_format::HeaderNames;

/// Returns an answer to pass on, if it belongs to this request and comes from the upstream itself.
pub(super) fn accept_answer(
    traffic: &Arc<Traffic>,
    choice: &Choice,
    mut answer: Response<TrackedBody>,
    terms: &AnswerTerms<'_>,
    in_flight: InFlight,
    is_ambiguous: bool,
) -> Result<UpstreamAnswer, SendFailure> {
    let names = traffic.wire_format.headers();
    let headers = answer.headers();
    let evidence = AnswerEvidence {
        is_ambiguous,
        ..evidence(names, &answer, &choice.upstream.report.id)
    };
    let is_own = headers
        .get(&names.request_id)
        .is_some_and(|id| id.as_bytes() == terms.head.id.as_bytes());
    if !is_own && !terms.head.id.is_empty() {
        in_flight.record(AnswerOutcome::Broken);
        return Err(SendFailure::new(
            SendOutcome::Perhaps,
            "an answer to another request",
        ));
    }
    answer.body_mut().accept();
    let status = answer.status();
    let verdict = match status.is_informational() {
        true => AnswerVerdict::Unproven,
        false => evidence.verdict(),
    };
    if let (true, AnswerVerdict::Refused(proof)) = (evidence.is_misdirected, verdict) {
        in_flight.record(AnswerOutcome::Refused);
        in_flight.upstream.state().replaced();
        let reason = "another upstream process has the address";
        return Err(SendFailure::new(SendOutcome::Refused(proof), reason).with_evidence(evidence));
    }
    if status != StatusCode::MISDIRECTED_REQUEST {
        let is_own = evidence.is_signed || verdict != AnswerVerdict::Unproven;
        read_statements(traffic, &answer, &in_flight, is_own);
    }
    match verdict {
        AnswerVerdict::Deliver => deliver(traffic, choice, answer, terms, in_flight),
        AnswerVerdict::Refused(proof) => {
            in_flight.record(AnswerOutcome::Refused);
            Err(SendFailure::new(SendOutcome::Refused(proof), status).with_evidence(evidence))
        }
        AnswerVerdict::Unproven => {
            record_unproven(traffic, choice, terms, &in_flight, evidence);
            let reason = format!("{status} without evidence that it is the upstream's own");
            Err(SendFailure::new(SendOutcome::Perhaps, reason).with_evidence(evidence))
        }
    }
}

/// Records an answer that may not be passed on although its request may have run.
fn record_unproven(
    traffic: &Traffic,
    choice: &Choice,
    terms: &AnswerTerms<'_>,
    in_flight: &InFlight,
    evidence: AnswerEvidence,
) {
    if evidence.status != StatusMeaning::NotRun {
        in_flight.record(AnswerOutcome::Broken);
        return;
    }
    in_flight.record(match evidence.is_signed {
        true => AnswerOutcome::Complete,
        false => AnswerOutcome::Refused,
    });
    let signed = evidence.is_signed.to_string();
    metrics::counter!("stagedeck_unproven_refusals_total", "signed" => signed).increment(1);
    let rollouts = &traffic.common.rollouts;
    rollouts.answered(terms.route, &choice.upstream, AnswerQuality::Failed);
}

/// Records what the head of an answer states about its upstream.
fn read_statements(
    traffic: &Traffic,
    answer: &Response<TrackedBody>,
    in_flight: &InFlight,
    is_own: bool,
) {
    let headers = answer.headers();
    let statement = traffic
        .wire_format
        .parse_statement(answer.status(), headers);
    let answer_head = AnswerHead {
        sent_at: in_flight.started_at,
        statement,
        is_own,
    };
    let upstream = &in_flight.upstream;
    apply_statement(upstream, &answer_head);
    let unknown = traffic.wire_format.unknown_statements(headers);
    traffic
        .unknown_statements
        .note(&upstream.report.id, &unknown);
    let load = headers.get(&traffic.wire_format.headers().load);
    let load = load.and_then(|load| load.to_str().ok());
    // An upstream that asks to rest is idle and accepts nothing, so its load is meaningless.
    let load = load.filter(|_| statement.rest.is_none());
    if let Some(load) = load.and_then(|load| traffic.wire_format.parse_load(load)) {
        upstream.load_reported(clock::now(), load.running, load.waiting);
    }
}

/// Records an answer that is passed on, and prepares it for the caller.
fn deliver(
    traffic: &Traffic,
    choice: &Choice,
    answer: Response<TrackedBody>,
    terms: &AnswerTerms<'_>,
    in_flight: InFlight,
) -> Result<UpstreamAnswer, SendFailure> {
    let status = answer.status();
    in_flight.record(AnswerOutcome::Complete);
    let mut quality = AnswerQuality::Good;
    if status.is_success() {
        in_flight.served();
        let now = clock::now();
        let took = now - in_flight.started_at;
        let ratio = traffic
            .stats()
            .record_answer(now, terms.route, terms.goal, choice, took);
        quality = ratio.map_or(quality, AnswerQuality::of_time);
    } else if status.is_server_error() {
        quality = AnswerQuality::Failed;
    }
    let rollouts = &traffic.common.rollouts;
    rollouts.answered(terms.route, &choice.upstream, quality);
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    let body = GuardedBody::new(body, in_flight).boxed_unsync();
    let answer = UpstreamAnswer::new(Response::from_parts(parts, body), terms.deadline);
    answer.ok_or_else(|| SendFailure::new(SendOutcome::Perhaps, status))
}

/// What the head of an answer shows about the run of the request that was sent to `expected`.
fn evidence(
    names: &HeaderNames,
    answer: &Response<TrackedBody>,
    expected: &UpstreamId,
) -> AnswerEvidence {
    let headers = answer.headers();
    let is_marked = headers.contains_key(&names.not_run);
    let is_by_another = match headers.get(&names.answering_upstream) {
        Some(id) => id.as_bytes() != expected.as_bytes(),
        None => is_marked,
    };
    let is_misdirected = answer.status() == StatusCode::MISDIRECTED_REQUEST;
    AnswerEvidence {
        status: status_meaning(answer.status()),
        is_marked,
        is_signed: headers.contains_key(&names.signature),
        is_misdirected: is_misdirected && is_by_another,
        is_ambiguous: false,
    }
}
