//! The closed list of error kinds that a caller can be answered with.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether the request is known not to have run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// It certainly did not run.
    #[display("true")]
    True,
    /// It ran.
    #[display("false")]
    False,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a request was not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// A header block or body is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// The caller sent too slowly.
    #[display("slow_caller")]
    SlowCaller,
    /// No service has this name.
    #[display("unknown_service")]
    UnknownService,
    /// Work that may not be repeated came without a ticket or key.
    #[display("ticket_required")]
    TicketRequired,
    /// The work is named by header fields, and one of them is missing.
    #[display("identity_required")]
    IdentityRequired,
    /// The ticket is forged or for another service.
    #[display("ticket_invalid")]
    TicketInvalid,
    /// The ticket has lapsed, and nothing ever ran under it.
    #[display("ticket_lapsed")]
    TicketLapsed,
    /// The ticket, key or identity was used before with another request.
    #[display("ticket_conflict")]
    TicketConflict,
    /// The same ticket's request is still running.
    #[display("in_progress")]
    InProgress,
    /// The request ran; its answer was too large to be kept.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The host has as many connections or requests as it accepts.
    #[display("host_busy")]
    HostBusy,
    /// The host is leaving and takes no new request.
    #[display("leaving")]
    Leaving,
    /// No upstream can answer before the deadline.
    #[display("no_capacity")]
    NoCapacity,
    /// A cap or limit that an operator set is reached.
    #[display("limit_reached")]
    LimitReached,
    /// No upstream of the service can be reached.
    #[display("no_upstream")]
    NoUpstream,
    /// The platform's store is needed and can't be reached; this try did not run,
    /// an earlier one through another host may have.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The deadline passed before anything was sent to an upstream.
    #[display("deadline_before_dispatch")]
    DeadlineBeforeDispatch,
    /// The deadline passed after the request was sent to an upstream.
    #[display("deadline_after_dispatch")]
    DeadlineAfterDispatch,
    /// The request was sent and its outcome can't be known.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The system failed before dispatch.
    #[display("internal")]
    Internal,
}

/// How an error kind is told to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The kind that this row is for.
    pub kind: ErrorKind,
    /// HTTP status.
    pub status: u16,
    /// What is said about the request having run.
    pub not_run: NotRun,
    /// When the caller should come back, in seconds; none where that is of no use.
    pub retry_after_s: Option<u32>,
    /// One sentence for people.
    pub text: &'static str,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    not_run: NotRun,
    retry_after_s: Option<u32>,
    text: &'static str,
) -> Answer {
    Answer {
        kind,
        status,
        not_run,
        retry_after_s,
        text,
    }
}

/// One row for each kind, in the order of [`ErrorKind`].
pub const ANSWERS: &[Answer] = {
    use ErrorKind as K;
    use NotRun::{False, True, Unknown};
    &[
        row(K::Malformed, 400, True, None, "the request is malformed"),
        row(
            K::TooLarge,
            413,
            True,
            None,
            "headers or body are too large",
        ),
        row(
            K::SlowCaller,
            408,
            True,
            None,
            "the request came too slowly",
        ),
        row(K::UnknownService, 404, True, None, "no such service"),
        row(
            K::TicketRequired,
            428,
            True,
            None,
            "this work needs a ticket",
        ),
        row(
            K::IdentityRequired,
            428,
            True,
            None,
            "this work needs the header fields that name it",
        ),
        row(K::TicketInvalid, 403, True, None, "the ticket is not valid"),
        row(
            K::TicketLapsed,
            403,
            True,
            Some(0),
            "the ticket lapsed unused; take a new one",
        ),
        row(
            K::TicketConflict,
            422,
            True,
            None,
            "the ticket, key or identity was used for another request",
        ),
        row(
            K::InProgress,
            409,
            Unknown,
            Some(1),
            "the ticket's request is running",
        ),
        row(
            K::AnswerNotKept,
            410,
            False,
            None,
            "it ran; the answer was not kept",
        ),
        row(K::HostBusy, 503, True, Some(1), "this host is full"),
        row(K::Leaving, 503, True, Some(0), "this host is leaving"),
        row(
            K::NoCapacity,
            503,
            True,
            Some(1),
            "no room before the deadline",
        ),
        row(
            K::LimitReached,
            503,
            True,
            Some(1),
            "an operator's limit is reached",
        ),
        row(
            K::NoUpstream,
            503,
            True,
            Some(2),
            "no upstream can be reached",
        ),
        row(
            K::StoreUnavailable,
            503,
            Unknown,
            Some(2),
            "the store can't be reached; send it again with the same ticket or key",
        ),
        row(
            K::DeadlineBeforeDispatch,
            504,
            True,
            Some(1),
            "too late; it was not sent",
        ),
        row(
            K::DeadlineAfterDispatch,
            504,
            Unknown,
            None,
            "no answer before the deadline",
        ),
        row(K::OutcomeUnknown, 502, Unknown, None, "it may have run"),
        row(
            K::Internal,
            500,
            True,
            Some(1),
            "the host failed before sending it",
        ),
    ]
};

impl ErrorKind {
    /// The row of [`ANSWERS`] for this kind.
    pub fn answer(self) -> &'static Answer {
        &ANSWERS[self as usize]
    }

    /// Finds a kind by its code in an answer's body or header.
    pub fn find(code: &str) -> Option<ErrorKind> {
        ANSWERS
            .iter()
            .map(|answer| answer.kind)
            .find(|kind| kind.to_string() == code)
    }
}
