//! Tells returning callers from first-time ones by the timeouts that they state.

use std::time::Duration;

/// Share of the longest timeout below which a caller counts as returning: it has spent most
/// of a round trip and of a pause elsewhere.
const RETURNING_TIMEOUT_SHARE: f64 = 0.97;
/// Factor by which the longest timeout decays with each caller. A single caller with a
/// longer timeout than all others is forgotten after some hundred callers.
const LONGEST_DECAY: f64 = 0.999;

/// Whether a request's caller was refused before, as far as can be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAttempt {
    /// The caller's first request; if refused, the caller tries again.
    First,
    /// A later request of the caller; if refused again, the caller gives up.
    Later,
}

/// Timeout that callers of a route state on their first request, learned from the stated
/// timeouts.
///
/// If callers state different timeouts, some first-time callers count as returning. Only
/// the order of retries depends on the result.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTimeouts {
    longest_timeout: Duration,
}

impl CallerTimeouts {
    /// Records a caller's timeout and returns whether the caller came before.
    pub fn take(&mut self, timeout: Duration) -> CallerAttempt {
        self.longest_timeout = self.longest_timeout.mul_f64(LONGEST_DECAY).max(timeout);
        match timeout < self.longest_timeout.mul_f64(RETURNING_TIMEOUT_SHARE) {
            true => CallerAttempt::Later,
            false => CallerAttempt::First,
        }
    }
}
