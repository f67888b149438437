//! A region whose upstreams work on short urgent and on long patient requests, played event
//! by event without threads, sockets or sleeps.
#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use steering::route::{
    AnswerOutcome, Choice, Estimate, Requirements, UpstreamId, WorkMix, unit_hash,
};

use crate::route_world::{SLOTS, pool, service};

/// Objects that an upstream holds.
const HELD_OBJECTS: usize = 10;
/// Requests that wait at an upstream at most.
const QUEUE: usize = 9;
/// Share of the work time that remains if the object is held.
const HELD_WORK: f64 = 0.3;
/// Time that passes outside upstreams on the way to and from the caller.
const TRANSIT: Duration = Duration::from_millis(34);
/// Weight of the newest response in an average.
const NEWEST_WEIGHT: f64 = 0.05;
/// Time before which nothing is counted.
const WARM_UP: Duration = Duration::from_secs(8);

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub goal: Duration,
    /// Work on an object that is not held.
    pub work: Duration,
    /// Worth of an answer within the goal; a later one has a fifth of it.
    pub worth: f64,
    /// 0 is the most urgent.
    pub priority: u32,
    pub per_s: f64,
    pub objects: u64,
}

/// What a kind has earned, as a share of what it was owed.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    pub owed: f64,
    pub earned: f64,
}

impl Outcome {
    pub fn add(&mut self, other: &Outcome) {
        self.owed += other.owed;
        self.earned += other.earned;
    }

    pub fn share(&self) -> f64 {
        self.earned / self.owed
    }
}

struct Job {
    kind: usize,
    object: u64,
    arrived: Instant,
    work: Duration,
    choice: Choice,
}

#[derive(Default)]
struct Station {
    running: u32,
    waiting: VecDeque<Job>,
    held: VecDeque<u64>,
}

enum Event {
    Arrival(usize),
    End(UpstreamId, Box<Job>),
}

pub struct World {
    service: steering::route::ServicePool,
    stations: HashMap<UpstreamId, Station>,
    kinds: Vec<Kind>,
    estimates: Vec<Estimate>,
    average: Duration,
    /// Tells short from long work; `None` if all upstreams are for all kinds.
    mix: Option<WorkMix>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    count: u64,
    seed: u64,
    pub outcomes: Vec<Outcome>,
    /// The selected upstreams, in order; `None` for a refusal.
    pub chosen: Vec<Option<UpstreamId>>,
}

impl World {
    pub fn new(upstreams: usize, kinds: &[Kind], divides: bool, seed: u64, now: Instant) -> Self {
        World {
            service: service(upstreams, Duration::ZERO, now),
            stations: HashMap::new(),
            kinds: kinds.to_vec(),
            estimates: kinds.iter().map(|kind| Estimate::new(kind.goal)).collect(),
            average: kinds[0].goal / 2,
            mix: divides.then(WorkMix::default),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            count: 0,
            seed,
            outcomes: vec![Outcome::default(); kinds.len()],
            chosen: Vec::new(),
        }
    }

