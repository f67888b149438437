//! Events in virtual time: arrivals, ways, service, answers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::upstream::Taken;
use super::world::World;
use crate::measure::Spread;

/// Time in which callers' cached look-ups of a lost zone lapse, in milliseconds.
const LOOK_UP_LAPSE_MS: f64 = 5_000.0;
const TICK_MS: f64 = 50.0;

/// A request of the model.
#[derive(Debug, Clone)]
pub struct Request {
    /// Zone of the host that it came to.
    pub entry: usize,
    /// When it came, in milliseconds.
    pub arrived_ms: f64,
    /// Places that a steerer has left to try.
    pub places: Vec<usize>,
    /// Refusals so far.
    pub refusals: usize,
    /// Upstream that it was sent to.
    pub upstream: usize,
    /// When it was sent to the upstream, in milliseconds.
    pub sent_ms: f64,
}

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A request comes to its entry host.
    Arrive,
    /// A request reaches a zone's owner.
    Reach { request: usize, zone: usize },
    /// A request reaches its upstream.
    Take { request: usize },
    /// A request has been served.
    Served { request: usize },
    /// An answer, or a refusal, is back at the entry host.
    Back { request: usize, answered: bool },
    /// Time for lagging figures to be told.
    Tick,
}

/// What is counted over a run, after its warm-up.
#[derive(Default)]
pub struct Tally {
    /// Time to the answer as callers see it.
    pub latency: Spread,
    /// Answered in time.
    pub answered: u64,
    /// Refused, with the caller told so.
    pub refused: u64,
    /// Answered after the deadline: of no use.
    pub late: u64,
    /// Lost with a zone.
    pub lost: u64,
    /// Time to the answer by second, for plots.
    pub by_second: Vec<Spread>,
    /// Answered in time by second.
    pub answered_by_second: Vec<u64>,
    /// Refused, late or lost by second.
    pub failed_by_second: Vec<u64>,
    /// Arrivals by second.
    pub arrived_by_second: Vec<u64>,
}

/// A way to steer, product or baseline.
pub trait Steerer {
    /// A request has come to its entry host: where it goes first.
    fn arrive(&mut self, engine: &mut Engine, request: usize);
    /// A request reaches a zone's owner.
    fn reach(&mut self, engine: &mut Engine, request: usize, zone: usize);
    /// An upstream has served a request, or refused it.
    fn served(&mut self, engine: &mut Engine, request: usize, shed: bool);
    /// Something is back at the entry host.
    fn back(&mut self, engine: &mut Engine, request: usize, answered: bool);
    /// Lagging figures are told.
    fn tick(&mut self, engine: &mut Engine);
}

/// The events of one run.
pub struct Engine {
    /// Zones and upstreams.
    pub world: World,
    /// Randomness of the run.
    pub rng: StdRng,
    /// Requests, by number.
    pub requests: Vec<Request>,
    /// What is counted.
    pub tally: Tally,
    /// Weight of each zone's arrivals.
    pub weights: Vec<f64>,
    now_ms: f64,
    start: Instant,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Event>,
    rate_per_ms: f64,
    warm_up_ms: f64,
    lost_at_ms: f64,
}

