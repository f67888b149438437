//! Admissions in any second, never above what is allowed.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Units;

/// The window that a rate is counted over.
pub const WINDOW: Duration = Duration::from_secs(1);
const SLICES: u32 = 20;

/// Counts admissions over a sliding window, in slices of a twentieth of it.
#[derive(Debug, Clone)]
pub struct RateCounter {
    start: Instant,
    /// Slice number and admissions, oldest first; all within the window.
    slices: VecDeque<(u64, Units)>,
    /// Allowed units; a rise counts only from the time beside it.
    allowed: Units,
    rise: Option<(Instant, Units)>,
}

impl RateCounter {
    /// Nothing is allowed yet.
    pub fn new(now: Instant) -> Self {
        RateCounter {
            start: now,
            slices: VecDeque::new(),
            allowed: 0,
            rise: None,
        }
    }

    /// Sets the units for any second.
    ///
    /// A rise takes force a whole window later: whoever held the units before
    /// may have used them until now.
    pub fn allow(&mut self, now: Instant, units: Units) {
        self.settle(now);
        if units <= self.allowed {
            self.allowed = units;
            self.rise = None;
            return;
        }
        let pending = self.rise.map(|(_, units)| units);
        if pending != Some(units) {
            self.rise = Some((now + WINDOW + WINDOW / SLICES, units));
        }
    }

    /// Admits one request where the window has room.
    pub fn admit(&mut self, now: Instant) -> bool {
        self.settle(now);
        let used: Units = self.slices.iter().map(|(_, units)| units).sum();
        if used >= self.allowed {
            return false;
        }
        let slice = self.slice(now);
        match self.slices.back_mut() {
            Some((last, units)) if *last == slice => *units += 1,
            _ => self.slices.push_back((slice, 1)),
        }
        true
    }

    /// Takes back an admission that came to nothing.
    pub fn give_back(&mut self, now: Instant) {
        let slice = self.slice(now);
        if let Some((last, units)) = self.slices.back_mut()
            && *last == slice
        {
            *units = units.saturating_sub(1);
        }
    }

    /// Units allowed now, without a rise that is yet to come.
    pub fn allowed(&self) -> Units {
        self.allowed
    }

    /// Units used in the last window.
    pub fn used(&mut self, now: Instant) -> Units {
        self.settle(now);
        self.slices.iter().map(|(_, units)| units).sum()
    }

    fn slice(&self, now: Instant) -> u64 {
        let since = now.saturating_duration_since(self.start);
        (since.as_nanos() / (WINDOW / SLICES).as_nanos()) as u64
    }

    fn settle(&mut self, now: Instant) {
        if let Some((at, units)) = self.rise
            && now >= at
        {
            self.allowed = units;
            self.rise = None;
        }
        // One slice more than the window holds: the oldest counts whole.
        let current = self.slice(now);
        while let Some((slice, _)) = self.slices.front() {
            if slice + u64::from(SLICES) >= current {
                break;
            }
            self.slices.pop_front();
        }
    }
}
