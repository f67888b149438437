//! Describes what a request needs from a service's upstreams.

use std::time::Duration;

use super::document::ServiceTerms;
use super::estimate::Estimate;
use super::pool_part::PoolPart;
use super::reported_upstream::UpstreamId;
use crate::ids::HostName;

/// Criteria for the selection of an upstream.
pub struct Requirements<'a> {
    /// Hash of the request's object; an arbitrary number if it has none.
    pub object: u64,
    /// Whether upstreams that recently worked on the object do its work faster.
    pub by_object: bool,
    /// Response time up to which an answer has its full utility.
    pub latency_goal: Duration,
    /// 1 for the most urgent requests of the service, less for others.
    pub urgency: f64,
    /// Upstreams that already received the request or could not be reached.
    pub excluded: &'a [UpstreamId],
    /// Upstreams that the request is sent to first; `None` if all of them are alike for it.
    pub part: Option<PoolPart>,
    /// Typical work time of the requests that share the upstreams.
    pub typical_work: Duration,
    /// Learned work times of this class of requests.
    pub estimate: &'a Estimate,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Settings of the service; `None` if the document does not list it.
    pub terms: Option<&'a ServiceTerms>,
    /// Maps the operator's limit for a cold upstream to the requests per second that it may
    /// receive from all hosts.
    pub cold_limit_per_s: &'a dyn Fn(f64) -> f64,
    /// Name of this host.
    pub this_host: &'a str,
    /// Hosts that may send to the pool's cold upstreams, this one included; `None` if this
    /// host may not, or while the hosts are unknown.
    pub region_hosts: Option<&'a [HostName]>,
    /// Time since this process started.
    pub running_for: Duration,
}
