//! Where the time comes from.

use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

/// Tells the time since some moment, that of suspensions included. It never goes back.
pub trait TimeSource: Send + Sync {
    /// Time since that moment.
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

/// The machine's time since it was booted; that of the steady clock, which stands still while the
/// machine is suspended, where it has no other.
pub(crate) fn of_machine() -> Box<dyn TimeSource> {
    match read_boot() {
        // It has been read once, so that it can be read again.
        Ok(_) => Box::new(|| read_boot().unwrap_or_default()),
        Err(error) => {
            tracing::warn!(event = "suspensions_not_counted", %error);
            let begun = Instant::now();
            Box::new(move || begun.elapsed())
        }
    }
}
