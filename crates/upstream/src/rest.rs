//! Parses the rest that an upstream requests with a refusal.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use steering::statement::RequestedRest;

/// Returns the longest rest that a refusal requests by `Retry-After` (RFC 9110, section 10.2.3);
/// none if the answer requests none. In answers that are not refusals the header is meant for
/// callers and is ignored.
pub fn requested_rest(status: StatusCode, headers: &HeaderMap) -> Option<RequestedRest> {
    let is_refusal = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let values = headers.get_all(RETRY_AFTER).iter().filter(|_| is_refusal);
    values.map(seconds).max_by_key(|rest| rest.granted())
}

/// Parses seconds, with or without a fraction. Dates are not supported, since the clocks of two
/// machines may differ by more than the length of a rest.
fn seconds(value: &HeaderValue) -> RequestedRest {
    let text = value.to_str().unwrap_or_default();
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        // A value that overflows `Duration` becomes the maximum.
        Ok(seconds) if is_plain => {
            RequestedRest::For(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        }
        _ => RequestedRest::Unreadable,
    }
}
