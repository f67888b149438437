//! Tokens of the limits that upstreams name, as the thread that serves callers asks for them.

use std::time::Duration;

use steering::route::{Choice, LimitAsk};
use steering::statement::LimitHeard;
use tokio::sync::{mpsc, oneshot};

/// Time for which an upstream is passed over of whose limit no holder has told in time.
const UNHEARD_WAIT: Duration = Duration::from_millis(250);

/// There is no token for so long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Dry(pub Duration);

/// A request that waits for a token.
pub(crate) struct LimitCall {
    /// What is asked.
    pub ask: LimitAsk,
    /// Gets the answer; its asker may have left.
    pub answer: oneshot::Sender<Result<(), Dry>>,
}

/// Where requests ask; the thread of control asks other hosts.
#[derive(Debug, Clone)]
pub(crate) struct LimitCalls(mpsc::UnboundedSender<LimitCall>);

impl LimitCalls {
    /// For the thread that serves callers, and what comes in at the one that controls.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<LimitCall>) {
        let (calls, incoming) = mpsc::unbounded_channel();
        (LimitCalls(calls), incoming)
    }

    /// Asks for a token for a request to the chosen upstream.
    ///
    /// # Errors
    ///
    /// There is none; the request must not be sent there.
    pub async fn token(&self, choice: &Choice, heard: LimitHeard, urgency: f64) -> Result<(), Dry> {
        let report = &choice.upstream.report;
        let (answer, answered) = oneshot::channel();
        let call = LimitCall {
            ask: LimitAsk {
                upstream: report.id.clone(),
                zone: report.zone.clone(),
                born_ms: report.started_ms,
                per_s: heard.per_s,
                heard_ms: heard.age.as_millis() as u32,
                urgency,
            },
            answer,
        };
        let token = match self.0.send(call) {
            Ok(()) => answered.await.unwrap_or(Err(Dry(UNHEARD_WAIT))),
            // The thread of control has ended with the host.
            Err(_) => Err(Dry(UNHEARD_WAIT)),
        };
        let mut condition = choice.upstream.state();
        match token {
            Ok(()) => {
                condition.statements.limit_gave();
                metrics::counter!("stagedeck_limited_sends_total", "upstream" => report.id.clone())
                    .increment(1);
            }
            Err(Dry(wait)) => condition.statements.limit_is_dry(clock::now(), wait),
        }
        token
    }
}
