//! The closed list of error kinds that a host returns to callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a request is known not to have run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum NotRun {
    /// The request certainly did not run.
    #[display("true")]
    True,
    /// The request ran.
    #[display("false")]
    False,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Why a host answers a request itself instead of forwarding an upstream's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// A header block or body is larger than allowed.
    #[display("too_large")]
    TooLarge,
    /// The caller sent the request too slowly.
    #[display("slow_caller")]
    SlowCaller,
    /// No service has this name.
    #[display("unknown_service")]
    UnknownService,
    /// A non-idempotent request arrived without a ticket or idempotency key.
    #[display("ticket_required")]
    TicketRequired,
    /// A header field that identifies the request is missing.
    #[display("identity_required")]
    IdentityRequired,
    /// The ticket is malformed, forged or for another service.
    #[display("ticket_invalid")]
    TicketInvalid,
    /// The ticket has expired, and no request ever ran with it.
    #[display("ticket_lapsed")]
    TicketLapsed,
    /// The ticket, key or identity was used before for a different request.
    #[display("ticket_conflict")]
    TicketConflict,
    /// An earlier request with the same ticket is still running.
    #[display("in_progress")]
    InProgress,
    /// The request ran earlier; its answer was too large to keep.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The host has reached its maximum of connections or requests.
    #[display("host_busy")]
    HostBusy,
    /// The host is shutting down and takes no new requests.
    #[display("leaving")]
    Leaving,
    /// No upstream has the capacity to answer before the deadline.
    #[display("no_capacity")]
    NoCapacity,
    /// A cap or limit set by an operator is reached.
    #[display("limit_reached")]
    LimitReached,
    /// No upstream of the service can be reached.
    #[display("no_upstream")]
    NoUpstream,
    /// The platform's store is needed and can't be reached. This attempt did not run, but
    /// an earlier one through another host may have.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The deadline passed before anything was sent to an upstream.
    #[display("deadline_before_dispatch")]
    DeadlineBeforeDispatch,
    /// The deadline passed after the request was sent to an upstream.
    #[display("deadline_after_dispatch")]
    DeadlineAfterDispatch,
    /// The request was sent to an upstream and its outcome is unknown.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The host failed internally before the request was sent.
    #[display("internal")]
    Internal,
}

/// How a host answers a caller with an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The error kind.
    pub kind: ErrorKind,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Whether the answer states that the request did not run.
    pub not_run: NotRun,
    /// Time after which the caller should retry, in seconds; `None` if a retry is no use.
    pub retry_after_s: Option<u32>,
    /// Explanation for humans.
    pub text: &'static str,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    not_run: NotRun,
    retry_after_s: Option<u32>,
    text: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        not_run,
        retry_after_s,
        text,
    }
}

/// The answer of each kind, in the order of [`ErrorKind`].
pub const ERROR_RESPONSES: &[ErrorResponse] = {
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
    /// Returns the answer of this kind.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }

    /// Finds a kind by its code, as in the body or header of an answer.
    pub fn find(code: &str) -> Option<ErrorKind> {
        ERROR_RESPONSES
            .iter()
            .map(|answer| answer.kind)
            .find(|kind| kind.to_string() == code)
    }
}
