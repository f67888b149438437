//! Upstreams crash for reasons of their own; checks how long innocent work is refused.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{Admission, Suspects, WorkEvent, WorkIdentity, WorkKey};

const UPSTREAMS: usize = 24;
const OBJECTS: u64 = 40;
const DURATION_MS: u64 = 60_000;
const ARRIVALS_PER_MS: f64 = 0.35;
const MEAN_SERVICE_MS: u64 = 480;
/// Upper bound of the time that innocent work may be refused: one refusal period and three trials,
/// with an interval between them.
const MAX_REFUSED: Duration = Duration::from_secs(12);

/// How upstreams crash: `count` at the same time, every `every_ms`, each down for `down_ms`.
#[derive(Debug, Clone, Copy)]
struct CrashPattern {
    count: usize,
    every_ms: u64,
    down_ms: u64,
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
struct Sent {
    work: WorkKey,
    at_ms: u64,
    done_ms: u64,
}

struct Simulation {
    rng: StdRng,
    epoch: Instant,
    suspects: Suspects,
    in_flight: Vec<Vec<Sent>>,
    /// For each upstream the number of its start, and when it is up again.
    starts: Vec<(u64, u64)>,
    /// Since when each refused work has been refused.
    refused_since: HashMap<WorkKey, u64>,
    longest_ms: BTreeMap<WorkKey, u64>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            epoch: Instant::now() + Duration::from_secs(3_600),
            suspects: Suspects::new("h1"),
            in_flight: vec![Vec::new(); UPSTREAMS],
            starts: vec![(0, 0); UPSTREAMS],
            refused_since: HashMap::new(),
            longest_ms: BTreeMap::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    /// Draws an object; lower numbers are much more frequent.
    fn draw(&mut self) -> WorkKey {
        let by_rank = self.rng.random_range(0.0f64..1.0).powi(3);
        (by_rank * OBJECTS as f64) as WorkKey
    }

    fn send(&mut self, ms: u64, work: WorkKey) {
        match self.suspects.admit(self.at(ms), WorkIdentity::named(work)) {
            Admission::Refused(_) => {
                self.refused_since.entry(work).or_insert(ms);
                return;
            }
            Admission::Trial => {}
            Admission::Unrestricted => self.end_refusal(ms, work),
        }
        let live: Vec<usize> = (0..UPSTREAMS).filter(|u| self.starts[*u].1 <= ms).collect();
        let upstream = live[self.rng.random_range(0..live.len())];
        let service_ms = self
            .rng
            .random_range(MEAN_SERVICE_MS / 2..MEAN_SERVICE_MS * 2);
        self.in_flight[upstream].push(Sent {
            work,
            at_ms: ms,
            done_ms: ms + service_ms,
        });
    }

    fn end_refusal(&mut self, ms: u64, work: WorkKey) {
        if let Some(since) = self.refused_since.remove(&work) {
            let longest = self.longest_ms.entry(work).or_default();
            *longest = (*longest).max(ms - since);
        }
    }

    fn answer(&mut self, ms: u64) {
        for upstream in 0..UPSTREAMS {
            let sent = std::mem::take(&mut self.in_flight[upstream]);
            let (done, left): (Vec<Sent>, Vec<Sent>) =
                sent.into_iter().partition(|s| s.done_ms <= ms);
            self.in_flight[upstream] = left;
            for sent in done {
                let event = WorkEvent::Answered {
                    sent_ms: (ms - sent.at_ms) as u32,
                };
                let work = WorkIdentity::named(sent.work);
                self.suspects.apply(self.at(ms), work, event);
            }
        }
    }

    fn crash(&mut self, ms: u64, pattern: CrashPattern) {
        for _ in 0..pattern.count {
            let upstream = self.rng.random_range(0..UPSTREAMS);
            let (number, _) = self.starts[upstream];
            self.starts[upstream] = (number + 1, ms + pattern.down_ms);
            let start = number * UPSTREAMS as u64 + upstream as u64;
            for sent in std::mem::take(&mut self.in_flight[upstream]) {
                let event = WorkEvent::Crashed {
                    start,
                    sent_ms: (ms - sent.at_ms) as u32,
                    crashed_ms: 0,
                };
                let work = WorkIdentity::named(sent.work);
                self.suspects.apply(self.at(ms), work, event);
            }
        }
    }

    /// Runs the simulation and returns the longest time for which any work was refused.
    fn run(&mut self, pattern: CrashPattern) -> Duration {
        for ms in 0..DURATION_MS {
            self.answer(ms);
            if ms % pattern.every_ms == pattern.every_ms - 1 && ms < DURATION_MS / 2 {
                self.crash(ms, pattern);
            }
            if self.rng.random_bool(ARRIVALS_PER_MS) {
                let work = self.draw();
                self.send(ms, work);
            }
        }
        let refused: Vec<WorkKey> = self.refused_since.keys().copied().collect();
        for work in refused {
            self.end_refusal(DURATION_MS, work);
        }
        let longest = self.longest_ms.values().max().copied();
        Duration::from_millis(longest.unwrap_or_default())
    }
}

#[rstest]
#[case::now_and_then(CrashPattern { count: 1, every_ms: 5_000, down_ms: 4_000 })]
#[case::one_after_the_other(CrashPattern { count: 1, every_ms: 1_000, down_ms: 2_000 })]
#[case::in_quick_series(CrashPattern { count: 1, every_ms: 300, down_ms: 1_000 })]
#[case::several_at_once(CrashPattern { count: 6, every_ms: 3_000, down_ms: 2_500 })]
fn other_work_is_refused_for_seconds_at_most(#[case] pattern: CrashPattern) {
    for seed in 1..=6 {
        let longest = Simulation::new(seed).run(pattern);
        assert!(longest <= MAX_REFUSED, "seed {seed}: {longest:?}");
    }
}
