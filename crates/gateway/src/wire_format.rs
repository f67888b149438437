//! Translation between the wire and the types of this crate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use steering::ids::{RegionName, ZoneName};
use steering::statement::Statement;

/// Names of headers in requests to upstreams and in their answers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of a request; the answer repeats it.
    pub request_id: HeaderName,
    /// Object of a request.
    pub object: HeaderName,
    /// Time left for a request, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Identity of the upstream process that a request is meant for; any other process refuses the
    /// request.
    pub expected_upstream: HeaderName,
    /// Name of the customer that sent a request, set for the upstream.
    pub customer: HeaderName,
    /// Proves that an answer comes from the upstream itself; required in every success.
    pub signature: HeaderName,
    /// Present if the upstream did not run the request and will not run it.
    pub not_run: HeaderName,
    /// Identity of the upstream process that answers.
    pub answering_upstream: HeaderName,
    /// The upstream's load.
    pub load: HeaderName,
}

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests waiting at the upstream.
    pub waiting: u32,
}

/// A caller's query for hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostLookup {
    /// Region of the caller; none if not stated.
    pub region: Option<RegionName>,
    /// Availability zone of the caller; none if not stated.
    pub zone: Option<ZoneName>,
}

/// Translates between the wire and the types of this crate, without making decisions.
pub trait WireFormat: Send + Sync {
    /// Names of the headers.
    fn headers(&self) -> &HeaderNames;
    /// Whether a call is a readiness check.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;
    /// Parses a host lookup; none if the call is something else.
    fn parse_host_lookup(&self, method: &Method, uri: &Uri) -> Option<HostLookup>;
    /// JSON answer to a host lookup, valid for `ttl`.
    fn host_lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Parses a load report; none if it is malformed.
    fn parse_load(&self, text: &str) -> Option<ReportedLoad>;
    /// Reads what the head of an upstream's answer declares about the upstream.
    fn parse_statement(&self, status: StatusCode, headers: &HeaderMap) -> Statement;
    /// Header names in an answer that look like declarations of the upstream but are unknown.
    fn unknown_statements<'h>(&self, headers: &'h HeaderMap) -> Vec<&'h HeaderName>;
}
