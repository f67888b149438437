//! Exponentially decaying averages over time.

use std::time::{Duration, Instant};

/// Returns the weight at `now` of a value recorded at `noted`: one third remains after each
/// `span`.
pub(super) fn decay(recorded: Instant, now: Instant, span: Duration) -> f64 {
    let age = now.saturating_duration_since(recorded);
    (-age.as_secs_f64() / span.as_secs_f64()).exp()
}

/// Time-weighted average with exponential decay: what held one span ago has a third of the
/// weight of what holds now.
#[derive(Debug, Default)]
pub struct Average {
    value: f64,
    recorded: Option<Instant>,
}

impl Average {
    /// Records that `value` has held until now.
    pub fn note(&mut self, now: Instant, value: f64, span: Duration) {
        self.value = self.at(now, value, span);
        self.recorded = Some(now);
    }

    /// Returns the average at `now`, if `value` has held until then.
    pub fn at(&self, now: Instant, value: f64, span: Duration) -> f64 {
        let Some(recorded) = self.recorded else {
            return 0.0;
        };
        let decay = decay(recorded, now, span);
        self.value * decay + value * (1.0 - decay)
    }
}
