//! This host's share of the requests that may go to a version on trial.

/// Part of the operator's bound that hosts use. Requests that were counted may end before
/// they reach an upstream.
const USED_SHARE: f64 = 0.8;

/// Operator's bound on the requests that a bad version may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBound {
    /// Share of a service's requests between the order and its end, over all hosts.
    pub share: f64,
}

/// Requests of one service that this host has received and sent to the version on trial.
///
/// The number sent never exceeds a share of those received, rounded down. So the sum over
/// all hosts keeps the bound without any message, however many hosts there are, and also
/// for hosts that are cut off or have started again.
#[derive(Debug, Default)]
pub struct TrialShare {
    order_revision: u64,
    received: u64,
    sent: u64,
}

impl TrialShare {
    /// Counts a request. Another order starts a new count.
    pub fn received(&mut self, order_revision: u64) {
        if self.order_revision != order_revision {
            *self = TrialShare {
                order_revision,
                ..TrialShare::default()
            };
        }
        self.received += 1;
    }

    /// Returns whether a request may be sent to the version on trial. `object_position` is
    /// the position of the request's object from 0 to 1, so that the same objects go there;
    /// `share_per_mille` is the share of the current stage.
    pub fn may_send(
        &self,
        bound: ExposureBound,
        share_per_mille: u16,
        object_position: f64,
    ) -> bool {
        let max = bound.share * USED_SHARE * self.received as f64;
        let is_selected = object_position < f64::from(share_per_mille) / 1_000.0;
        is_selected && (self.sent + 1) as f64 <= max
    }

    /// Counts a request that is sent to the version on trial.
    pub fn sent(&mut self) {
        self.sent += 1;
    }
}
