//! The order in which zones are tried for a request.

use rand::{Rng, RngCore};

use crate::ids::ZoneName;

/// Load relative to slots from which a zone is excluded when zones are drawn by share.
const FULL_LOAD: f64 = 1.25;

/// A zone as a candidate for a request, by this host's latest load reports.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneCandidate {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Weight set by a rule, above 0; `None` if no rule applies to the request.
    pub share: Option<f64>,
    /// One-way network latency from this host, in milliseconds.
    pub one_way_ms: f64,
    /// Number of usable slots, as last reported.
    pub capacity: f64,
    /// Number of requests in flight or queued, as last reported.
    pub in_flight: f64,
    /// Expected duration of a request, in milliseconds.
    pub latency_ms: f64,
}

impl ZoneCandidate {
    /// Whether the zone is too full to be drawn by share.
    fn is_full(&self) -> bool {
        self.in_flight >= self.capacity * FULL_LOAD
    }

    /// Expected wait for a slot. Requests beyond the slots wait for one another, each for the time
    /// until one of the slots is free. A zone near its capacity has some wait by chance.
    fn wait_ms(&self) -> f64 {
        let slots = self.capacity.max(1.0);
        let over = (self.in_flight + 1.0 - slots).max(0.0);
        let busy = (self.in_flight / slots).min(1.0);
        self.latency_ms / slots * (over + busy.powf(slots.sqrt()))
    }

    /// Expected time to the first byte: network round trip, wait and request duration.
    fn cost_ms(&self) -> f64 {
        2.0 * self.one_way_ms + self.latency_ms + self.wait_ms()
    }
}

/// Returns the indexes of zones in the order in which they should be tried.
///
/// If there are shares, the first zone is drawn by share among those that are not full, and the
/// others follow by cost. Without shares all are ordered by cost. Zones without capacity come last
/// instead of being dropped, since the reports may be outdated and the owner of a zone's pool
/// refuses what it cannot take.
pub fn rank_zones(views: &[ZoneCandidate], rng: &mut dyn RngCore) -> Vec<usize> {
    let mut order: Vec<usize> = (0..views.len())
        .filter(|i| views[*i].share.is_none_or(|share| share > 0.0))
        .collect();
    order.sort_by(|a, b| {
        let (a, b) = (&views[*a], &views[*b]);
        let empty = (a.capacity < 1.0).cmp(&(b.capacity < 1.0));
        empty.then(a.cost_ms().total_cmp(&b.cost_ms()))
    });
    if let Some(first) = draw(views, &order, rng) {
        order.retain(|i| *i != first);
        order.insert(0, first);
    }
    order
}

fn draw(views: &[ZoneCandidate], order: &[usize], rng: &mut dyn RngCore) -> Option<usize> {
    let weight = |i: &usize| match &views[*i] {
        view if view.is_full() => 0.0,
        view => view.share.unwrap_or(0.0),
    };
    let sum: f64 = order.iter().map(weight).sum();
    if sum <= 0.0 {
        return None;
    }
    let mut point = rng.random_range(0.0..sum);
    for i in order {
        point -= weight(i);
        if point < 0.0 {
            return Some(*i);
        }
    }
    None
}
