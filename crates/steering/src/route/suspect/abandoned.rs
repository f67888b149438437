//! Requests that were given up while an upstream ran them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::work::WorkIdentity;

/// Time for which an upstream may still run a request that was given up, and end under it.
const ABANDONED_FOR: Duration = Duration::from_secs(2);
/// Requests kept in mind for an upstream, the last ones.
const ABANDONED_MOST: usize = 32;

/// A request that was given up.
#[derive(Debug, Clone, Copy)]
struct Left {
    work: WorkIdentity,
    sent: Instant,
    left: Instant,
}

/// The requests that one start of an upstream was sent and whose callers did not wait for the
/// answer, in the order in which they were given up.
#[derive(Debug, Default)]
pub struct Abandoned(VecDeque<Left>);

impl Abandoned {
    /// Notes a request that was sent at `sent` and is given up.
    pub fn note(&mut self, now: Instant, work: WorkIdentity, sent: Instant) {
        let is_over = |first: &Left| now.saturating_duration_since(first.left) >= ABANDONED_FOR;
        while self.0.len() == ABANDONED_MOST || self.0.front().is_some_and(is_over) {
            self.0.pop_front();
        }
        self.0.push_back(Left {
            work,
            sent,
            left: now,
        });
    }

    /// Those that the upstream may have been running when it ended at `ended`, with when they
    /// were sent. Each is told once.
    pub fn take(&mut self, ended: Instant) -> Vec<(WorkIdentity, Instant)> {
        let ran = |left: &Left| ended.saturating_duration_since(left.left) < ABANDONED_FOR;
        let taken = self.0.drain(..).filter(ran);
        taken.map(|left| (left.work, left.sent)).collect()
    }
}
