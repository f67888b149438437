//! Look-ups and requests from callers over HTTP.
//!
//! A host classifies each request and chooses a zone for it. The host that owns an
//! upstream pool in this zone admits the request and forwards it to an upstream.
//! The decisions themselves are made by the crate `steering`.

mod admission;
mod answers;
mod at_most_once;
mod claims;
mod dispatch;
mod guarded_stream;
mod handlers;
mod local;
mod look_up;
mod relay;
mod request;
mod server;
mod shared;

pub use admission::{PoolRegistry, PoolState};
pub use claims::Claims;
pub use server::{Listeners, serve};
pub use shared::{Limits, LoadObservation, SharedConfig, SharedState};
