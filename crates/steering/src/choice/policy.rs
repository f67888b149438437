//! Ways to choose an upstream; [`LeastExpected`] ships, [`LeastLoaded`] is its baseline.

use rand::{Rng, RngCore};

/// An upstream as a policy sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight that are known of or can't be ruled out.
    pub in_flight: u32,
    /// Slots that may be used now; 0 takes no new work.
    pub allowed: u32,
    /// Smoothed time to first byte in milliseconds; 0 is not known.
    pub latency_ms: f64,
}

impl Candidate {
    /// Whether a slot is free.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.allowed
    }

    fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.allowed.max(1))
    }
}

/// A way to choose; `None` means that the request should wait.
pub trait Policy: Send {
    /// Index of the chosen candidate; `waiting` requests are queued already.
    fn choose(
        &mut self,
        candidates: &[Candidate],
        waiting: usize,
        rng: &mut dyn RngCore,
    ) -> Option<usize>;
}

fn with_room(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len())
        .filter(|i| candidates[*i].has_room())
        .collect()
}

/// The least loaded by the owner's exact count.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&mut self, all: &[Candidate], _: usize, _: &mut dyn RngCore) -> Option<usize> {
        with_room(all)
            .into_iter()
            .min_by(|a, b| all[*a].load().total_cmp(&all[*b].load()))
    }
}

/// The upstream that is expected to answer first; none where waiting for a
/// faster one is expected to be quicker still.
#[derive(Debug, Default)]
pub struct LeastExpected;

impl LeastExpected {
    const WAIT_ADVANTAGE: f64 = 1.5;
    /// Where latencies are not known yet, the less loaded goes first.
    const LEAST_MS: f64 = 0.001;

    /// Expected time of a wait for a slot of the fast upstreams, then the request.
    fn wait_then_fast_ms(all: &[Candidate], slow_ms: f64, waiting: usize) -> Option<f64> {
        let faster = || {
            all.iter()
                .filter(move |c| c.allowed > 0 && c.latency_ms > 0.0 && c.latency_ms < slow_ms)
        };
        let slots: u32 = faster().map(|c| c.allowed).sum();
        if slots == 0 {
            return None;
        }
        let weighed: f64 = faster().map(|c| c.latency_ms * f64::from(c.allowed)).sum();
        let mean_ms = weighed / f64::from(slots);
        let wait_ms = mean_ms * (waiting + 1) as f64 / f64::from(slots);
        Some(mean_ms + wait_ms)
    }
}

impl Policy for LeastExpected {
    fn choose(
        &mut self,
        all: &[Candidate],
        waiting: usize,
        rng: &mut dyn RngCore,
    ) -> Option<usize> {
        let cost = |i: &usize| all[*i].latency_ms.max(Self::LEAST_MS) * (1.0 + all[*i].load());
        let free = with_room(all);
        let best = free
            .iter()
            .copied()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let equal: Vec<usize> = free
            .into_iter()
            .filter(|i| cost(i) <= cost(&best))
            .collect();
        let best = equal[rng.random_range(0..equal.len())];
        let best_ms = all[best].latency_ms;
        match Self::wait_then_fast_ms(all, best_ms, waiting) {
            Some(wait_ms) if wait_ms * Self::WAIT_ADVANTAGE < best_ms => None,
            _ => Some(best),
        }
    }
}
