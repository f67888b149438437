//! A send whose answer has not arrived yet.

use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::select_all;
use hyper::Response;
use steering::ids::RuleName;
use steering::route::{AnswerOutcome, AnswerQuality, Choice, SendOutcome, WorkEvent, WorkIdentity};
use tokio::task::spawn_local;
use upstream::{SendError, TrackedBody};

use super::Traffic;
use super::accept::accept_answer;
use super::answers::UpstreamAnswer;
use super::crash_check::CrashCheck;
use super::head::Head;
use super::in_flight::InFlight;
use super::send::{SendFailure, count_send};

/// What an answer of an upstream is judged by.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerTerms<'a> {
    pub head: &'a Head,
    /// Name of the route.
    pub route: &'a RuleName,
    /// Latency goal of the route.
    pub goal: Duration,
    /// Time after which an answer is useless.
    pub deadline: Instant,
    /// Identity of the request and its object for crash detection.
    pub work: WorkIdentity,
}

/// The answer to a send, or why there is none.
pub(super) type SentResult = Result<Response<TrackedBody>, SendError>;

/// A request that was sent to an upstream. Its drop closes the connection, so that the upstream can
/// cancel its work.
pub(super) struct UnansweredSend {
    pub answer: Pin<Box<dyn Future<Output = SentResult>>>,
    pub choice: Choice,
    pub in_flight: InFlight,
    /// Whether the connection is this host's own.
    pub is_direct: bool,
    /// Whether the answer may be one to another send of the request.
    pub is_ambiguous: bool,
}

impl UnansweredSend {
    /// Returns the answer if it can be passed on.
    pub fn conclude(
        self,
        traffic: &Arc<Traffic>,
        terms: &AnswerTerms<'_>,
        answer: SentResult,
    ) -> Result<UpstreamAnswer, SendFailure> {
        let UnansweredSend {
            choice,
            in_flight,
            is_direct,
            is_ambiguous,
            ..
        } = self;
        let upstream = &choice.upstream;
        let is_lost = matches!(
            answer,
            Err(SendError::Lost { .. } | SendError::InvalidAnswer { .. } | SendError::Timeout)
        );
        // A loss on this host's own cut links says nothing about the upstream's version.
        if is_lost && !(is_direct && traffic.paths.is_relayed(upstream)) {
            let rollouts = &traffic.common.rollouts;
            rollouts.answered(terms.route, upstream, AnswerQuality::Failed);
        }
        match answer {
            Ok(answer) => {
                count_send("answered");
                accept_answer(traffic, &choice, answer, terms, in_flight, is_ambiguous)
            }
            Err(SendError::NotSent { reason, request }) => {
                count_send("not_sent");
                in_flight.record(AnswerOutcome::Unreachable);
                Err(SendFailure {
                    unsent_body: request.map(|request| request.into_body()),
                    ..SendFailure::new(SendOutcome::Not, reason)
                })
            }
            Err(SendError::Lost { reason }) => {
                count_send("lost");
                in_flight.record(AnswerOutcome::Broken);
                Err(SendFailure {
                    was_closed: true,
                    ..SendFailure::new(SendOutcome::Perhaps, reason)
                })
            }
            Err(SendError::InvalidAnswer { reason }) => {
                count_send("invalid_answer");
                in_flight.record(AnswerOutcome::Broken);
                Err(SendFailure::new(SendOutcome::Perhaps, reason))
            }
            Err(SendError::Timeout) => {
                count_send("late");
                choice.note_timeout(clock::now(), clock::elapsed(in_flight.started_at));
                Err(SendFailure::new(SendOutcome::Perhaps, "late"))
            }
        }
    }
}

/// Sends of a request that were left unanswered, since this host may be cut off from their
/// upstreams. Their answers are still used: the finding may be wrong, or the cut may end.
#[derive(Default)]
pub(super) struct UnansweredSends(Vec<UnansweredSend>);

impl UnansweredSends {
    pub fn push(&mut self, send: UnansweredSend) {
        self.0.push(send);
    }

    /// Waits for the first answer that can be passed on; none if all of the sends have failed.
    pub async fn answer(
        &mut self,
        traffic: &Arc<Traffic>,
        terms: &AnswerTerms<'_>,
    ) -> Option<UpstreamAnswer> {
        while !self.0.is_empty() {
            let answers = self.0.iter_mut().map(|send| &mut send.answer);
            let (answer, index, _) = select_all(answers).await;
            let send = self.0.swap_remove(index);
            let check = CrashCheck {
                traffic: Arc::clone(traffic),
                upstream: Arc::clone(&send.choice.upstream),
                id: terms.head.id.clone(),
                work: terms.work,
                sent_at: send.in_flight.started_at,
            };
            let id = &terms.head.id;
            let upstream = &check.upstream.report.id;
            match send.conclude(traffic, terms, answer) {
                Ok(answer) => {
                    let sent_ms = clock::elapsed(check.sent_at).as_millis() as u32;
                    let event = WorkEvent::Answered { sent_ms };
                    traffic.common.suspects.record_event(terms.work, event);
                    tracing::info!(event = "doubtful_send_answered", id, upstream);
                    metrics::counter!("stagedeck_doubtful_sends_answered_total").increment(1);
                    return Some(answer);
                }
                Err(failure) => {
                    let reason = failure.reason;
                    tracing::info!(event = "doubtful_send_failed", id, upstream, reason);
                    if failure.was_closed {
                        spawn_local(check.run());
                    }
                }
            }
        }
        None
    }

    /// Waits for an answer that can be passed on, without end if there will be none.
    pub async fn next_answer(
        &mut self,
        traffic: &Arc<Traffic>,
        terms: &AnswerTerms<'_>,
    ) -> UpstreamAnswer {
        match self.answer(traffic, terms).await {
            Some(answer) => answer,
            None => pending().await,
        }
    }
}
