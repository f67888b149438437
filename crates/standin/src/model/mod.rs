//! A model of zones, links and upstreams in virtual time, for measuring the
//! decisions of `steering` beside baselines under the same arrivals.

mod engine;
mod steerers;
mod upstream;
mod world;

pub use engine::Engine;
pub use steerers::{Baseline, BaselineKind, Product};
pub use upstream::{Cache, ModelUpstream};
pub use world::{Lie, World, WorldPlan};