    fn draw(&mut self) -> f64 {
        self.count += 1;
        unit_hash(self.seed << 40 | self.count)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count)));
        self.pending.insert(self.count, event);
    }

    fn schedule_arrival(&mut self, now: Instant, kind: usize) {
        let pause_s = -self.draw().max(1e-9).ln() / self.kinds[kind].per_s;
        self.schedule(now + Duration::from_secs_f64(pause_s), Event::Arrival(kind));
    }

    /// Plays for a time and counts what each kind earns.
    pub fn play(&mut self, started: Instant, time: Duration) {
        for kind in 0..self.kinds.len() {
            self.schedule_arrival(started, kind);
        }
        while let Some(Reverse((now, id))) = self.events.pop() {
            if now > started + time {
                break;
            }
            let counts = now > started + WARM_UP;
            match self.pending.remove(&id).expect("the event is scheduled") {
                Event::Arrival(kind) => {
                    self.schedule_arrival(now, kind);
                    self.arrive(now, kind, counts);
                }
                Event::End(upstream, job) => self.end(now, &upstream, *job, counts),
            }
        }
    }

    fn arrive(&mut self, now: Instant, kind: usize, counts: bool) {
        let Kind {
            goal,
            worth,
            priority,
            objects,
            ..
        } = self.kinds[kind];
        let drawn = (self.draw() * objects as f64) as u64;
        let object =
            (unit_hash(self.seed << 40 | drawn << 8 | kind as u64) * u64::MAX as f64) as u64;
        let length = self.mix.as_mut().and_then(|mix| mix.take(goal, priority));
        let mix = self.mix.as_ref();
        let part = mix.and_then(|mix| mix.part(length?, false));
        let work = mix.and_then(|mix| Some(mix.average_work(part?.length)));
        let requirements = Requirements {
            object,
            by_object: true,
            latency_goal: goal,
            urgency: 1.0 - 0.2 * f64::from(priority.saturating_sub(1)),
            excluded: &[],
            part,
            typical_work: work.unwrap_or(self.average),
            estimate: &self.estimates[kind],
            elapsed: TRANSIT / 2,
            terms: None,
            cold_limit_per_s: &|limit_per_s| limit_per_s,
            this_host: "h1",
            region_hosts: None,
            running_for: Duration::from_secs(60),
        };
        let chosen = steering::route::choose(pool(&self.service), &requirements, now);
        if counts {
            self.outcomes[kind].owed += worth;
        }
        let id = chosen.as_ref().ok();
        self.chosen
            .push(id.map(|choice| choice.upstream.report.id.clone()));
        let Ok(choice) = chosen else {
            return;
        };
        choice.note_sent(now, Some(object));
        choice.upstream.state().request_sent(now);
        let work = choice.expectation.work.if_fetched;
        choice.upstream.state().note_expected_work(work);
        let id = choice.upstream.report.id.clone();
        let job = Job {
            kind,
            object,
            arrived: now,
            work,
            choice,
        };
        let station = self.stations.entry(id.clone()).or_default();
        if station.running < SLOTS {
            self.start(now, &id, job);
        } else if station.waiting.len() < QUEUE {
            station.waiting.push_back(job);
        } else {
            let mut state = job.choice.upstream.state();
            state.request_ended(now);
            drop(state);
        }
    }

    fn start(&mut self, now: Instant, id: &UpstreamId, mut job: Job) {
        let spread = 0.85 + 0.3 * self.draw();
        let station = self.stations.entry(id.clone()).or_default();
        station.running += 1;
        let held = station.held.iter().position(|held| *held == job.object);
        let factor = held.map_or(1.0, |_| HELD_WORK);
        held.map(|place| station.held.remove(place));
        station.held.push_front(job.object);
        station.held.truncate(HELD_OBJECTS);
        job.work = self.kinds[job.kind].work.mul_f64(factor * spread);
        self.schedule(now + job.work, Event::End(id.clone(), Box::new(job)));
    }

    fn end(&mut self, now: Instant, id: &UpstreamId, job: Job, counts: bool) {
        let station = self.stations.entry(id.clone()).or_default();
        station.running -= 1;
        let next = station.waiting.pop_front();
        if let Some(next) = next {
            self.start(now, id, next);
        }
        let station = &self.stations[id];
        let (running, waiting) = (station.running, station.waiting.len() as u32);
        let upstream = &job.choice.upstream;
        upstream.load_reported(now, running, waiting);
        upstream.state().answered(now, AnswerOutcome::Complete);
        upstream.state().request_ended(now);
        let expected = &job.choice.expectation;
        let took = now - job.arrived;
        let work = took.saturating_sub(expected.wait).max(took.mul_f64(0.3));
        let estimate = &mut self.estimates[job.kind];
        let ratio = estimate.learn(expected.affinity, false, expected.speed, work);
        upstream.state().speed.take(now, ratio);
        self.average = self.average.mul_f64(1.0 - NEWEST_WEIGHT) + work.mul_f64(NEWEST_WEIGHT);
        let Kind { goal, worth, .. } = self.kinds[job.kind];
        if let Some(mix) = &mut self.mix {
            mix.answered(goal, work);
        }
        if counts {
            let is_late = took + TRANSIT > goal;
            self.outcomes[job.kind].earned += if is_late { worth * 0.2 } else { worth };
        }
    }
}
