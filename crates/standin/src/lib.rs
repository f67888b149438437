//! Stand-ins for the platform and the upstreams, the trial run and the
//! measurements. Not shipped.

pub mod cli;
mod deployment;
mod fault;
mod link;
mod load;
mod measure;
mod model;
mod platform;
mod trial;
mod trial_caller;
mod upstream;

pub use deployment::{Deployment, DeploymentPlan, HostLinks, HostPlan, any_port, eventually};
pub use fault::Fault;
pub use link::{Link, LinkState};
pub use load::{Fates, Load, LoadPlan, LoadReport, run_twice};
pub use model::rollout;
pub use platform::{PlatformFaults, StandInPlatform};
pub use trial::{TrialReport, run as run_trial};
pub use trial_caller::{Reply, TrialCaller};
pub use upstream::{Behaviour, Health, OPERATION_HEADER, StandInUpstream, UpstreamCounts};
