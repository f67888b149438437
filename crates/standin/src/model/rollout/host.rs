//! A host as a value.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use steering::route::{
    ExposureBound, HostProgress, RolloutStage, RolloutStatus, RouteCounts, TrialShare,
};

/// Longest way of the message by which a host learns the store's time.
const CLOCK_LAG: Duration = Duration::from_millis(100);

/// A host.
pub(super) struct ModelHost {
    pub counts: BTreeMap<String, RouteCounts>,
    share: TrialShare,
    /// Statuses under way, with the time of arrival.
    arriving: VecDeque<(Duration, RolloutStatus)>,
    status: Option<RolloutStatus>,
    /// How far the host's idea of the store's time lies behind.
    clock_lag: Duration,
    /// Requests that run at the old version.
    pub running_at_old: u64,
}

impl ModelHost {
    pub fn new(rng: &mut StdRng) -> Self {
        ModelHost {
            counts: BTreeMap::new(),
            share: TrialShare::new(rng.random()),
            arriving: VecDeque::new(),
            status: None,
            clock_lag: rng.random_range(Duration::ZERO..CLOCK_LAG),
            running_at_old: 0,
        }
    }

    /// Sends a status that arrives at `at`.
    pub fn send(&mut self, at: Duration, status: RolloutStatus) {
        self.arriving.push_back((at, status));
    }

    /// Applies what has arrived, and a planned move.
    pub fn advance(&mut self, now: Duration) {
        while self.arriving.front().is_some_and(|(at, _)| *at <= now) {
            let arrived = self.arriving.pop_front().map(|(_, status)| status);
            let is_newer = |status: &RolloutStatus| {
                let known = self.status.as_ref();
                known.is_none_or(|known| status.is_newer_than(known))
            };
            if let Some(status) = arrived.filter(is_newer) {
                self.status = Some(status);
            }
        }
        let store_time = now.saturating_sub(self.clock_lag);
        let planned = self.status.as_ref();
        if let Some(planned) = planned.and_then(|status| status.planned_move(store_time)) {
            self.status = Some(planned);
        }
    }

    /// Whether a request goes to the new version.
    pub fn sends_to_new(&mut self, bound: ExposureBound, object_position: f64) -> bool {
        let Some(status) = &self.status else {
            return false;
        };
        self.share.received(status.order_revision);
        let to_new = match status.stage {
            RolloutStage::Trial { share_per_mille } => {
                self.share.may_send(bound, share_per_mille, object_position)
            }
            RolloutStage::Moving | RolloutStage::Completed => true,
            RolloutStage::RolledBack => false,
        };
        if to_new {
            self.share.sent();
        }
        to_new
    }

    /// Whether all requests go to the new version.
    pub fn has_moved(&self) -> bool {
        let status = self.status.as_ref();
        status.is_some_and(|status| status.stage == RolloutStage::Moving)
    }

    /// Whether the host knows of the roll-out.
    pub fn knows_rollout(&self) -> bool {
        self.status.is_some()
    }

    /// The report to the coordinator.
    pub fn progress(&self) -> Option<HostProgress> {
        let status = self.status.as_ref()?;
        Some(HostProgress {
            incarnation: 1,
            sequence: status.sequence,
            uses_old_version: !self.has_moved() || self.running_at_old > 0,
            counts: self.counts.clone(),
        })
    }
}
