//! Selection of an upstream in a pool, and of a zone for a request.

mod policy;
mod zone_candidate;

pub use policy::{Candidate, LeastExpected, LeastLoaded, Policy};
pub use zone_candidate::{ZoneCandidate, rank_zones};
