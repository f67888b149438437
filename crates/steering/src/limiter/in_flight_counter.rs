//! Requests in flight, never above what is allowed.

use super::Units;

/// Counts requests in flight against an allowance that may move.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    allowed: Units,
    in_flight: Units,
}

impl InFlightCounter {
    /// Sets the allowance; what is in flight stays.
    pub fn allow(&mut self, units: Units) {
        self.allowed = units;
    }

    /// Admits one request where there is room.
    pub fn admit(&mut self) -> bool {
        if self.in_flight >= self.allowed {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// A request has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Units in flight.
    pub fn in_flight(&self) -> Units {
        self.in_flight
    }

    /// Units that can be lent or given back without touching what is in flight.
    pub fn idle(&self) -> Units {
        self.allowed.saturating_sub(self.in_flight)
    }
}
