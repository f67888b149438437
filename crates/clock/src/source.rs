//! Where the time comes from.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::errno::Errno;
use nix::time::{ClockId, clock_gettime};

/// Tells the time since some moment, that of suspensions included. It never goes back.
pub trait TimeSource: Send + Sync {
    /// Time since that moment.
    fn since_boot(&self) -> Duration;
}

/// The machine's clock of the time since it was booted.
struct Boot;

impl TimeSource for Boot {
    fn since_boot(&self) -> Duration {
        // It was read before, or would not be in use.
        read_boot().unwrap_or_default()
    }
}

/// The steady clock, which stands still while the machine is suspended.
struct Steady(OnceLock<Instant>);

impl TimeSource for Steady {
    fn since_boot(&self) -> Duration {
        self.0.get_or_init(Instant::now).elapsed()
    }
}

fn read_boot() -> Result<Duration, Errno> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from)
}

/// The machine's source: the steady clock where it has no other.
pub(crate) fn of_machine() -> Box<dyn TimeSource> {
    match read_boot() {
        Ok(_) => Box::new(Boot),
        Err(error) => {
            tracing::warn!(event = "suspensions_not_counted", %error);
            Box::new(Steady(OnceLock::new()))
        }
    }
}
