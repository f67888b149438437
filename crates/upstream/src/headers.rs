//! Selects the headers of a message that are forwarded to its next recipient.

use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName};

/// Prefix of the names of headers that stagedeck itself uses.
const OWN_PREFIX: &str = "stagedeck-";

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the time for which the server keeps an idle connection open; none if the server does
/// not state one in whole seconds (RFC 2068, section 19.7.1.1).
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let values = headers.get_all("keep-alive").iter();
    let parameters = values.filter_map(|value| value.to_str().ok());
    let mut parameters = parameters.flat_map(|value| value.split(','));
    parameters.find_map(|parameter| {
        let (name, seconds) = parameter.split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        let seconds = seconds.trim().parse().ok().filter(|_| is_timeout)?;
        Some(Duration::from_secs(seconds))
    })
}

/// Returns the headers of a message that are forwarded to its next recipient.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_own = name.as_str().starts_with(OWN_PREFIX);
        if !is_own && !HOP_BY_HOP.contains(&name.as_str()) && !connection_headers.contains(name) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
