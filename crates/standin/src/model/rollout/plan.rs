//! What is played.

use std::time::Duration;

use steering::route::ExposureBound;

use super::version::ModelVersion;

/// A roll-out of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutPlan {
    /// Hosts that receive the requests.
    pub hosts: usize,
    /// Requests a second over all hosts.
    pub rate_per_s: u64,
    /// Time that the order gives.
    pub duration: Duration,
    /// The operator's bound.
    pub bound: ExposureBound,
    /// Requests that a bad version may get beyond the bound's share.
    pub exposure_slack: u64,
    /// Longest response time of the old version.
    pub longest_response: Duration,
    /// The new version.
    pub version: ModelVersion,
    /// Seed of all that is random.
    pub seed: u64,
}

impl Default for RolloutPlan {
    fn default() -> Self {
        RolloutPlan {
            hosts: 88,
            rate_per_s: 1_400,
            duration: Duration::from_secs(12),
            bound: ExposureBound {
                share: 0.1,
                min_moving_time: Duration::ZERO,
            },
            exposure_slack: 50,
            longest_response: Duration::from_millis(700),
            version: ModelVersion::GOOD,
            seed: 1,
        }
    }
}
