//! Answers that the system itself gives.

use hyper::{Response, StatusCode, header};
use serde::Serialize;
use steering::error::{ErrorKind, NotRun};
use upstream::{Body, REQUEST_ID_HEADER, full};

/// Header with the error kind of an answer that is the system's own.
pub const ERROR_HEADER: &str = "stagedeck-error";
/// Header that says whether the request is known not to have run.
pub const NOT_RUN_HEADER: &str = "stagedeck-not-run";
/// Header of an answer that was kept from an earlier run.
pub const REPLAYED_HEADER: &str = "stagedeck-replayed";

/// A request that was not answered by an upstream.
///
/// What is known of its having run is that of the kind's row, or less: a request
/// sent again under its ticket may have run before, whatever befalls it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub kind: ErrorKind,
    /// Whether it is known not to have run.
    pub not_run: NotRun,
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Failure {
            kind,
            not_run: kind.response().not_run,
        }
    }
}

impl Failure {
    /// A failure before the request's ticket or key was looked at.
    pub fn before_ticket(kind: ErrorKind) -> Self {
        Failure {
            kind,
            not_run: NotRun::Unknown,
        }
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorKind,
    not_run: NotRun,
    text: &'a str,
    request_id: &'a str,
}

/// The answer for a failure.
pub fn failure(failed: Failure, request_id: &str) -> Response<Body> {
    let Failure { kind, not_run } = failed;
    let row = kind.response();
    let body = ErrorBody {
        error: kind,
        not_run,
        text: row.text,
        request_id,
    };
    let body = serde_json::to_vec(&body).expect("error bodies are valid JSON");
    let mut answer = Response::builder()
        .status(row.status)
        .header(header::CONTENT_TYPE, "application/json")
        .header(ERROR_HEADER, kind.to_string())
        .header(NOT_RUN_HEADER, not_run.to_string())
        .header(REQUEST_ID_HEADER, request_id);
    if let Some(retry_after_s) = row.retry_after_s {
        answer = answer.header(header::RETRY_AFTER, retry_after_s);
    }
    answer
        .body(full(body))
        .expect("the table holds valid headers")
}

/// An answer of JSON.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are valid JSON");
    let mut answer = Response::new(full(body));
    *answer.status_mut() = StatusCode::OK;
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
