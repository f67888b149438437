//! Averages of what holds over time, and how what was noted fades.

use std::time::{Duration, Instant};

/// Share that is left at `now` of what was noted before: a third of it after each `span`.
pub(super) fn kept(noted: Instant, now: Instant, span: Duration) -> f64 {
    let age = now.saturating_duration_since(noted);
    (-age.as_secs_f64() / span.as_secs_f64()).exp()
}

/// An average of a value in which times fade: what held one span ago counts for a third
/// of what holds now.
#[derive(Debug, Default)]
pub struct Average {
    value: f64,
    noted: Option<Instant>,
}

impl Average {
    /// Notes that `value` has held until now.
    pub fn note(&mut self, now: Instant, value: f64, span: Duration) {
        self.value = self.at(now, value, span);
        self.noted = Some(now);
    }

    /// The average at a moment until which `value` has held.
    pub fn at(&self, now: Instant, value: f64, span: Duration) -> f64 {
        let Some(noted) = self.noted else {
            return 0.0;
        };
        let kept = kept(noted, now, span);
        self.value * kept + value * (1.0 - kept)
    }
}
