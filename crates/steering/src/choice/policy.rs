//! Policies for choosing an upstream. [`LeastExpected`] is used in production, [`LeastLoaded`] is
//! its baseline in comparisons.

use rand::{Rng, RngCore};

/// An upstream as seen by a policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests in flight, including those of other hosts that cannot be ruled out.
    pub in_flight: u32,
    /// Number of slots that may be used now; 0 if the upstream accepts no work.
    pub allowed: u32,
    /// Moving average of the time to first byte, in milliseconds; 0 if unknown.
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

/// A policy for choosing an upstream.
pub trait Policy: Send {
    /// Returns the index of the chosen candidate, or `None` if the request should wait. `waiting`
    /// is the number of requests queued already.
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

/// Chooses the upstream with the lowest ratio of requests in flight to slots.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Policy for LeastLoaded {
    fn choose(&mut self, all: &[Candidate], _: usize, _: &mut dyn RngCore) -> Option<usize> {
        with_room(all)
            .into_iter()
            .min_by(|a, b| all[*a].load().total_cmp(&all[*b].load()))
    }
}

/// Chooses the upstream that is expected to answer first, or none if waiting for a faster upstream
/// is expected to be quicker.
#[derive(Debug, Default)]
pub struct LeastExpected;

impl LeastExpected {
    const WAIT_ADVANTAGE: f64 = 1.5;
    /// Lower bound of latencies, so that upstreams with unknown latency are compared by load.
    const MIN_LATENCY_MS: f64 = 0.001;

    /// Expected time to wait for a slot of a faster upstream and run the request there.
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
        let cost =
            |i: &usize| all[*i].latency_ms.max(Self::MIN_LATENCY_MS) * (1.0 + all[*i].load());
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
