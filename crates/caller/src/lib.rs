//! Look-ups and requests from callers over HTTP.
//!
//! A request is classified, a place is chosen, and the owner of a pool there
//! admits it and sends it to an upstream. Every decision is in `steering`.

mod admission;
mod answers;
mod claims;
mod entry;
mod guarded;
mod local;
mod look_up;
mod relay;
mod request;
mod server;
mod shared;
mod steer;
mod ticketed;

pub use admission::{Gate, PoolState};
pub use claims::Claims;
pub use server::{Listeners, serve};
pub use shared::{Limits, LoadNote, Shared, SharedConfig};
