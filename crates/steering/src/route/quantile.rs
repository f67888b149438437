//! Estimates a quantile of a stream of durations.

use std::time::Duration;

/// Running estimate of one quantile of durations in constant memory.
///
/// Each duration moves the estimate by a share of itself: up by `step * q` if the duration
/// is above the estimate, down by `step * (1 - q)` if it is below (stochastic
/// approximation: Robbins and Monro, "A stochastic approximation method", Annals of
/// Mathematical Statistics 22(3), 1951). An outlier moves the estimate no further than any
/// other duration.
#[derive(Debug, Clone)]
pub struct Quantile {
    /// The quantile; above 0 and below 1.
    q: f64,
    /// The estimate, in milliseconds; above 0.
    value_ms: f64,
    /// Number of durations recorded.
    recorded: u32,
}

/// Step sizes of the estimate, as a share of itself: the first one, and the minimum later.
const FIRST_STEP: f64 = 0.5;
const MIN_STEP: f64 = 0.06;

impl Quantile {
    /// Starts with a guess, which the first durations quickly correct.
    pub fn new(q: f64, guess: Duration) -> Self {
        Quantile {
            q,
            value_ms: guess.as_secs_f64().max(1e-6) * 1_000.0,
            recorded: 0,
        }
    }

    /// Records a duration.
    pub fn take(&mut self, time: Duration) {
        let step = (FIRST_STEP / f64::from(1 + self.recorded / 2)).max(MIN_STEP);
        self.recorded = self.recorded.saturating_add(1);
        let factor = match time.as_secs_f64() * 1_000.0 > self.value_ms {
            true => 1.0 + step * self.q,
            false => 1.0 - step * (1.0 - self.q),
        };
        self.value_ms *= factor;
    }

    /// Returns the estimate.
    pub fn value(&self) -> Duration {
        Duration::from_secs_f64(self.value_ms / 1_000.0)
    }
}
