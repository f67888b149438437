//! A monotonic clock that continues while the machine is suspended.
//!
//! `std::time::Instant` and the runtime's timers stop during a suspension. Measured with them, the
//! age of a host's known state, leases and waiting times would be too small by the time of the
//! suspension. The `Instant`s of this clock belong to a separate time line: compare them only with
//! [`now`], and sleep for [`remaining`] instead of until a timer's deadline.
//!
//! ```
//! let start = clock::now();
//! assert!(clock::elapsed(start) <= clock::elapsed(start));
//! ```

mod source;
mod suspension_detector;

use std::sync::OnceLock;
use std::time::{Duration, Instant};

pub use source::TimeSource;
pub use suspension_detector::SuspensionDetector;

/// The clock of the process.
struct Clock {
    source: Box<dyn TimeSource>,
    /// Instant of this clock at which `source` returned `source_origin`.
    origin: Instant,
    source_origin: Duration,
}

impl Clock {
    fn new(source: Box<dyn TimeSource>) -> Self {
        Clock {
            source_origin: source.since_boot(),
            origin: Instant::now(),
            source,
        }
    }
}

static CLOCK: OnceLock<Clock> = OnceLock::new();

/// Returns the current time, which never decreases.
pub fn now() -> Instant {
    let clock = CLOCK.get_or_init(|| Clock::new(source::system_source()));
    clock.origin
        + clock
            .source
            .since_boot()
            .saturating_sub(clock.source_origin)
}

/// Returns the time since an instant of this clock; zero if the instant is in the future.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Returns the time until an instant of this clock; zero if the instant is in the past.
pub fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(now())
}

/// Sets the time source of the process, for tests. Returns false, without effect, if the clock was
/// already read or installed.
pub fn install(source: Box<dyn TimeSource>) -> bool {
    CLOCK.set(Clock::new(source)).is_ok()
}
