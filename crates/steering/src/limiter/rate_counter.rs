//! Admission by the number of requests in any second.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Units;

/// Length of the window over which a rate is counted.
pub const WINDOW: Duration = Duration::from_secs(1);
const SLICES: u32 = 20;

/// Counts admissions over a sliding window, in slices of a twentieth of the window.
#[derive(Debug, Clone)]
pub struct RateCounter {
    start: Instant,
    /// Slice number and admissions, oldest first; all within the window.
    slices: VecDeque<(u64, Units)>,
    /// Units allowed now; a pending increase is in `increase`.
    allowed: Units,
    increase: Option<(Instant, Units)>,
}

impl RateCounter {
    /// Creates a counter that allows no requests.
    pub fn new(now: Instant) -> Self {
        RateCounter {
            start: now,
            slices: VecDeque::new(),
            allowed: 0,
            increase: None,
        }
    }

    /// Sets the units allowed in any second.
    ///
    /// An increase takes effect a whole window later, since the previous holder of the units may
    /// have used them until now.
    pub fn allow(&mut self, now: Instant, units: Units) {
        self.settle(now);
        if units <= self.allowed {
            self.allowed = units;
            self.increase = None;
            return;
        }
        let pending = self.increase.map(|(_, units)| units);
        if pending != Some(units) {
            self.increase = Some((now + WINDOW + WINDOW / SLICES, units));
        }
    }

    /// Admits one request if the window has a free unit.
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

    /// Reverts an admission whose request was not sent.
    pub fn give_back(&mut self, now: Instant) {
        let slice = self.slice(now);
        if let Some((last, units)) = self.slices.back_mut()
            && *last == slice
        {
            *units = units.saturating_sub(1);
        }
    }

    /// Units allowed now, without a pending increase.
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
        if let Some((at, units)) = self.increase
            && now >= at
        {
            self.allowed = units;
            self.increase = None;
        }
        // One slice more than the window, since the oldest slice counts in full.
        let current = self.slice(now);
        while let Some((slice, _)) = self.slices.front() {
            if slice + u64::from(SLICES) >= current {
                break;
            }
            self.slices.pop_front();
        }
    }
}
