//! Detection of repeated requests ("work") that crash upstreams. Hosts share what they find, and
//! refuse such work before it crashes more upstreams.

mod abandoned;
mod state;
mod suspects;
mod suspicion;
mod update;
mod work;

pub use abandoned::AbandonedRequests;
pub use state::{WorkDigest, WorkRank, WorkState};
pub use suspects::{Admission, RefusedWork, Suspects};
pub use suspicion::CRASHES_TO_REFUSE;
pub use update::{WorkEvent, WorkUpdate};
pub use work::{WorkIdentity, WorkKey, WorkParts};
