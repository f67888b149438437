//! Age of a feed's state, shared between threads.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// When a feed's state was last known to match the store. Written by the control thread, read by
/// the traffic thread.
#[derive(Debug, Default)]
pub(crate) struct FeedAge(Mutex<Option<Instant>>);

impl FeedAge {
    fn as_of(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records when the state matched the store.
    pub fn record(&self, as_of: Instant) {
        *self.as_of() = Some(as_of);
    }

    /// Time since then; none if nothing was received.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of()
            .map(|as_of| now.saturating_duration_since(as_of))
    }
}
