//! The rest that a refusal asks for.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use steering::statement::RequestedRest;

/// The longest rest that a refusal asks for (RFC 9110, 10.2.3); none where it asks for none.
/// Other answers carry that header for callers.
pub fn requested_rest(status: StatusCode, headers: &HeaderMap) -> Option<RequestedRest> {
    let refuses = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let asked = headers.get_all(RETRY_AFTER).iter().filter(|_| refuses);
    asked.map(seconds).max_by_key(|asked| asked.granted())
}

/// Seconds, with or without a fraction. Dates are not read: the clocks of two machines may
/// differ by more than a rest lasts.
fn seconds(value: &HeaderValue) -> RequestedRest {
    let text = value.to_str().unwrap_or_default();
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        // What no duration can hold is as long as one can be.
        Ok(seconds) if is_plain => {
            RequestedRest::For(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
        }
        _ => RequestedRest::Unreadable,
    }
}
