//! Sources of time for the clock.

use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

/// A source of time that includes suspensions of the machine and never decreases.
pub trait TimeSource: Send + Sync {
    /// Returns the time since a fixed instant, such as the boot of the machine.
    fn since_boot(&self) -> Duration;
}

impl<F: Fn() -> Duration + Send + Sync> TimeSource for F {
    fn since_boot(&self) -> Duration {
        self()
    }
}

fn read_boot() -> Result<Duration, Errno> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from)
}

/// Returns a source of the time since the machine was booted. If the machine has no such clock,
/// returns one based on `Instant`, which stops while the machine is suspended.
pub(crate) fn system_source() -> Box<dyn TimeSource> {
    match read_boot() {
        // The clock was read successfully once, so later reads do not fail.
        Ok(_) => Box::new(|| read_boot().unwrap_or_default()),
        Err(error) => {
            tracing::warn!(event = "suspensions_not_counted", %error);
            let start = Instant::now();
            Box::new(move || start.elapsed())
        }
    }
}
