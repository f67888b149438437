//! Statements that upstreams make about themselves in their answers, and their effect on upstream
//! selection.

mod active_statements;
mod answer;
mod obstacle;

pub use active_statements::{ActiveStatements, KnownLimit, LimitChange};
pub use answer::{RequestedLimit, RequestedRest, Statement};
pub use obstacle::Obstacle;
