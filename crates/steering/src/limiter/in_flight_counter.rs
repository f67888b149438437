//! Admission by the number of requests in flight.

use super::Units;

/// Counts requests in flight against a number of allowed units that may change.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter {
    allowed: Units,
    in_flight: Units,
}

impl InFlightCounter {
    /// Sets the allowed units; requests in flight are not affected.
    pub fn allow(&mut self, units: Units) {
        self.allowed = units;
    }

    /// Admits one request if a unit is free.
    pub fn admit(&mut self) -> bool {
        if self.in_flight >= self.allowed {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records the end of a request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> Units {
        self.in_flight
    }

    /// Units that can be lent or returned without affecting requests in flight.
    pub fn idle(&self) -> Units {
        self.allowed.saturating_sub(self.in_flight)
    }
}
