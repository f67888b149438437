//! A model of zones, links and upstreams in virtual time, for measuring the
//! decisions of `steering` beside baselines under the same arrivals.

mod baseline;
mod engine;
mod product;
pub mod rollout;
mod upstream;
mod world;

pub use baseline::{Baseline, BaselineKind};
pub use engine::Engine;
pub use product::Product;
pub use upstream::{Cache, ModelUpstream};
pub use world::{Lie, World, WorldPlan};
