//! The choice of an upstream in a pool, and of a place for a request.

mod place;
mod policy;

pub use place::{PlaceView, choose_places};
pub use policy::{Candidate, LeastExpected, LeastLoaded, Policy};
