//! The time by which ages are judged: it goes on while the machine is suspended.
//!
//! `std::time::Instant` and the runtime's timers stand still meanwhile, so that whatever a host
//! believes, leases or was told to wait for would be too young by the time of the suspension.
//! Moments of this clock are `Instant`s of their own time line: compare them with [`now`], and
//! wait for them by [`remaining`], never by a timer's deadline.
//!
//! ```
//! let begun = clock::now();
//! assert!(clock::elapsed(begun) <= clock::elapsed(begun));
//! ```

mod source;
mod suspension_detector;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

pub use source::TimeSource;
pub use suspension_detector::SuspensionDetector;

/// The process's clock.
struct Clock {
    source: Box<dyn TimeSource>,
    /// The moment of this clock at which `source` was at `begun`.
    origin: Instant,
    begun: Duration,
}

impl Clock {
    fn new(source: Box<dyn TimeSource>) -> Self {
        Clock {
            begun: source.since_boot(),
            origin: Instant::now(),
            source,
        }
    }
}

static CLOCK: OnceLock<Clock> = OnceLock::new();

/// This moment. It never goes back.
pub fn now() -> Instant {
    let clock = CLOCK.get_or_init(|| Clock::new(source::of_machine()));
    clock.origin + clock.source.since_boot().saturating_sub(clock.begun)
}

/// Time since a moment of this clock; zero where it is yet to come.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Time until a moment of this clock; zero once it has come.
pub fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(now())
}

/// Has the process read another source of time, as tests do; false where the clock has been
/// read before, and nothing changes.
pub fn install(source: Box<dyn TimeSource>) -> bool {
    CLOCK.set(Clock::new(source)).is_ok()
}
