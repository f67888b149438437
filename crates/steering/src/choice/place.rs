//! The order in which zones are tried for a request.

use rand::{Rng, RngCore};

use crate::ids::ZoneName;

/// Load over slots from which a place is left out when shares are drawn.
const FULL: f64 = 1.25;

/// A zone as a place for a service, as believed now.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneCandidate {
    /// The zone.
    pub zone: ZoneName,
    /// Share set by a rule, over 0; none where no rule is for the request.
    pub share: Option<f64>,
    /// One way from here, in milliseconds.
    pub one_way_ms: f64,
    /// Slots that may be used, as believed.
    pub capacity: f64,
    /// Requests in flight or queued, as believed.
    pub in_flight: f64,
    /// Expected time of a request, in milliseconds.
    pub latency_ms: f64,
}

impl ZoneCandidate {
    /// Whether more wait than a place should be given by a share.
    fn is_full(&self) -> bool {
        self.in_flight >= self.capacity * FULL
    }

    /// Expected wait for a slot: those over the slots go one after another, each
    /// a slot's part of a request's time; a busy place has some wait by chance.
    fn wait_ms(&self) -> f64 {
        let slots = self.capacity.max(1.0);
        let over = (self.in_flight + 1.0 - slots).max(0.0);
        let busy = (self.in_flight / slots).min(1.0);
        self.latency_ms / slots * (over + busy.powf(slots.sqrt()))
    }

    /// Expected time to the first byte: both ways, the wait and the request.
    fn cost_ms(&self) -> f64 {
        2.0 * self.one_way_ms + self.latency_ms + self.wait_ms()
    }
}

/// Indexes of places in the order they should be tried.
///
/// With shares the first is drawn by share among those with room, and the rest
/// follow by cost; without, all are in the order of cost. Places without
/// capacity come last: belief may be wrong, and their owner refuses what it
/// can't take.
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
