//! The sends of one request, and what follows from them.

use super::not_run_proof::{NotRunProof, RefusalProof};

/// How far a send of a request got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request left this host.
    Not,
    /// The upstream did not run the request and will not run it.
    Refused(RefusalProof),
    /// The request may have run.
    Perhaps,
}

/// Next step for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another upstream.
    Retry,
    /// The request is abandoned and certainly has not run.
    NotRun(NotRunProof),
    /// The request is abandoned and may have run.
    MayHaveRun,
}

/// All sends of one request, in their order.
#[derive(Debug, Clone, Default)]
pub struct Sends(Vec<SendOutcome>);

impl Sends {
    /// Adds a send of which nothing has left this host yet. Its outcome is written to the
    /// returned place.
    pub fn begin(&mut self) -> &mut SendOutcome {
        self.0.push(SendOutcome::Not);
        self.0.last_mut().expect("an element was just pushed")
    }

    /// Whether no send has begun.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of sends that have left this host, at least in part.
    pub fn sent_count(&self) -> u32 {
        let sent = self.0.iter().filter(|sent| **sent != SendOutcome::Not);
        sent.count() as u32
    }

    /// Whether the request may have run in any of its sends.
    pub fn may_have_run(&self) -> bool {
        self.0.contains(&SendOutcome::Perhaps)
    }

    /// Returns the proof that the request has not run; none if it may have run.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        match (self.may_have_run(), self.sent_count()) {
            (true, _) => None,
            (false, 0) => Some(NotRunProof::unsent()),
            (false, _) => Some(NotRunProof::refused()),
        }
    }

    /// Decides what follows the last send. A request that may have run is sent again only if it
    /// is repeatable.
    pub fn decide_retry(&self, repeatable: bool, may_send_again: bool) -> RetryDecision {
        match self.not_run_proof() {
            None if may_send_again && repeatable => RetryDecision::Retry,
            Some(_) if may_send_again => RetryDecision::Retry,
            None => RetryDecision::MayHaveRun,
            Some(proof) => RetryDecision::NotRun(proof),
        }
    }
}

impl FromIterator<SendOutcome> for Sends {
    fn from_iter<I: IntoIterator<Item = SendOutcome>>(outcomes: I) -> Self {
        Sends(outcomes.into_iter().collect())
    }
}
