//! How old what a host knows of a feed is.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// When what is known of a feed was true in the store. Written by the thread that follows the
/// feed, read by the one that answers callers.
#[derive(Debug, Default)]
pub(crate) struct Heard(Mutex<Option<Instant>>);

impl Heard {
    fn as_of(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes when it was true.
    pub fn note(&self, as_of: Instant) {
        *self.as_of() = Some(as_of);
    }

    /// Time since then; none where nothing is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of().map(|at| now.saturating_duration_since(at))
    }
}
