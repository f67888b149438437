//! Finds out that the machine was suspended.

use std::time::{Duration, Instant};

/// Difference of the two clocks up to which they are taken to agree: they are not read at the
/// same moment.
const AGREE: Duration = Duration::from_millis(100);

/// Compares this clock with the steady one, which stands still while the machine is suspended.
#[derive(Debug)]
pub struct SuspensionDetector {
    steady: Instant,
    now: Instant,
}

impl SuspensionDetector {
    /// Begins at a moment of both clocks.
    pub fn new(steady: Instant, now: Instant) -> Self {
        SuspensionDetector { steady, now }
    }

    /// Time for which the machine was suspended since the last look; none where it was not.
    pub fn check(&mut self, steady: Instant, now: Instant) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.now);
        let counted = steady.saturating_duration_since(self.steady);
        *self = SuspensionDetector { steady, now };
        let suspended = passed.saturating_sub(counted);
        (suspended > AGREE).then_some(suspended)
    }
}
