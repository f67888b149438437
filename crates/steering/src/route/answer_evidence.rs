//! What the head of an answer shows about whether its request has run.

use derive_more::Display;

/// What the status of an answer says about the run of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StatusMeaning {
    /// The request ran and succeeded.
    #[display("success")]
    Success,
    /// To a caller, the status is a promise that the request has not run and never will.
    #[display("promise")]
    Promise,
    /// The status says nothing about the run.
    #[display("other")]
    Other,
}

/// The properties of an answer to one send that bear on whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// What the status says.
    pub status: StatusMeaning,
    /// Whether the answer states that the request was not run.
    pub is_marked: bool,
    /// Whether the upstream has signed the answer as its own.
    pub is_signed: bool,
    /// Whether the answer names another upstream process than the expected one, and its status
    /// says that the request was misdirected.
    pub is_misdirected: bool,
    /// Whether the same request was sent on the connection before, so that the answer may be a
    /// late copy of the one to the earlier send.
    pub is_repeated: bool,
}
