//! Type aliases for names and ids.

/// Name of a host, as in its settings.
pub type HostName = String;
/// Name of a region.
pub type RegionName = String;
/// Name of an availability zone.
pub type ZoneName = String;
/// Name of a service.
pub type ServiceName = String;
/// Name of an upstream.
pub type UpstreamName = String;
/// Name of a customer.
pub type CustomerName = String;
/// Name of a rule.
pub type RuleName = String;
/// Number of an accepted configuration; 0 is the empty configuration.
pub type Revision = u64;
/// Random number drawn at each start of a host.
pub type Incarnation = u64;
/// Id of a request, unique for each arrival at the host that a caller sends it to.
pub type RequestId = String;
/// Id of an operator's change, chosen by the operator's client.
pub type ChangeId = String;
/// Id under which a non-idempotent request is deduplicated: a ticket's id, a caller's
/// idempotency key or a digest of identifying header fields.
pub type ClaimId = String;
