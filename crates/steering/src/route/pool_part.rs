//! The upstreams of a pool that are used first by one length of work.

use super::work_mix::WorkLength;

/// Upstreams of a pool for requests of one length of work.
///
/// Short work has a part of the upstreams to itself, so that it does not wait behind long
/// work, and long work has the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolPart {
    /// Length of the request's work.
    pub length: WorkLength,
    /// Share of the pool's slots for short work, from 0 to 1.
    pub short_share: f64,
}

impl PoolPart {
    /// Returns whether an upstream belongs to the part. `place` is the share of the pool's
    /// slots that come before it in an order on which all hosts agree.
    pub fn includes(&self, place: f64) -> bool {
        let is_for_short = place < self.short_share;
        is_for_short == (self.length == WorkLength::Short)
    }
}
