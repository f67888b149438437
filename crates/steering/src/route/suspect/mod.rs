//! Work under which upstreams end: found, told to all hosts, and kept from taking more down.

mod abandoned;
mod news;
mod state;
mod suspects;
mod suspicion;
mod work;

pub use abandoned::Abandoned;
pub use news::{WorkNews, WorkTold};
pub use state::{WorkDigest, WorkRank, WorkState};
pub use suspects::{Admission, RefusedWork, Suspects};
pub use suspicion::ENDS_REFUSED;
pub use work::{WorkIdentity, WorkKey, WorkParts};
