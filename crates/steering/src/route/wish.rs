//! What a request asks of a service's upstreams.

use std::time::Duration;

use super::document::ServiceTerms;
use super::estimate::Estimate;
use super::upstream::UpstreamId;
use crate::ids::HostName;

/// What a request wants of a service.
pub struct Wish<'a> {
    /// Hash of its object; any number where it has none.
    pub object: u64,
    /// Whether upstreams that have lately seen the object do its work faster.
    pub by_object: bool,
    /// Time within which its answer is worth most.
    pub goal: Duration,
    /// 1 for the most urgent requests of the service, less for others.
    pub urgency: f64,
    /// Upstreams that had it already, or could not be reached.
    pub tried: &'a [UpstreamId],
    /// Usual time of the service's work.
    pub usual: Duration,
    /// What is known of the times of this class of work.
    pub estimate: &'a Estimate,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Bounds of the service.
    pub terms: Option<&'a ServiceTerms>,
    /// Requests in a second that a cold upstream may receive from all hosts, given
    /// what it bears.
    pub cold_bound: &'a dyn Fn(f64) -> f64,
    /// This host.
    pub me: &'a str,
    /// Hosts that may send to cold upstreams of the pool, this one among them; none
    /// where this host may not, or while they are not known.
    pub near_hosts: Option<&'a [HostName]>,
}
