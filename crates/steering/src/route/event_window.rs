//! Counts events within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Times of events within a sliding window.
#[derive(Debug, Default)]
pub(super) struct EventWindow(VecDeque<Instant>);

impl EventWindow {
    /// Number of events that are younger than `window`; drops the older ones.
    pub fn count(&mut self, now: Instant, window: Duration) -> usize {
        while self
            .0
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= window)
        {
            self.0.pop_front();
        }
        self.0.len()
    }

    /// Number of events that are younger than `window`; keeps the older ones.
    pub fn count_recent(&self, now: Instant, window: Duration) -> usize {
        let is_past = |at: &Instant| now.saturating_duration_since(*at) >= window;
        self.0.len() - self.0.partition_point(is_past)
    }

    /// Records an event.
    pub fn add(&mut self, now: Instant) {
        self.0.push_back(now);
    }
}
