//! How long callers of a route wait.

use std::time::Duration;

use super::pace::Try;

/// Share of the longest time below which a caller has waited elsewhere before: it spends
/// most of a round trip and of a pause there.
const CAME_BEFORE: f64 = 0.97;
/// Part of the longest time that is kept with each caller, so that a single caller with
/// more time than all others is forgotten after some hundred.
const KEPT: f64 = 0.999;

/// The time that callers of a route state when they come for the first time, learned from
/// what they state.
///
/// Where callers state unlike times some count as having come before that have not. Nothing
/// but an order depends on it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Patience {
    longest: Duration,
}

impl Patience {
    /// Takes the time that a caller will wait; whether it came before.
    pub fn take(&mut self, time: Duration) -> Try {
        self.longest = self.longest.mul_f64(KEPT).max(time);
        match time < self.longest.mul_f64(CAME_BEFORE) {
            true => Try::Later,
            false => Try::First,
        }
    }
}
