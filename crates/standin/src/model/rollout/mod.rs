//! Roll-outs over hosts as values: what callers, upstreams and operators see of one.

mod host;
mod outcome;
mod plan;
mod run;
mod version;

pub use outcome::RolloutOutcome;
pub use plan::RolloutPlan;
pub use run::run;
pub use version::{Defect, ModelVersion};

/// Routes of the service.
const ROUTES: [&str; 2] = ["search", "hold"];
