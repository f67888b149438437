//! When a feed was last heard of.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// When the store, or a host that had asked it, last told what a feed says. Written by the
/// thread that follows the feed, read by the one that answers callers.
#[derive(Debug, Default)]
pub(crate) struct Heard(Mutex<Option<Instant>>);

impl Heard {
    fn at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that it was heard.
    pub fn note(&self, now: Instant) {
        *self.at() = Some(now);
    }

    /// Time since it was heard; none before it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.at().map(|at| now.saturating_duration_since(at))
    }
}
