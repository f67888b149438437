//! Learns the work times of a class of requests from upstreams' answers.

use std::time::Duration;

use super::quantile::Quantile;

/// Initial work time for held objects, as a share of the goal.
pub(super) const INITIAL_HELD_TIME: f64 = 0.4;
/// Initial work time for objects that are not held, as a share of the goal.
const INITIAL_FETCHED_TIME: f64 = 1.3;
/// Tracked quantile of the work times for held objects. It is below the median because some
/// objects that were assumed to be held were not.
const HELD_QUANTILE: f64 = 0.4;
/// Tracked quantile of the work times for objects that are not held.
const FETCHED_QUANTILE: f64 = 0.5;
/// Multiple of the typical work time for held objects above which an answer counts as one
/// for an object that was not held.
const FETCHED_TIME_RATIO: f64 = 1.7;
/// Weight of the newest answer in the hit rate; it averages over some 30 answers.
const HIT_RATE_WEIGHT: f64 = 0.06;
/// Weight of the newest answer in the slowdown factor of cold upstreams.
const COLD_FACTOR_WEIGHT: f64 = 0.05;
/// Initial slowdown factor of cold upstreams.
const INITIAL_COLD_FACTOR: f64 = 1.5;
/// Hit rate of recently sent objects above which a slow answer still counts as one for a
/// held object.
const CERTAIN_HIT_RATE: f64 = 0.7;
/// Bounds of a single answer's ratio to the expected work time.
const RATIO_BOUNDS: (f64, f64) = (0.2, 10.0);

/// How recently this host sent an upstream work on an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastSent {
    /// Sent within the last seconds.
    Recent,
    /// Sent earlier.
    Earlier,
    /// Never sent by this host, as far as it remembers.
    Never,
}

/// Inputs to the probability that an upstream holds an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Affinity {
    /// Recency of this host's own sends.
    pub last_sent: LastSent,
    /// Rank of the upstream among the object's homes, to which other hosts send as well.
    pub rank: usize,
}

/// Number of ranks with their own hit rate; higher ranks share the last one.
const RANKS: usize = 3;
/// Initial hit rates, by recency and rank.
const INITIAL_HIT_RATES: [[f64; RANKS]; 3] = [[0.95; RANKS], [0.9, 0.85, 0.8], [0.7, 0.3, 0.15]];

impl Affinity {
    fn hit_rate_index(self) -> (usize, usize) {
        (self.last_sent as usize, self.rank.min(RANKS - 1))
    }
}

/// Predicted work time of a request on an upstream of typical speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkTime {
    /// Probability that the object is held.
    pub hit_probability: f64,
    /// Work time if the object is held.
    pub if_held: Duration,
    /// Work time if the object has to be fetched.
    pub if_fetched: Duration,
}

impl WorkTime {
    /// Returns the mean work time.
    pub fn mean(&self) -> Duration {
        self.if_held.mul_f64(self.hit_probability)
            + self.if_fetched.mul_f64(1.0 - self.hit_probability)
    }

    /// Multiplies all times by a factor.
    pub fn times(self, factor: f64) -> WorkTime {
        WorkTime {
            hit_probability: self.hit_probability,
            if_held: self.if_held.mul_f64(factor),
            if_fetched: self.if_fetched.mul_f64(factor),
        }
    }
}

/// Work times of a class of requests at a service's upstreams.
#[derive(Debug, Clone)]
pub struct Estimate {
    held: Quantile,
    fetched: Quantile,
    hit_rates: [[f64; RANKS]; 3],
    cold_factor: f64,
}

impl Estimate {
    /// Returns the initial estimate, derived from the goal that the operator sets.
    pub fn new(goal: Duration) -> Self {
        Estimate {
            held: Quantile::new(HELD_QUANTILE, goal.mul_f64(INITIAL_HELD_TIME)),
            fetched: Quantile::new(FETCHED_QUANTILE, goal.mul_f64(INITIAL_FETCHED_TIME)),
            hit_rates: INITIAL_HIT_RATES,
            cold_factor: INITIAL_COLD_FACTOR,
        }
    }

    /// Predicts the work time. `affinity` is `None` for a request without an object.
    pub fn work(&self, affinity: Option<Affinity>, cold: bool) -> WorkTime {
        let hit_probability = affinity.map_or(1.0, |affinity| self.hit_rate(affinity));
        let if_held = self.held.value();
        let work = WorkTime {
            hit_probability,
            if_held,
            if_fetched: self.fetched.value().max(if_held),
        };
        work.times(if cold { self.cold_factor } else { 1.0 })
    }

    /// Learns from the work time of an answer, queueing excluded, at an upstream that takes
    /// `speed` times the typical time. Returns the ratio of the work time to the typical
    /// one.
    pub fn learn(
        &mut self,
        affinity: Option<Affinity>,
        cold: bool,
        speed: f64,
        took: Duration,
    ) -> f64 {
        let was_cold = if cold { self.cold_factor } else { 1.0 };
        let normalized = took.div_f64((speed * was_cold).max(RATIO_BOUNDS.0));
        let is_short = normalized < self.held.value().mul_f64(FETCHED_TIME_RATIO);
        let was_held = is_short || self.is_certainly_held(affinity);
        if let Some(affinity) = affinity {
            self.count_hit(affinity, is_short);
        }
        let usual = match was_held {
            true => self.held.value(),
            false => self.fetched.value(),
        };
        let ratio = took.as_secs_f64() / usual.as_secs_f64();
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        if cold {
            self.cold_factor += COLD_FACTOR_WEIGHT * (ratio / speed - self.cold_factor);
            return ratio / self.cold_factor.max(RATIO_BOUNDS.0);
        }
        match was_held {
            true => self.held.take(normalized),
            false => self.fetched.take(normalized),
        }
        ratio
    }

    /// Returns whether a slow answer is due to the upstream and not to the object: the
    /// object was sent there recently, and such objects are seldom evicted.
    fn is_certainly_held(&self, affinity: Option<Affinity>) -> bool {
        affinity.is_none_or(|affinity| {
            affinity.last_sent == LastSent::Recent && self.hit_rate(affinity) > CERTAIN_HIT_RATE
        })
    }

    fn hit_rate(&self, affinity: Affinity) -> f64 {
        let (last_sent, rank) = affinity.hit_rate_index();
        self.hit_rates[last_sent][rank]
    }

    fn count_hit(&mut self, affinity: Affinity, hit: bool) {
        let (last_sent, rank) = affinity.hit_rate_index();
        let hit_rate = &mut self.hit_rates[last_sent][rank];
        *hit_rate += HIT_RATE_WEIGHT * (f64::from(u8::from(hit)) - *hit_rate);
    }
}
