//! HTTP client for upstreams: pooled connections, load probes, and request and answer bodies.
//!
//! The connections are also used between hosts, for relayed requests. This crate never retries a
//! request.

mod answer;
mod body;
mod connections;
mod headers;
mod probe;
mod request_framing;
mod rest;
mod send_error;
mod surplus;
mod tracked;
mod upload;

pub use answer::{AnswerError, BodyFraming, ChunkScanner, has_unknown_coding};
pub use body::{BodyLimitError, BoundedBody, BufferedBody, GuardedBody, RequestBody, buffer_body};
pub use connections::{ConnectError, ConnectionId, Connections, Lease, Relay, Reuse, connect};
pub use headers::end_to_end;
pub use probe::{LOAD_PATH, ProbeError, probe};
pub use request_framing::RequestFraming;
pub use rest::requested_rest;
pub use send_error::SendError;
pub use surplus::Surplus;
pub use tracked::TrackedBody;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Error while reading a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Header that an upstream sets if it refused a request without running it.
pub const NOT_RUN_HEADER: &str = "upstream-not-run";
/// Header with the identity of a request.
pub const REQUEST_ID_HEADER: &str = "stagedeck-request-id";
/// Header with the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "stagedeck-deadline-ms";
