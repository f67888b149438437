//! Responses that a host generates itself.

use hyper::{Response, StatusCode, header};
use serde::Serialize;
use steering::error::{ErrorKind, NotRun};
use upstream::{Body, REQUEST_ID_HEADER, full};

/// Header with the error kind of a response that a host generated itself.
pub const ERROR_HEADER: &str = "stagedeck-error";
/// Header that says whether the request is known not to have run.
pub const NOT_RUN_HEADER: &str = "stagedeck-not-run";
/// Header of a response that is replayed from an earlier run.
pub const REPLAYED_HEADER: &str = "stagedeck-replayed";

/// The reason why a request got no response of an upstream.
///
/// `not_run` is the value of the error kind, or a less certain one: a request that is
/// repeated under a ticket may have run earlier, whatever happens to this attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The error kind, as in the header [`ERROR_HEADER`].
    pub kind: ErrorKind,
    /// Whether the request is known not to have run.
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
    /// A failure before the request's ticket or key was checked: it may have run earlier.
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

/// The response for a failure: a JSON object and the headers that describe the error.
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

/// A response of status 200 with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("answers are valid JSON");
    let mut answer = Response::new(full(body));
    *answer.status_mut() = StatusCode::OK;
    let json = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
