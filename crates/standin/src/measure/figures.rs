//! Distributions of times.

use std::time::Duration;

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;
const LONGEST_US: u64 = 600_000_000;

/// A distribution of times.
pub struct Spread(Histogram<u64>);

impl Default for Spread {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS);
        Spread(histogram.expect("the bounds are valid"))
    }
}

impl Spread {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        self.0
            .saturating_record(time.as_micros().min(u128::from(LONGEST_US)) as u64);
    }

    /// Adds another distribution.
    pub fn merge(&mut self, other: &Spread) {
        self.0.add(&other.0).expect("all have the same bounds");
    }

    /// A quantile from 0 to 1, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// A quantile from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.quantile_us(quantile) as f64 / 1_000.0
    }
}
