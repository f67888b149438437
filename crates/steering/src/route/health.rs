//! What this host has learned of an upstream's health from its answers, or their absence.

use std::time::{Duration, Instant};

use super::average::kept;

/// Time for which an upstream is left alone after a failure; doubles with each.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Doublings of that time, at most.
const PAUSE_DOUBLINGS: u32 = 4;
/// Broken answers in a row, with no whole one between, after which it counts as one that
/// can't be reached: with half of the answers broken off, one run in sixteen is so long.
const BROKEN_MOST: u32 = 4;
/// Whole answers from which on misses can be told to be an exception.
const KNOWN_FROM: f64 = 4.0;
/// Share of whole answers from which on a request that was missed is worth another try at
/// the same upstream; the work of another, which would have to fetch the object, is late.
const WHOLE_SHARE_LEAST: f64 = 0.3;
/// Time after which an answer counts a third in these.
const COUNTED_OVER: Duration = Duration::from_secs(5);

/// How a request ended, as far as it tells of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// An answer came.
    Whole,
    /// It said that it is full or not the one that was meant; it lives.
    Refused,
    /// It could not be reached.
    Failed,
    /// It was reached, and no answer came, or nothing that is one.
    Broken,
    /// The caller left, or the time was over: nothing is learned.
    Unknown,
}

impl Answered {
    /// Whether it shows that the upstream lives.
    pub fn shows_life(self) -> bool {
        matches!(self, Answered::Whole | Answered::Refused)
    }
}

/// A count in which older events fade.
#[derive(Debug, Default)]
struct Faded {
    count: f64,
    at: Option<Instant>,
}

impl Faded {
    fn add(&mut self, now: Instant) {
        self.count = self.count(now) + 1.0;
        self.at = Some(now);
    }

    fn count(&self, now: Instant) -> f64 {
        let kept = self.at.map_or(0.0, |at| kept(at, now, COUNTED_OVER));
        self.count * kept
    }
}

/// How an upstream's answers have ended lately. Any answer that shows that it lives ends
/// what was held against it.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: u32,
    /// Answers in a row that were broken off.
    broken: u32,
    /// Whole answers lately.
    whole: Faded,
    /// Requests lately that it refused or broke off.
    missed: Faded,
    paused_until: Option<Instant>,
}

impl Health {
    /// Takes how a request ended.
    pub fn take(&mut self, now: Instant, answered: Answered) {
        match answered {
            Answered::Whole => {
                self.whole.add(now);
                self.lives();
            }
            Answered::Refused => {
                self.missed.add(now);
                self.lives();
            }
            Answered::Failed => self.failed(now),
            Answered::Broken => self.broke(now),
            Answered::Unknown => {}
        }
    }

    /// Whether it is left alone after failures.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether a request that it refused or broke off may be sent to it once more: such
    /// misses are an exception there, and it holds the object.
    pub fn may_be_asked_again(&self, now: Instant) -> bool {
        let (whole, missed) = (self.whole.count(now), self.missed.count(now));
        whole >= KNOWN_FROM && whole >= (whole + missed) * WHOLE_SHARE_LEAST
    }

    fn lives(&mut self) {
        self.failures = 0;
        self.broken = 0;
        self.paused_until = None;
    }

    /// One that breaks off some answers still holds its objects, and serves most work on
    /// them sooner than another could.
    fn broke(&mut self, now: Instant) {
        self.missed.add(now);
        self.broken += 1;
        if self.broken >= BROKEN_MOST {
            self.failed(now);
        }
    }

    fn failed(&mut self, now: Instant) {
        self.paused_until = Some(now + pause(self.failures));
        self.failures += 1;
    }
}

/// Time for which one that has failed `failures` times before is left alone.
pub(super) fn pause(failures: u32) -> Duration {
    PAUSE_AFTER_FAILURE * 2u32.pow(failures.min(PAUSE_DOUBLINGS))
}
