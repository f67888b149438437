//! Requests tokens of upstreams' rate limits for the traffic thread.

use std::time::Duration;

use steering::route::{Choice, LimitTokenRequest};
use steering::statement::KnownLimit;
use tokio::sync::{mpsc, oneshot};

/// Time for which an upstream is skipped when no holder of its rate limit has answered in time.
const NO_ANSWER_DELAY: Duration = Duration::from_millis(250);

/// No token is available for this time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoToken(pub Duration);

/// A request that waits for a token.
pub(crate) struct LimitCall {
    /// The token request.
    pub ask: LimitTokenRequest,
    /// Receives the result; the receiver may have been dropped.
    pub answer: oneshot::Sender<Result<(), NoToken>>,
}

/// Passes token requests to the control thread, which asks other hosts.
#[derive(Debug, Clone)]
pub(crate) struct LimitCalls(mpsc::UnboundedSender<LimitCall>);

impl LimitCalls {
    /// Creates the sender for the traffic thread and the receiver for the control thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<LimitCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        (LimitCalls(calls), receiver)
    }

    /// Requests a token for sending to the chosen upstream.
    ///
    /// # Errors
    ///
    /// No token is available; the request must not be sent to this upstream.
    pub async fn take_token(
        &self,
        choice: &Choice,
        declared: KnownLimit,
        urgency: f64,
    ) -> Result<(), NoToken> {
        let report = &choice.upstream.report;
        let (answer, receiver) = oneshot::channel();
        let call = LimitCall {
            ask: LimitTokenRequest {
                upstream: report.id.clone(),
                zone: report.zone.clone(),
                started_ms: report.started_ms,
                per_s: declared.per_s,
                age_ms: declared.age.as_millis() as u32,
                urgency,
            },
            answer,
        };
        let result = match self.0.send(call) {
            Ok(()) => receiver.await.unwrap_or(Err(NoToken(NO_ANSWER_DELAY))),
            // The control thread has ended.
            Err(_) => Err(NoToken(NO_ANSWER_DELAY)),
        };
        let mut state = choice.upstream.state();
        match result {
            Ok(()) => {
                state.statements.limit_token_granted();
                metrics::counter!("stagedeck_limited_sends_total", "upstream" => report.id.clone())
                    .increment(1);
            }
            Err(NoToken(wait)) => state.statements.limit_exhausted(clock::now(), wait),
        }
        result
    }
}
