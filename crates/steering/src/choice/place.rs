//! The order in which zones are tried for a request.

use rand::{Rng, RngCore};

use crate::ids::ZoneName;

const FULL: f64 = 0.98;

/// A zone as a place for a service, as believed now.
#[derive(Debug, Clone, PartialEq)]
pub struct PlaceView {
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

impl PlaceView {
    fn is_full(&self) -> bool {
        self.in_flight >= self.capacity * FULL
    }

    /// Expected time to the first byte: both ways, the wait and the request.
    fn cost_ms(&self) -> f64 {
        let use_share = self.in_flight / self.capacity.max(1.0);
        let wait_ms = match use_share {
            u if u >= FULL => self.latency_ms * (1.0 + u) * 4.0,
            u => self.latency_ms * u.powi(4) / (1.0 - u) / self.capacity.max(1.0),
        };
        2.0 * self.one_way_ms + self.latency_ms + wait_ms
    }
}

/// Indexes of places in the order they should be tried.
///
/// With shares the first is drawn by share among those with room, and the rest
/// follow by cost; without, all are in the order of cost. Places without
/// capacity come last: belief may be wrong, and their owner refuses what it
/// can't take.
pub fn choose_places(views: &[PlaceView], rng: &mut dyn RngCore) -> Vec<usize> {
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

fn draw(views: &[PlaceView], order: &[usize], rng: &mut dyn RngCore) -> Option<usize> {
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
