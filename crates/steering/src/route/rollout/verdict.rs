//! Judges a version by its answers.
//!
//! Wald, "Sequential tests of statistical hypotheses", Annals of Mathematical Statistics
//! 16(2), 1945: answers are compared one by one under two hypotheses, until one of them is
//! accepted with a stated rate of error.

use super::evidence::{AnswerCounts, Evidence, RouteCounts};

/// Rate of wrong verdicts of one test, either way.
const ERROR_RATE: f64 = 0.001;
/// Rate of bad answers of a bad version, as a multiple of the usual rate.
const BAD_RATE_FACTOR: f64 = 5.0;
/// Smallest usual rate that the tests assume. With a smaller one a version of a service with
/// few requests could not be found good in time.
const MIN_TESTED_RATE: f64 = 0.01;
/// Largest rate of bad answers that the tests assume, since rates must stay below 1.
const MAX_TESTED_RATE: f64 = 0.9;
/// Rate of bad answers that is assumed of a version without answers.
const PRIOR_RATE: f64 = 0.003;
/// Weight of [`PRIOR_RATE`], in answers.
const PRIOR_ANSWERS: f64 = 200.0;
/// Numbers of bad answers from which a version is bad if they are more than this multiple of
/// the usual number. They find versions whose rate lies between those of the tests, before
/// the 50 bad answers that operators allow.
const EXCESSES: [(u64, f64); 2] = [(10, 4.0), (25, 2.0)];
/// Fewest answers of a route by which a version is found good on it.
const MIN_ROUTE_ANSWERS: u64 = 20;
/// Share of the old version's answers from which a route needs answers of the new version.
const MIN_ROUTE_SHARE: f64 = 0.02;

/// What the answers say about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Too few answers.
    Undecided,
    /// The version is as good as the old one.
    Good,
    /// The version gives bad answers more often than the old one.
    Bad,
}

impl Verdict {
    /// Judges the new version by the answers of all hosts.
    pub fn of(evidence: &Evidence) -> Verdict {
        let total = evidence.total();
        let routes = evidence.by_route();
        let is_bad = |counts: &RouteCounts| test(counts) == Verdict::Bad;
        let has_changed = evidence.has_changed();
        if has_changed || has_excess(&total) || is_bad(&total) || routes.values().any(is_bad) {
            return Verdict::Bad;
        }
        let min_old = total.old.answers as f64 * MIN_ROUTE_SHARE;
        let is_tried = |counts: &RouteCounts| {
            counts.new.answers >= MIN_ROUTE_ANSWERS || (counts.old.answers as f64) < min_old
        };
        match test(&total) == Verdict::Good && routes.values().all(is_tried) {
            true => Verdict::Good,
            false => Verdict::Undecided,
        }
    }
}

/// Rate of bad answers of the old version, or of a usual one while there are few answers.
pub(super) fn usual_rate(old: AnswerCounts) -> f64 {
    let bad = old.bad as f64 + PRIOR_ANSWERS * PRIOR_RATE;
    bad / (old.answers as f64 + PRIOR_ANSWERS)
}

fn has_excess(counts: &RouteCounts) -> bool {
    let usual = usual_rate(counts.old) * counts.new.answers as f64;
    let bad = counts.new.bad;
    EXCESSES
        .iter()
        .any(|(min, factor)| bad >= *min && bad as f64 > factor * usual)
}

/// Sequential probability ratio test of the new version's rate of bad answers.
fn test(counts: &RouteCounts) -> Verdict {
    let usual = usual_rate(counts.old);
    let usual = usual.clamp(MIN_TESTED_RATE, MAX_TESTED_RATE / BAD_RATE_FACTOR);
    let bad_rate = usual * BAD_RATE_FACTOR;
    let bad = counts.new.bad as f64;
    let good = counts.new.answers as f64 - bad;
    let log_ratio = bad * (bad_rate / usual).ln() + good * ((1.0 - bad_rate) / (1.0 - usual)).ln();
    let bound = ((1.0 - ERROR_RATE) / ERROR_RATE).ln();
    if log_ratio >= bound {
        Verdict::Bad
    } else if log_ratio <= -bound {
        Verdict::Good
    } else {
        Verdict::Undecided
    }
}
