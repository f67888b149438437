//! Endpoint for operators at the metrics address: metrics, and requests refused because they crash
//! upstreams.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use steering::route::{WorkEvent, WorkKey};
use upstream::{Body, full};

use super::Traffic;
use super::answers::status;
use crate::suspects;

/// Path of the list of refused requests and objects. The key of an entry may follow.
const WORKS_PATH: &str = "/works";

/// Answers an operator. Only clients on this host may make changes.
pub(super) fn answer(
    traffic: &Arc<Traffic>,
    request: &Request<Incoming>,
    is_own: bool,
) -> Response<Body> {
    let Some(rest) = request.uri().path().strip_prefix(WORKS_PATH) else {
        return Response::new(full((traffic.render_metrics)()));
    };
    let order = match *request.method() {
        Method::GET if rest.is_empty() => return list(traffic),
        Method::PUT => WorkEvent::Refused,
        Method::DELETE => WorkEvent::Cleared,
        _ => return status(StatusCode::METHOD_NOT_ALLOWED),
    };
    if !is_own {
        return status(StatusCode::FORBIDDEN);
    }
    let Some(work) = rest.strip_prefix('/').and_then(parse_key) else {
        return status(StatusCode::BAD_REQUEST);
    };
    status(match traffic.common.suspects.order(work, order) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::NOT_FOUND,
    })
}

/// Parses a key in the format of the log.
fn parse_key(text: &str) -> Option<WorkKey> {
    let is_key = text.len() == 16;
    is_key.then(|| WorkKey::from_str_radix(text, 16).ok())?
}

fn list(traffic: &Traffic) -> Response<Body> {
    let refused = traffic.common.suspects.refused();
    let refused = refused.iter().map(|refused| {
        json!({
            "work": suspects::format_key(refused.work),
            "ends": refused.crashes,
            "refused_for_ms": refused.refused_for.as_millis() as u64,
        })
    });
    let refused: Vec<serde_json::Value> = refused.collect();
    let mut answer = Response::new(full(json!({ "works": refused }).to_string()));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
