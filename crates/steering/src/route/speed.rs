//! Tracks the response time of an upstream relative to the typical one.

use std::time::{Duration, Instant};

use super::average::decay;

/// Weight of the prior, in answers of typical speed: few answers are weak evidence.
const PRIOR_ANSWERS: f64 = 2.0;
/// Maximum weight of past answers.
const MAX_ANSWERS: f64 = 6.0;
/// Time constant for the decay of past answers: an avoided upstream is tried again.
const ANSWER_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Response time of an upstream relative to the typical one, from its last answers.
#[derive(Debug, Default)]
pub struct Speed {
    /// Logarithm of the ratio; 0 is typical.
    log_ratio: f64,
    /// Decayed number of answers behind the ratio.
    answers: f64,
    at: Option<Instant>,
}

impl Speed {
    /// Returns the expected response time as a multiple of the typical one.
    pub fn times(&self, now: Instant) -> f64 {
        let answers = self.answers(now);
        (self.log_ratio * answers / (answers + PRIOR_ANSWERS)).exp()
    }

    /// Records an answer whose response time was `ratio` times the typical one.
    pub fn take(&mut self, now: Instant, ratio: f64) {
        let before = self.answers(now);
        self.log_ratio = (self.log_ratio * before + ratio.ln()) / (before + 1.0);
        self.answers = (before + 1.0).min(MAX_ANSWERS);
        self.at = Some(now);
    }

    fn answers(&self, now: Instant) -> f64 {
        let remaining = self
            .at
            .map_or(0.0, |at| decay(at, now, ANSWER_TIME_CONSTANT));
        self.answers * remaining
    }
}
