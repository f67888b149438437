//! Finds a version that turns bad after a time of good answers.
//!
//! Page, "Continuous inspection schemes", Biometrika 41, 1954: a sum of log-likelihood ratios
//! that does not fall below 0, so that good answers of the past do not outweigh bad ones of now.

use super::evidence::AnswerCounts;

/// Rate of bad answers of a bad version, as a multiple of the usual rate.
const BAD_RATE_FACTOR: f64 = 3.0;
/// Least rate of bad answers by which a bad version exceeds the usual rate.
const BAD_RATE_EXCESS: f64 = 0.01;
/// Largest usual rate that the test assumes, since rates must stay below 1.
const MAX_TESTED_RATE: f64 = 0.3;
/// Sum from which a version is bad. A good version reaches it once in e^12 bad answers.
const BOUND: f64 = 12.0;

/// Cumulative sum over the answers of a version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ChangeTest {
    sum: f64,
    /// Whether the sum has ever reached the bound.
    has_changed: bool,
}

impl ChangeTest {
    /// Adds answers; `usual_rate` is the rate of bad answers of the other versions.
    pub fn add(&mut self, counts: AnswerCounts, usual_rate: f64) {
        let usual = usual_rate.min(MAX_TESTED_RATE);
        let bad_rate = (usual * BAD_RATE_FACTOR).max(usual + BAD_RATE_EXCESS);
        let bad = counts.bad as f64;
        let good = counts.answers as f64 - bad;
        let log_ratio =
            bad * (bad_rate / usual).ln() + good * ((1.0 - bad_rate) / (1.0 - usual)).ln();
        self.sum = (self.sum + log_ratio).max(0.0);
        self.has_changed |= self.sum >= BOUND;
    }

    /// Returns whether the version has turned bad.
    pub fn has_changed(&self) -> bool {
        self.has_changed
    }
}
