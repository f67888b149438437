//! What upstreams say of themselves, and how it binds those who choose among them.

mod answer;
mod obstacle;
mod stated;

pub use answer::{RequestedLimit, RequestedRest, Statement};
pub use obstacle::Obstacle;
pub use stated::{ActiveStatements, KnownLimit, LimitChange};
