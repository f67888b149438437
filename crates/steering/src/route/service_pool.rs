//! Upstreams of a service.

use std::collections::BTreeMap;
use std::time::Instant;

use super::document::ServiceTerms;
use super::region_pool::RegionPool;
use super::rollout::{SoftwareVersion, VersionRule};
use crate::ids::RegionName;
use crate::statement::Obstacle;

/// Upstreams of a service by region.
#[derive(Debug, Default)]
pub struct ServicePool {
    /// Regions with at least one upstream.
    pub regions: BTreeMap<RegionName, RegionPool>,
    /// Settings of the service; `None` if the document does not list it.
    pub terms: Option<ServiceTerms>,
    /// The roll-out that has not been decided yet, if any.
    pub rollout: Option<ServiceRollout>,
}

/// A roll-out that has not been decided yet.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRollout {
    /// Revision of the order.
    pub order_revision: u64,
    /// The version that is rolled out.
    pub version: SoftwareVersion,
    /// Thousandths of the requests that go to the version while it is on trial; `None` once
    /// all requests go to it.
    pub trial_per_mille: Option<u16>,
}

/// Number of a service's upstreams whose statements to this host restrict the work sent to
/// them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatementCounts {
    /// Upstreams that asked for rest or have just finished one.
    pub resting: usize,
    /// Upstreams that are shutting down.
    pub leaving: usize,
    /// Upstreams that declare a rate limit.
    pub limiting: usize,
}

impl ServicePool {
    /// Applies the rule of a roll-out to the pools.
    pub(super) fn begin_rollout(&mut self, rule: &VersionRule) {
        self.rollout = rule.rollout();
        let trial = self.rollout.as_ref();
        let Some((order_revision, share_per_mille)) =
            trial.and_then(|rollout| Some((rollout.order_revision, rollout.trial_per_mille?)))
        else {
            return;
        };
        let pools = self.regions.values_mut();
        for pool in pools.filter_map(|pool| pool.other_version.as_mut()) {
            pool.keep_for_trial(order_revision, share_per_mille);
        }
    }

    /// Counts the service's upstreams by their statements.
    pub fn statement_counts(&self, now: Instant) -> StatementCounts {
        let mut counts = StatementCounts::default();
        let pools = self.regions.values();
        for upstream in pools.flat_map(|region| &region.upstreams) {
            let Some(state) = upstream.observed_state() else {
                continue;
            };
            counts.limiting += usize::from(state.statements.known_limit(now).is_some());
            match state.obstacle(now) {
                Some(Obstacle::Rests(_) | Obstacle::TrialPending) => counts.resting += 1,
                Some(Obstacle::Leaves) => counts.leaving += 1,
                _ => {}
            }
        }
        counts
    }
}
