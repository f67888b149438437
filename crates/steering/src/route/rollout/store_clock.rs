//! The store's time, as known to a host.

use std::time::{Duration, Instant};

/// Time for which an observation counts, since clocks run at different rates.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Estimate of the time by the store's clock.
///
/// Each observation lies behind by the time that it was under way, so the estimate is never
/// ahead of the store, and the observation that was fastest counts.
#[derive(Debug, Default)]
pub struct StoreClock {
    /// A time by the store's clock, and the time of its arrival by this host's clock.
    observed: Option<(Duration, Instant)>,
}

impl StoreClock {
    /// Records a time by the store's clock that arrives at `now`.
    pub fn observe(&mut self, store_time: Duration, now: Instant) {
        if self.time(now).is_none_or(|known| store_time > known) {
            self.observed = Some((store_time, now));
        }
    }

    /// Returns the time by the store's clock; `None` if it is unknown.
    pub fn time(&self, now: Instant) -> Option<Duration> {
        let (store_time, at) = self.observed?;
        let age = now.saturating_duration_since(at);
        (age < MAX_AGE).then_some(store_time + age)
    }
}
