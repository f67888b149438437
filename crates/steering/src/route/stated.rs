//! What an upstream has said of itself in its answers to this host.

use std::time::{Duration, Instant};

/// The statements of one start of an upstream that still hold.
#[derive(Debug, Default)]
pub struct Stated {
    /// Whether it leaves; never taken back.
    leaves: bool,
    /// Until when it wants nothing from this host.
    rests_until: Option<Instant>,
}

impl Stated {
    /// Takes that it leaves; true where that is new.
    pub fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaves, true)
    }

    /// Takes that it wants nothing for `rest` from now on. Of rests that overlap the later
    /// end holds; true where this is that.
    pub fn rest(&mut self, now: Instant, rest: Duration) -> bool {
        let until = now + rest;
        let is_later = self.rests_until.is_none_or(|known| known < until);
        if is_later && !rest.is_zero() {
            self.rests_until = Some(until);
        }
        is_later && !rest.is_zero()
    }

    /// Whether it has said that it leaves.
    pub fn leaves(&self) -> bool {
        self.leaves
    }

    /// How much longer it wants nothing; none where it does not.
    pub fn rests_for(&self, now: Instant) -> Option<Duration> {
        let rests = self
            .rests_until
            .map(|until| until.saturating_duration_since(now));
        rests.filter(|rests| !rests.is_zero())
    }
}
