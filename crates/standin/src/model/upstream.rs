//! An upstream of the model.

use std::collections::VecDeque;

use rand::Rng;
use rand::rngs::StdRng;

/// Requests that wait inside an upstream before it sheds.
const INNER_QUEUE: usize = 64;

/// How cold an upstream's cache is for the traffic that is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cache {
    /// Factor on the service time of a request that misses.
    pub miss_factor: f64,
    /// Requests after which about 63 % hit.
    pub warm_after: f64,
    /// Requests served so far.
    pub served: f64,
}

impl Cache {
    /// A cache that always hits.
    pub fn warm() -> Self {
        Cache {
            miss_factor: 1.0,
            warm_after: 1.0,
            served: 0.0,
        }
    }

    fn hit_share(&self) -> f64 {
        1.0 - (-self.served / self.warm_after).exp()
    }
}

/// An upstream: slots, an inner queue, a service time.
#[derive(Debug, Clone)]
pub struct ModelUpstream {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Mean time of a request that hits, in milliseconds.
    pub mean_ms: f64,
    /// Its cache.
    pub cache: Cache,
    /// Whether it is gone.
    pub gone: bool,
    /// Requests that run.
    pub running: u32,
    queue: VecDeque<usize>,
    /// Most requests that ran or waited inside, over its slots.
    pub peak: u32,
    /// Sum of running requests over time, for the mean load of a window.
    pub busy_ms: f64,
}

impl ModelUpstream {
    /// An upstream that is warm and empty.
    pub fn new(slots: u32, mean_ms: f64) -> Self {
        ModelUpstream {
            slots,
            mean_ms,
            cache: Cache::warm(),
            gone: false,
            running: 0,
            queue: VecDeque::new(),
            peak: 0,
            busy_ms: 0.0,
        }
    }

    /// Requests inside, running or waiting.
    pub fn inside(&self) -> u32 {
        self.running + self.queue.len() as u32
    }

    /// Takes a request: its service time where it runs at once.
    pub fn take(&mut self, request: usize, rng: &mut StdRng) -> Taken {
        if self.gone || self.queue.len() >= INNER_QUEUE {
            return Taken::Shed;
        }
        if self.running >= self.slots {
            self.queue.push_back(request);
            self.peak = self.peak.max(self.inside());
            return Taken::Waits;
        }
        self.running += 1;
        self.peak = self.peak.max(self.inside());
        Taken::Runs(self.service_ms(rng))
    }

    /// A request has ended; the next one and its service time.
    pub fn finish(&mut self, rng: &mut StdRng) -> Option<(usize, f64)> {
        self.running -= 1;
        let next = self.queue.pop_front()?;
        self.running += 1;
        Some((next, self.service_ms(rng)))
    }

    /// Loses all that is inside.
    pub fn vanish(&mut self) {
        self.gone = true;
        self.queue.clear();
    }

    /// Erlang-2 around the mean: between constant and exponential.
    fn service_ms(&mut self, rng: &mut StdRng) -> f64 {
        let misses = rng.random::<f64>() >= self.cache.hit_share();
        self.cache.served += 1.0;
        let factor = if misses { self.cache.miss_factor } else { 1.0 };
        let mut draw = || -rng.random::<f64>().max(1e-12).ln() / 2.0;
        let ms = self.mean_ms * factor * (draw() + draw());
        self.busy_ms += ms;
        ms
    }
}

/// What became of a request that reached an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Taken {
    /// It runs, for so many milliseconds.
    Runs(f64),
    /// It waits inside.
    Waits,
    /// It was refused.
    Shed,
}
