//! Answers that the host itself gives.

use std::time::Duration;

use derive_more::Display;
use hyper::header::{HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use upstream::{Body, full};

/// Why a request was not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No route matches.
    NoRoute,
    /// It has no key that is in force.
    NoAccess,
    /// Its customer's allowance is used up. It has not run and never will.
    BeyondAllowance {
        /// When the caller may come back.
        come_back: Duration,
    },
    /// The caller sent what can't be read, or too much of it, or too slowly.
    BadRequest(StatusCode),
    /// It has not run and never will.
    NotRun {
        /// Why.
        cause: Cause,
        /// When the caller may come back.
        come_back: Duration,
    },
    /// It may have run; no whole answer came.
    MayHaveRun,
    /// It may have run; the time was over.
    TooLate,
}

/// Why a request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Cause {
    /// The host holds no document yet, or knows no upstreams.
    #[display("no_document")]
    NoDocument,
    /// What is asked for is not known here, and the host's knowledge is so old that it may be
    /// new.
    #[display("old_document")]
    OldDocument,
    /// No host has told in time whether the customer's allowance is used up.
    #[display("allowance_unheard")]
    AllowanceUnheard,
    /// No upstream that may serve it is known, or none can be used now.
    #[display("no_upstream")]
    NoUpstream,
    /// The object's homes are full.
    #[display("no_room")]
    NoRoom,
    /// All upstreams that may serve it have asked for rest.
    #[display("upstreams_rest")]
    UpstreamsRest,
    /// All upstreams that may serve it are at the limits that they name, or rest.
    #[display("upstreams_limit")]
    UpstreamsLimit,
    /// Upstreams have ended under such work, one after the other.
    #[display("ends_upstreams")]
    EndsUpstreams,
    /// Every upstream that was asked refused it or could not be reached, and it may be
    /// sent to no other.
    #[display("refused_there")]
    RefusedThere,
    /// The time was over before anything was sent.
    #[display("no_time")]
    NoTime,
}

impl Refusal {
    /// The refusal as an answer. Only 429 and 503 say that the request has not run.
    pub fn answer(self) -> Response<Body> {
        let (status, text) = match self {
            Refusal::NoRoute => (StatusCode::NOT_FOUND, "no route"),
            Refusal::NoAccess => (StatusCode::UNAUTHORIZED, "no key that is in force"),
            Refusal::BeyondAllowance { .. } => {
                (StatusCode::TOO_MANY_REQUESTS, "not run: allowance used up")
            }
            Refusal::BadRequest(status) => (status, "the request can't be taken"),
            Refusal::NotRun { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not run"),
            Refusal::MayHaveRun => (StatusCode::BAD_GATEWAY, "it may have run"),
            Refusal::TooLate => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        };
        let mut answer = Response::new(full(text));
        *answer.status_mut() = status;
        if let Refusal::NotRun { come_back, .. } | Refusal::BeyondAllowance { come_back } = self {
            let seconds = format!("{:.3}", come_back.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        if self == Refusal::NoAccess {
            let scheme = HeaderValue::from_static("Bearer");
            answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        }
        answer
    }
}

/// An answer that is a status only.
pub(super) fn status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(full(""));
    *answer.status_mut() = status;
    answer
}
