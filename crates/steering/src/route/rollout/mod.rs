//! Moves a service's requests to another version of its upstreams' software.
//!
//! One host coordinates a roll-out. It decides the stage from the answers that all hosts
//! count, and records it in the store; the other hosts apply it. Each host bounds by itself
//! how many requests it sends to a version that is on trial.

mod change_test;
mod coordinator;
mod evidence;
mod incumbent;
mod last_resort;
mod move_plan;
mod moved;
mod order;
mod rollouts;
mod service_versions;
mod status;
mod stop;
mod store_clock;
mod succession;
mod trial_share;
mod verdict;
mod versions;

pub use coordinator::{Coordinator, HostProgress, StageChange};
pub use evidence::{AnswerCounts, AnswerQuality, Evidence, RouteCounts};
pub use incumbent::{Incumbent, IncumbentReason};
pub use last_resort::LastResort;
pub use order::{OrderError, RolloutOrder, SoftwareVersion};
pub use rollouts::{ActiveRollout, Rollouts};
pub use service_versions::{ServiceVersions, VersionUpstreams};
pub use status::{RolloutReason, RolloutStage, RolloutStatus};
pub use stop::RolloutStop;
pub use store_clock::StoreClock;
pub use succession::{ListCondition, Succession};
pub use trial_share::{ExposureBound, TrialShare};
pub use verdict::Verdict;
pub use versions::{VersionRule, VersionUsage};
