//! Which headers of a message go on to its next recipient.

use hyper::header::{self, HeaderMap, HeaderName};

/// Start of the names of headers that are the system's own.
const OWN_PREFIX: &str = "stagedeck-";

/// Headers that hold for one connection only (RFC 9110, 7.6.1).
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

/// A message's headers that go on to its next recipient.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let own = name.as_str().starts_with(OWN_PREFIX);
        if !own && !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(name) {
            kept.append(name, value.clone());
        }
    }
    kept
}
