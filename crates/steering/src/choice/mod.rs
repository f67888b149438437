//! The choice of an upstream in a pool, and of a place for a request.

mod place;
mod policy;

pub use place::{ZoneCandidate, rank_zones};
pub use policy::{Candidate, LeastExpected, LeastLoaded, Policy};
