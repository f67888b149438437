//! Reads the head of a request.

use std::time::{Duration, Instant};

use hyper::Request;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
use steering::route::{Credentials, KeyHash};

use crate::wire_format::HeaderNames;

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The parts of a request's head that affect routing.
#[derive(Debug, Clone)]
pub(super) struct Head {
    /// Identity of the request; empty if it has none.
    pub id: String,
    /// Domain of the request; empty if it has none.
    pub domain: String,
    /// Object of the request; none if it has none.
    pub object: Option<Vec<u8>>,
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl Head {
    pub fn read<B>(request: &Request<B>, names: &HeaderNames, arrived: Instant) -> Head {
        let headers = request.headers();
        let time = text(headers, &names.deadline_ms).and_then(|text| text.parse().ok());
        let time = time.map_or(DEFAULT_DEADLINE, Duration::from_millis);
        let host = text(headers, &HOST).or(request.uri().host());
        Head {
            id: text(headers, &names.request_id).unwrap_or("").to_owned(),
            domain: host.unwrap_or("").to_owned(),
            object: headers.get(&names.object).map(|v| v.as_bytes().to_vec()),
            arrived,
            deadline: arrived + time.min(MAX_DEADLINE),
        }
    }
}

/// Longest deadline; longer ones are reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Authorization scheme of a key.
const KEY_SCHEME: &[u8] = b"bearer";
/// Longest key, in bytes. Operators' keys have some tens of bytes.
const MAX_KEY_BYTES: usize = 1_024;

/// Reads the sender's credentials.
pub(super) fn credentials(headers: &HeaderMap) -> Credentials {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credentials::None,
        (Some(value), None) => parse_key(value).map_or(Credentials::NoKey, Credentials::Key),
        (Some(_), Some(_)) => Credentials::Several,
    }
}

fn parse_key(value: &HeaderValue) -> Option<KeyHash> {
    let bytes = value.as_bytes();
    let at = bytes.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = bytes.split_at(at);
    let key = key.trim_ascii();
    let is_single = !key.is_empty() && key.len() <= MAX_KEY_BYTES && !key.contains(&b' ');
    (is_single && scheme.eq_ignore_ascii_case(KEY_SCHEME)).then(|| KeyHash::of(key))
}

fn text<'a>(headers: &'a HeaderMap, name: &hyper::header::HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
