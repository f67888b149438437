//! Detects that the machine was suspended.

use std::time::{Duration, Instant};

/// Difference between the two clocks that is not counted as a suspension, since the clocks are not
/// read at exactly the same time.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Compares this clock with the monotonic clock of the system, which stops while the machine is
/// suspended.
#[derive(Debug)]
pub struct SuspensionDetector {
    monotonic: Instant,
    now: Instant,
}

impl SuspensionDetector {
    /// Creates a detector from the current time of both clocks.
    pub fn new(monotonic: Instant, now: Instant) -> Self {
        SuspensionDetector { monotonic, now }
    }

    /// Returns the time for which the machine was suspended since the last check; none if it was
    /// not suspended.
    pub fn check(&mut self, monotonic: Instant, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.now);
        let monotonic_elapsed = monotonic.saturating_duration_since(self.monotonic);
        *self = SuspensionDetector { monotonic, now };
        let suspended = elapsed.saturating_sub(monotonic_elapsed);
        (suspended > TOLERANCE).then_some(suspended)
    }
}
