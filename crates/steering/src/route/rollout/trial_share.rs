//! This host's share of the requests that may go to a version on trial.

use std::time::Duration;

/// Part of the operator's bound that hosts use on trial. Requests that were counted may end before
/// they reach an upstream.
const USED_SHARE: f64 = 0.8;

/// Operator's bound on the requests that a bad version may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Share of a service's requests between the order and its end, over all hosts.
    pub share: f64,
    /// Time before the deadline at which all requests move at the latest, also if a version
    /// that turns bad then gets more than its share. With 0 the share goes first, and a good
    /// version may be completed after the deadline.
    pub min_moving_time: Duration,
}

/// Requests of one service that this host has received and sent to the version on trial.
///
/// The number sent never exceeds a share of those received. So the sum over all hosts keeps
/// the bound without any message, however many hosts there are, and also for hosts that are
/// cut off or have started again. The share is rounded at random, since hosts with few
/// requests would otherwise try nothing.
#[derive(Debug, Default)]
pub struct TrialShare {
    order_revision: u64,
    received: u64,
    sent: u64,
    /// Added to the share of the received requests before it is rounded down; from 0 to 1,
    /// another number on each host.
    rounding: f64,
}

impl TrialShare {
    /// Creates a count; `rounding` is a random number from 0 to 1.
    pub fn new(rounding: f64) -> Self {
        TrialShare {
            rounding,
            ..TrialShare::default()
        }
    }

    /// Counts a request. Another order starts a new count.
    pub fn received(&mut self, order_revision: u64) {
        if self.order_revision != order_revision {
            *self = TrialShare {
                order_revision,
                ..TrialShare::new(self.rounding)
            };
        }
        self.received += 1;
    }

    /// Returns whether a request may be sent to the version on trial. `object_position` is
    /// the position of the request's object from 0 to 1, so that the same objects go there;
    /// `share_per_mille` is the share of the current stage, which the sum keeps as well.
    pub fn may_send(
        &self,
        bound: ExposureBound,
        share_per_mille: u16,
        object_position: f64,
    ) -> bool {
        let share = f64::from(share_per_mille) / 1_000.0;
        let max = share.min(bound.share * USED_SHARE) * self.received as f64;
        let is_selected = object_position < share;
        is_selected && (self.sent + 1) as f64 <= max + self.rounding
    }

    /// Counts a request that is sent to the version on trial.
    pub fn sent(&mut self) {
        self.sent += 1;
    }
}
