//! Answers that the host itself gives.

use std::time::Duration;

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use upstream::{Body, full};

/// Why a request was not answered by an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No route matches.
    NoRoute,
    /// The caller sent what can't be read, or too much of it, or too slowly.
    BadRequest(StatusCode),
    /// It has not run and never will; the caller may come back after this time.
    NotRun(Duration),
    /// It may have run; no whole answer came.
    MayHaveRun,
    /// It may have run; the time was over.
    TooLate,
}

impl Refusal {
    /// The refusal as an answer. Only 503 says that the request has not run.
    pub fn answer(self) -> Response<Body> {
        let (status, text) = match self {
            Refusal::NoRoute => (StatusCode::NOT_FOUND, "no route"),
            Refusal::BadRequest(status) => (status, "the request can't be taken"),
            Refusal::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, "not run"),
            Refusal::MayHaveRun => (StatusCode::BAD_GATEWAY, "it may have run"),
            Refusal::TooLate => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        };
        let mut answer = Response::new(full(text));
        *answer.status_mut() = status;
        if let Refusal::NotRun(after) = self {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(seconds) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, seconds);
            }
        }
        answer
    }
}
