//! What the head of an answer shows about whether its request has run.

use super::not_run_proof::RefusalProof;

/// What the status of an answer says about the run of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusMeaning {
    /// The request ran and succeeded.
    Success,
    /// A caller concludes from the status that the request has not run and never will.
    NotRun,
    /// The status says nothing about the run.
    Other,
}

/// The properties of an answer to one send that bear on whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// What the status says.
    pub status: StatusMeaning,
    /// Whether the answer states that the request was not run.
    pub is_marked: bool,
    /// Whether the upstream has signed the answer as the result of a run.
    pub is_signed: bool,
    /// Whether the answer comes from another upstream process than the expected one, which does
    /// not run the request.
    pub is_misdirected: bool,
    /// Whether the answer may be a late copy of the one to an earlier send: the same request was
    /// sent on the connection before, or the request has no identity.
    pub is_ambiguous: bool,
}

/// What may be done with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer may be passed on to the caller as it is.
    Deliver,
    /// The upstream did not run the request and never will.
    Refused(RefusalProof),
    /// The answer may not be passed on, and the request may have run.
    Unproven,
}

impl AnswerEvidence {
    /// Decides what may be done with the answer.
    ///
    /// A status alone is no evidence: an upstream may fail with any status after it has run the
    /// request. A signature beside a refusal contradicts it.
    pub fn verdict(&self) -> AnswerVerdict {
        let states_refusal = self.is_marked || self.is_misdirected;
        match self.status {
            StatusMeaning::Success if self.is_signed => AnswerVerdict::Deliver,
            StatusMeaning::Success => AnswerVerdict::Unproven,
            _ if states_refusal && !self.is_signed => match self.is_ambiguous {
                true => AnswerVerdict::Unproven,
                false => AnswerVerdict::Refused(RefusalProof::new()),
            },
            StatusMeaning::NotRun => AnswerVerdict::Unproven,
            StatusMeaning::Other => AnswerVerdict::Deliver,
        }
    }
}
