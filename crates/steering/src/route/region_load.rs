//! Estimates the utilization of a service's upstreams in a region.

use std::time::{Duration, Instant};

use super::average::decay;

/// Time constant for the decay of reports: several work times, and shorter than the time in
/// which callers move between regions.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Minimum decayed number of reports that represent the region.
const MIN_REPORTS: f64 = 1.5;

/// Recent load at a service's upstreams in one region, from the load reports in their
/// answers.
///
/// With many hosts, one host hears the same upstream about once a minute and knows the load
/// of none of them. All reports together still show the utilization of the region.
#[derive(Debug, Default)]
pub struct RegionLoad {
    /// Decayed sum of the reported loads, as shares of slots.
    use_sum: f64,
    /// Decayed number of reports.
    reports: f64,
    at: Option<Instant>,
}

impl RegionLoad {
    /// Records the requests of an upstream as a share of its slots.
    pub fn take(&mut self, now: Instant, use_of_slots: f64) {
        let remaining = self.remaining(now);
        self.use_sum = self.use_sum * remaining + use_of_slots;
        self.reports = self.reports * remaining + 1.0;
        self.at = Some(now);
    }

    /// Returns the load that a request meets at an upstream, as a share of its slots; 1 is
    /// full. `None` if there are too few recent reports.
    pub fn use_of_slots(&self, now: Instant) -> Option<f64> {
        let is_known = self.reports * self.remaining(now) >= MIN_REPORTS;
        is_known.then(|| self.use_sum / self.reports)
    }

    fn remaining(&self, now: Instant) -> f64 {
        self.at
            .map_or(0.0, |at| decay(at, now, REPORT_TIME_CONSTANT))
    }
}
