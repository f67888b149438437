//! Tracks an upstream's health from its answers and from missing answers.

use std::time::{Duration, Instant};

use super::average::decay;

/// Initial ejection time of an upstream after a failure; doubles with each further failure.
const EJECTION_BASE: Duration = Duration::from_millis(500);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Consecutive broken answers, without a complete one between them, after which an upstream
/// counts as unreachable. If half of the answers break off, one run in sixteen is this
/// long.
const MAX_CONSECUTIVE_BROKEN: u32 = 4;
/// Minimum number of complete answers needed to judge whether failed attempts are an
/// exception.
const MIN_COMPLETE_ANSWERS: f64 = 4.0;
/// Minimum share of complete answers at which a failed attempt is worth a retry on the same
/// upstream. Another upstream would have to fetch the object and would answer late.
const MIN_COMPLETE_SHARE: f64 = 0.3;
/// Time constant for the decay of these counts: after this time an answer counts a third.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Result of a request, as evidence of the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOutcome {
    /// A complete answer arrived.
    Complete,
    /// The upstream answered that it is full or not the one addressed. It is alive.
    Refused,
    /// The upstream could not be reached.
    Unreachable,
    /// The connection was made, but no answer or no valid one arrived.
    Broken,
    /// The caller left or the deadline passed: no evidence.
    Unknown,
}

impl AnswerOutcome {
    /// Returns whether the result proves that the upstream is alive.
    pub fn proves_alive(self) -> bool {
        matches!(self, AnswerOutcome::Complete | AnswerOutcome::Refused)
    }
}

/// Count of events with exponential decay.
#[derive(Debug, Default)]
struct DecayingCount {
    count: f64,
    at: Option<Instant>,
}

impl DecayingCount {
    fn add(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.at = Some(now);
    }

    fn count(&self, now: Instant) -> f64 {
        let remaining = self
            .at
            .map_or(0.0, |at| decay(at, now, COUNT_TIME_CONSTANT));
        self.count * remaining
    }
}

/// Recent results of an upstream's requests. Any result that proves it alive ends an
/// ejection.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Consecutive answers that broke off.
    consecutive_broken: u32,
    /// Recent complete answers.
    complete: DecayingCount,
    /// Recent requests that the upstream refused or broke off.
    failed_attempts: DecayingCount,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Records the result of a request.
    pub fn take(&mut self, now: Instant, outcome: AnswerOutcome) {
        match outcome {
            AnswerOutcome::Complete => {
                self.complete.add(now);
                self.record_alive();
            }
            AnswerOutcome::Refused => {
                self.failed_attempts.add(now);
                self.record_alive();
            }
            AnswerOutcome::Unreachable => self.record_failure(now),
            AnswerOutcome::Broken => self.record_broken(now),
            AnswerOutcome::Unknown => {}
        }
    }

    /// Forgets the failures on a path to the upstream that is not used any more.
    pub fn path_changed(&mut self) {
        self.record_alive();
    }

    /// Returns whether the upstream is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Returns whether a request that the upstream refused or broke off may be sent there
    /// again: failed attempts are an exception there, and the upstream holds the object.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let (complete, failed) = (self.complete.count(now), self.failed_attempts.count(now));
        complete >= MIN_COMPLETE_ANSWERS && complete >= (complete + failed) * MIN_COMPLETE_SHARE
    }

    fn record_alive(&mut self) {
        self.failures = 0;
        self.consecutive_broken = 0;
        self.ejected_until = None;
    }

    /// An upstream that breaks off some answers still holds its objects and serves most
    /// work on them sooner than another upstream could, so it is not ejected at once.
    fn record_broken(&mut self, now: Instant) {
        self.failed_attempts.add(now);
        self.consecutive_broken += 1;
        if self.consecutive_broken >= MAX_CONSECUTIVE_BROKEN {
            self.record_failure(now);
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.ejected_until = Some(now + ejection_time(self.failures));
        self.failures += 1;
    }
}

/// Returns the ejection time of an upstream that has failed `failures` times before.
pub(super) fn ejection_time(failures: u32) -> Duration {
    EJECTION_BASE * 2u32.pow(failures.min(MAX_EJECTION_DOUBLINGS))
}
