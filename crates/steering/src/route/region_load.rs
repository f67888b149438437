//! How full a service's upstreams in a region are.

use std::time::{Duration, Instant};

use super::average::kept;

/// Time after which a report counts a third: some periods of the work, and less than the
/// time in which callers move from one region to another.
const FADES_OVER: Duration = Duration::from_secs(2);
/// Reports, faded, below which they tell nothing of the whole region.
const REPORTS_LEAST: f64 = 1.5;

/// Load that this host's requests lately met at a service's upstreams in one region, from
/// what these told with their answers.
///
/// Where hosts are many, one hears the same upstream about once a minute, and knows the
/// load of none of them. All that it hears together still tell how full the region is.
#[derive(Debug, Default)]
pub struct RegionLoad {
    /// Sum of what was told, as shares of slots; fades with time.
    use_sum: f64,
    /// Reports that it rests on; fade alike.
    reports: f64,
    at: Option<Instant>,
}

impl RegionLoad {
    /// Takes a report of an upstream: its requests as a share of its slots.
    pub fn take(&mut self, now: Instant, use_of_slots: f64) {
        let kept = self.kept(now);
        self.use_sum = self.use_sum * kept + use_of_slots;
        self.reports = self.reports * kept + 1.0;
        self.at = Some(now);
    }

    /// Requests that a request meets at an upstream, as a share of its slots; 1 is full.
    /// None where too little was told lately.
    pub fn use_of_slots(&self, now: Instant) -> Option<f64> {
        let is_known = self.reports * self.kept(now) >= REPORTS_LEAST;
        is_known.then(|| self.use_sum / self.reports)
    }

    fn kept(&self, now: Instant) -> f64 {
        self.at.map_or(0.0, |at| kept(at, now, FADES_OVER))
    }
}
