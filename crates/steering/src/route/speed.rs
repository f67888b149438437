//! An upstream's own speed.

use std::time::{Duration, Instant};

use super::average::kept;

/// Answers of usual speed that each upstream is taken to have given before: few answers
/// tell little.
const PRIOR: f64 = 2.0;
/// Answers beyond which older ones no longer count.
const MOST: f64 = 6.0;
/// Time after which what an upstream's answers told counts a third: one that was avoided
/// is tried again.
const FADES_OVER: Duration = Duration::from_secs(4);

/// How much longer than usual one upstream takes, by its last answers.
#[derive(Debug, Default)]
pub struct Speed {
    /// Logarithm of the ratio; 0 is usual.
    log_ratio: f64,
    /// Answers that it rests on; fades with time.
    answers: f64,
    at: Option<Instant>,
}

impl Speed {
    /// Times as long as usual that it is expected to take.
    pub fn times(&self, now: Instant) -> f64 {
        let answers = self.answers(now);
        (self.log_ratio * answers / (answers + PRIOR)).exp()
    }

    /// Takes an answer that took so many times as long as usual.
    pub fn take(&mut self, now: Instant, ratio: f64) {
        let before = self.answers(now);
        self.log_ratio = (self.log_ratio * before + ratio.ln()) / (before + 1.0);
        self.answers = (before + 1.0).min(MOST);
        self.at = Some(now);
    }

    fn answers(&self, now: Instant) -> f64 {
        let kept = self.at.map_or(0.0, |at| kept(at, now, FADES_OVER));
        self.answers * kept
    }
}
