//! Work under which upstreams end: found, told to all hosts, and kept from taking more down.

mod news;
mod suspects;
mod work;

pub use news::{WorkNews, WorkTold};
pub use suspects::{Admission, ENDS_REFUSED, RefusedWork, Suspects};
pub use work::{WorkKey, work_key};
