//! Type aliases for the names and numbers that identify things.

/// Name of a host of the system, as in its settings.
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
/// Number of an accepted configuration; 0 is the empty one.
pub type Revision = u64;
/// Random number drawn at each start of a host.
pub type Incarnation = u64;
/// Identity of a request, unique for each arrival at an entry host.
pub type RequestId = String;
/// Identity of an operator's change, chosen by the operator's client.
pub type ChangeId = String;
/// Identity of a ticket or of a caller's own idempotency key.
pub type ClaimId = String;