impl Engine {
    /// A run with so many arrivals a second, counted after `warm_up_ms`.
    pub fn new(world: World, rate_per_s: f64, warm_up_ms: f64, seed: u64) -> Self {
        Engine {
            weights: vec![1.0; world.zones.len()],
            world,
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            tally: Tally::default(),
            now_ms: 0.0,
            start: Instant::now(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            rate_per_ms: rate_per_s / 1_000.0,
            warm_up_ms,
            lost_at_ms: f64::INFINITY,
        }
    }

    /// Virtual time, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Virtual time as the decisions take it.
    pub fn now(&self) -> Instant {
        self.at(self.now_ms)
    }

    /// A time as the decisions take it.
    pub fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Puts an event off by some time.
    pub fn after(&mut self, delay_ms: f64, event: Event) {
        let at_us = ((self.now_ms + delay_ms.max(0.0)) * 1_000.0) as u64;
        self.queue.push(Reverse((at_us, self.events.len() as u64)));
        self.events.push(event);
    }

    /// Sends an answer or a refusal back to the entry host.
    pub fn send_back(&mut self, request: usize, way_ms: f64, answered: bool) {
        self.after(way_ms, Event::Back { request, answered });
    }

    /// Runs until `until_ms`; `watch` is called each tick.
    pub fn run(
        &mut self,
        steerer: &mut dyn Steerer,
        until_ms: f64,
        mut watch: impl FnMut(&mut Engine),
    ) {
        if self.events.is_empty() {
            self.after(0.0, Event::Arrive);
            self.after(0.0, Event::Tick);
        }
        while let Some(Reverse((at_us, number))) = self.queue.pop() {
            let at_ms = at_us as f64 / 1_000.0;
            if at_ms > until_ms {
                self.queue.push(Reverse((at_us, number)));
                return;
            }
            self.now_ms = at_ms;
            match self.events[number as usize] {
                Event::Arrive => self.arrive(steerer),
                Event::Reach { request, zone } => steerer.reach(self, request, zone),
                Event::Take { request } => self.take(steerer, request),
                Event::Served { request } => self.served(steerer, request),
                Event::Back { request, answered } => steerer.back(self, request, answered),
                Event::Tick => {
                    watch(self);
                    steerer.tick(self);
                    self.after(TICK_MS, Event::Tick);
                }
            }
        }
    }

    /// Takes zones away, with all that they hold.
    pub fn lose(&mut self, zones: &[usize]) {
        for zone in zones {
            self.world.lose(*zone);
        }
        self.lost_at_ms = self.now_ms;
    }

    fn arrive(&mut self, steerer: &mut dyn Steerer) {
        let gap_ms = -self.rng.random::<f64>().max(1e-12).ln() / self.rate_per_ms;
        self.after(gap_ms, Event::Arrive);
        let number = self.requests.len();
        let entry = self.draw_entry();
        self.requests.push(Request {
            entry,
            arrived_ms: self.now_ms,
            places: Vec::new(),
            refusals: 0,
            upstream: 0,
            sent_ms: 0.0,
        });
        let second = (self.now_ms / 1_000.0) as usize;
        count(&mut self.tally.arrived_by_second, second);
        if self.world.lost[entry] {
            self.fail(number, Fate::Lost);
            return;
        }
        steerer.arrive(self, number);
    }

    /// A caller's entry; callers of a lost zone go elsewhere once their cache lapses.
    fn draw_entry(&mut self) -> usize {
        let lapsed = self.now_ms > self.lost_at_ms + LOOK_UP_LAPSE_MS;
        let weight = |zone: usize| match lapsed && self.world.lost[zone] {
            true => 0.0,
            false => self.weights[zone],
        };
        let sum: f64 = (0..self.weights.len()).map(weight).sum();
        let mut point = self.rng.random::<f64>() * sum;
        for zone in 0..self.weights.len() {
            point -= weight(zone);
            if point < 0.0 {
                return zone;
            }
        }
        0
    }

    fn take(&mut self, steerer: &mut dyn Steerer, request: usize) {
        let upstream = self.requests[request].upstream;
        self.requests[request].sent_ms = self.now_ms;
        match self.world.upstreams[upstream].take(request, &mut self.rng) {
            Taken::Runs(ms) => self.after(ms, Event::Served { request }),
            Taken::Waits => {}
            Taken::Shed => steerer.served(self, request, true),
        }
    }

    fn served(&mut self, steerer: &mut dyn Steerer, request: usize) {
        let upstream = self.requests[request].upstream;
        if self.world.upstreams[upstream].gone {
            self.fail(request, Fate::Lost);
            return;
        }
        let next = self.world.upstreams[upstream].finish(&mut self.rng);
        if let Some((next, ms)) = next {
            self.after(ms, Event::Served { request: next });
        }
        steerer.served(self, request, false);
    }

    /// Counts an answer that the caller has.
    pub fn answer(&mut self, request: usize) {
        let arrived_ms = self.requests[request].arrived_ms;
        let took_ms = self.now_ms - arrived_ms;
        let second = (arrived_ms / 1_000.0) as usize;
        if took_ms > self.world.deadline_ms {
            self.fail(request, Fate::Late);
            return;
        }
        let took = Duration::from_secs_f64(took_ms / 1_000.0);
        while self.tally.by_second.len() <= second {
            self.tally.by_second.push(Spread::default());
        }
        self.tally.by_second[second].add(took);
        count(&mut self.tally.answered_by_second, second);
        if arrived_ms >= self.warm_up_ms {
            self.tally.latency.add(took);
            self.tally.answered += 1;
        }
    }

    /// Counts a request that brought its caller nothing.
    pub fn fail(&mut self, request: usize, fate: Fate) {
        let arrived_ms = self.requests[request].arrived_ms;
        count(
            &mut self.tally.failed_by_second,
            (arrived_ms / 1_000.0) as usize,
        );
        if arrived_ms < self.warm_up_ms {
            return;
        }
        match fate {
            Fate::Refused => self.tally.refused += 1,
            Fate::Late => self.tally.late += 1,
            Fate::Lost => self.tally.lost += 1,
        }
    }

    /// Zones that are not lost.
    pub fn present(&self) -> BTreeSet<usize> {
        (0..self.world.zones.len())
            .filter(|zone| !self.world.lost[*zone])
            .collect()
    }
}

/// How a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Refused, and told so.
    Refused,
    /// Answered after its deadline.
    Late,
    /// Lost with a zone.
    Lost,
}

fn count(counts: &mut Vec<u64>, second: usize) {
    while counts.len() <= second {
        counts.push(0);
    }
    counts[second] += 1;
}
