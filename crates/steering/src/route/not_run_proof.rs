//! Proofs that a request has not run.

use derive_more::Display;

/// Proof that an upstream refused one send of a request and will not run it. Only
/// [`AnswerEvidence::verdict`](super::AnswerEvidence::verdict) creates it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalProof(());

impl RefusalProof {
    pub(super) fn new() -> Self {
        RefusalProof(())
    }
}

/// Proof that a request has not run at any upstream and never will. Required to tell a caller so.
/// Only [`Sends::not_run_proof`](super::Sends::not_run_proof) and [`NotRunProof::unsent`] create it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunProof(NotRunEvidence);

/// What a [`NotRunProof`] rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NotRunEvidence {
    /// No byte of the request left this host.
    #[display("unsent")]
    Unsent,
    /// Each upstream that the request was sent to refused it.
    #[display("refused")]
    Refused,
}

impl NotRunProof {
    /// The proof for a request that is rejected before its first send.
    pub fn unsent() -> Self {
        NotRunProof(NotRunEvidence::Unsent)
    }

    pub(super) fn refused() -> Self {
        NotRunProof(NotRunEvidence::Refused)
    }

    /// What the proof rests on.
    pub fn evidence(self) -> NotRunEvidence {
        self.0
    }
}
