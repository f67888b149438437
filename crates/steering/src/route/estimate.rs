//! How long upstreams take for a class of work, learned from their answers.

use std::time::Duration;

use super::quantile::Quantile;

/// Time to hold, as a share of the goal, before any answer has come.
const HELD_GUESS: f64 = 0.4;
/// Time on an object that is not held, as a share of the goal, before any has come.
const FETCHED_GUESS: f64 = 1.3;
/// Quantile of the times on held objects that is followed: below the middle, for some of
/// the objects that were taken to be held were not.
const HELD_QUANTILE: f64 = 0.4;
/// Quantile of the times on objects that are not held.
const FETCHED_QUANTILE: f64 = 0.5;
/// An answer that took more than so many times the usual on a held object was not of one.
const FETCHED_FROM: f64 = 1.7;
/// Weight of the newest answer in the share of objects found held: some 30 answers.
const HIT_WEIGHT: f64 = 0.06;
/// Weight of the newest answer in how much longer cold upstreams take.
const COLD_WEIGHT: f64 = 0.05;
/// Times as long that cold upstreams are taken to need before any has answered.
const COLD_GUESS: f64 = 1.5;
/// Share of objects sent a moment ago that are found held above which one that took long
/// is taken to have been held all the same.
const SURE: f64 = 0.7;
/// Bounds of a single answer's ratio to what was expected.
const RATIO_BOUNDS: (f64, f64) = (0.2, 10.0);

/// What this host knows of an upstream's acquaintance with an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Familiarity {
    /// It was sent work on it a moment ago.
    Recent,
    /// It was sent work on it, not lately.
    Earlier,
    /// Never, by this host.
    Never,
}

/// All that decides how likely an upstream holds an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// By this host's own sends.
    pub familiarity: Familiarity,
    /// Place of the upstream among the object's homes: other hosts send there too.
    pub rank: usize,
}

/// Ranks that are told apart; further ones count as the last.
const RANKS: usize = 3;
/// Share of objects found held before any answer has come, by familiarity and rank.
const HITS_GUESS: [[f64; RANKS]; 3] = [[0.95; RANKS], [0.9, 0.85, 0.8], [0.7, 0.3, 0.15]];

impl Standing {
    fn cell(self) -> (usize, usize) {
        (self.familiarity as usize, self.rank.min(RANKS - 1))
    }
}

/// What a request is expected to take once it runs on an upstream of usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Probability that its object is held.
    pub held: f64,
    /// Time if it is.
    pub if_held: Duration,
    /// Time if it is not.
    pub if_fetched: Duration,
}

impl Work {
    /// The mean time.
    pub fn mean(&self) -> Duration {
        self.if_held.mul_f64(self.held) + self.if_fetched.mul_f64(1.0 - self.held)
    }

    /// All times longer by a factor.
    pub fn times(self, factor: f64) -> Work {
        Work {
            held: self.held,
            if_held: self.if_held.mul_f64(factor),
            if_fetched: self.if_fetched.mul_f64(factor),
        }
    }
}

/// Times of a class of work at a service's upstreams.
#[derive(Debug, Clone)]
pub struct Estimate {
    held: Quantile,
    fetched: Quantile,
    hits: [[f64; RANKS]; 3],
    cold_times: f64,
}

impl Estimate {
    /// Before any answer, from the goal that the operator states.
    pub fn new(goal: Duration) -> Self {
        Estimate {
            held: Quantile::new(HELD_QUANTILE, goal.mul_f64(HELD_GUESS)),
            fetched: Quantile::new(FETCHED_QUANTILE, goal.mul_f64(FETCHED_GUESS)),
            hits: HITS_GUESS,
            cold_times: COLD_GUESS,
        }
    }

    /// What work on an object is expected to take; `standing` is none for work that is
    /// on no object.
    pub fn work(&self, standing: Option<Standing>, cold: bool) -> Work {
        let held = standing.map_or(1.0, |standing| self.hit_share(standing));
        let if_held = self.held.value();
        let work = Work {
            held,
            if_held,
            if_fetched: self.fetched.value().max(if_held),
        };
        work.times(if cold { self.cold_times } else { 1.0 })
    }

    /// Takes how long the work itself took, waits apart, at an upstream that takes `speed`
    /// times as long as usual. Returns how many times as long as usual this answer took.
    pub fn learn(
        &mut self,
        standing: Option<Standing>,
        cold: bool,
        speed: f64,
        took: Duration,
    ) -> f64 {
        let was_cold = if cold { self.cold_times } else { 1.0 };
        let plain = took.div_f64((speed * was_cold).max(RATIO_BOUNDS.0));
        let is_short = plain < self.held.value().mul_f64(FETCHED_FROM);
        let was_held = is_short || self.is_surely_held(standing);
        if let Some(standing) = standing {
            self.count_hit(standing, is_short);
        }
        let usual = match was_held {
            true => self.held.value(),
            false => self.fetched.value(),
        };
        let ratio = took.as_secs_f64() / usual.as_secs_f64();
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        if cold {
            self.cold_times += COLD_WEIGHT * (ratio / speed - self.cold_times);
            return ratio / self.cold_times.max(RATIO_BOUNDS.0);
        }
        match was_held {
            true => self.held.take(plain),
            false => self.fetched.take(plain),
        }
        ratio
    }

    /// Whether a long time tells of the upstream, not of the object: it was sent there a
    /// moment ago, and such objects seldom are forgotten.
    fn is_surely_held(&self, standing: Option<Standing>) -> bool {
        standing.is_none_or(|standing| {
            standing.familiarity == Familiarity::Recent && self.hit_share(standing) > SURE
        })
    }

    fn hit_share(&self, standing: Standing) -> f64 {
        let (familiarity, rank) = standing.cell();
        self.hits[familiarity][rank]
    }

    fn count_hit(&mut self, standing: Standing, hit: bool) {
        let (familiarity, rank) = standing.cell();
        let hits = &mut self.hits[familiarity][rank];
        *hits += HIT_WEIGHT * (f64::from(u8::from(hit)) - *hits);
    }
}
