//! Upstreams that end by themselves: how long work that has not ended them is refused.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{Admission, Suspects, WorkIdentity, WorkKey, WorkTold};

const UPSTREAMS: usize = 24;
const OBJECTS: u64 = 40;
const LASTS_MS: u64 = 60_000;
const ARRIVALS_PER_MS: f64 = 0.35;
const MEAN_WORK_MS: u64 = 480;
/// Longest time for which other work may be refused: it waits out one refusal and three
/// requests that find out, each some time after the other.
const REFUSED_MOST: Duration = Duration::from_secs(12);

/// How upstreams end: at once, so many each time, so far apart.
#[derive(Debug, Clone, Copy)]
struct Ends {
    count: usize,
    every_ms: u64,
    down_ms: u64,
}

/// A request under way.
#[derive(Debug, Clone, Copy)]
struct Sent {
    work: WorkKey,
    at_ms: u64,
    done_ms: u64,
}

struct World {
    rng: StdRng,
    epoch: Instant,
    suspects: Suspects,
    under_way: Vec<Vec<Sent>>,
    /// Number of each upstream's start, and when it is back.
    starts: Vec<(u64, u64)>,
    /// Since when work is refused.
    refused_since: HashMap<WorkKey, u64>,
    longest_ms: BTreeMap<WorkKey, u64>,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: StdRng::seed_from_u64(seed),
            epoch: Instant::now() + Duration::from_secs(3_600),
            suspects: Suspects::new("h1"),
            under_way: vec![Vec::new(); UPSTREAMS],
            starts: vec![(0, 0); UPSTREAMS],
            refused_since: HashMap::new(),
            longest_ms: BTreeMap::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    /// Objects are asked for by rank: the first by far the most often.
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
            Admission::Free => self.end_refusal(ms, work),
        }
        let live: Vec<usize> = (0..UPSTREAMS).filter(|u| self.starts[*u].1 <= ms).collect();
        let upstream = live[self.rng.random_range(0..live.len())];
        let takes = self.rng.random_range(MEAN_WORK_MS / 2..MEAN_WORK_MS * 2);
        self.under_way[upstream].push(Sent {
            work,
            at_ms: ms,
            done_ms: ms + takes,
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
            let sent = std::mem::take(&mut self.under_way[upstream]);
            let (done, left): (Vec<Sent>, Vec<Sent>) =
                sent.into_iter().partition(|s| s.done_ms <= ms);
            self.under_way[upstream] = left;
            for sent in done {
                let told = WorkTold::Answered {
                    sent_ms: (ms - sent.at_ms) as u32,
                };
                let work = WorkIdentity::named(sent.work);
                self.suspects.take(self.at(ms), work, told);
            }
        }
    }

    fn end(&mut self, ms: u64, ends: Ends) {
        for _ in 0..ends.count {
            let upstream = self.rng.random_range(0..UPSTREAMS);
            let (number, _) = self.starts[upstream];
            self.starts[upstream] = (number + 1, ms + ends.down_ms);
            let start = number * UPSTREAMS as u64 + upstream as u64;
            for sent in std::mem::take(&mut self.under_way[upstream]) {
                let told = WorkTold::Ended {
                    start,
                    sent_ms: (ms - sent.at_ms) as u32,
                    ended_ms: 0,
                };
                let work = WorkIdentity::named(sent.work);
                self.suspects.take(self.at(ms), work, told);
            }
        }
    }

    /// Plays to the end; the longest time for which any work was refused.
    fn play(&mut self, ends: Ends) -> Duration {
        for ms in 0..LASTS_MS {
            self.answer(ms);
            if ms % ends.every_ms == ends.every_ms - 1 && ms < LASTS_MS / 2 {
                self.end(ms, ends);
            }
            if self.rng.random_bool(ARRIVALS_PER_MS) {
                let work = self.draw();
                self.send(ms, work);
            }
        }
        let refused: Vec<WorkKey> = self.refused_since.keys().copied().collect();
        for work in refused {
            self.end_refusal(LASTS_MS, work);
        }
        let longest = self.longest_ms.values().max().copied();
        Duration::from_millis(longest.unwrap_or_default())
    }
}

#[rstest]
#[case::now_and_then(Ends { count: 1, every_ms: 5_000, down_ms: 4_000 })]
#[case::one_after_the_other(Ends { count: 1, every_ms: 1_000, down_ms: 2_000 })]
#[case::in_quick_series(Ends { count: 1, every_ms: 300, down_ms: 1_000 })]
#[case::several_at_once(Ends { count: 6, every_ms: 3_000, down_ms: 2_500 })]
fn other_work_is_refused_for_seconds_at_most(#[case] ends: Ends) {
    for seed in 1..=6 {
        let longest = World::new(seed).play(ends);
        assert!(longest <= REFUSED_MOST, "seed {seed}: {longest:?}");
    }
}
