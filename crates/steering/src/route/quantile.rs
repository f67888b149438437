//! A quantile that follows a stream of times.

use std::time::Duration;

/// A running estimate of one quantile of times, in bounded memory.
///
/// Each time moves it by a share of itself: up by `step * q` where the time is above it,
/// down by `step * (1 - q)` where it is below (stochastic approximation: Robbins and
/// Monro, "A stochastic approximation method", Annals of Mathematical Statistics 22(3),
/// 1951). A single odd time moves it no further than any other, however odd it is.
#[derive(Debug, Clone)]
pub struct Quantile {
    /// Which one; above 0 and below 1.
    q: f64,
    /// In milliseconds; above 0.
    value_ms: f64,
    /// Times taken so far.
    taken: u32,
}

/// Share of itself by which the estimate moves at first, and at least later on.
const STEP_FIRST: f64 = 0.5;
const STEP_LEAST: f64 = 0.06;

impl Quantile {
    /// Begins with a guess, which the first times quickly move.
    pub fn new(q: f64, guess: Duration) -> Self {
        Quantile {
            q,
            value_ms: guess.as_secs_f64().max(1e-6) * 1_000.0,
            taken: 0,
        }
    }

    /// Takes a time.
    pub fn take(&mut self, time: Duration) {
        let step = (STEP_FIRST / f64::from(1 + self.taken / 2)).max(STEP_LEAST);
        self.taken = self.taken.saturating_add(1);
        let factor = match time.as_secs_f64() * 1_000.0 > self.value_ms {
            true => 1.0 + step * self.q,
            false => 1.0 - step * (1.0 - self.q),
        };
        self.value_ms *= factor;
    }

    /// The estimate.
    pub fn value(&self) -> Duration {
        Duration::from_secs_f64(self.value_ms / 1_000.0)
    }
}
