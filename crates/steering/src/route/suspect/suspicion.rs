//! What is known against a request that comes again, or an object.

use std::time::{Duration, Instant};

use super::state::{WorkRank, WorkState, ago};
use super::work::WorkKey;

/// Ends from which on it is not sent, but to find out. One tells little: whatever else was in
/// flight at the upstream may have been the cause. Other requests are answered elsewhere before
/// a second one comes.
pub const ENDS_REFUSED: u32 = 2;
/// Time after the second end in which it is refused: longer than an upstream takes to be
/// back, since what finds out may end the next one.
const REFUSED_AT_FIRST: Duration = Duration::from_secs(5);
/// Times that this grows with each further end.
const REFUSED_GROWS: u32 = 4;
/// Share of the time by which hosts wait apart: each would else find out in the same moment, and
/// end an upstream of its own.
const APART_SHARE: f64 = 0.5;
/// Longest time: each request that finds out may end an upstream. An operator who has mended it
/// has it served at once.
const REFUSED_MOST: Duration = Duration::from_secs(3_600);
/// Ends for which it counts where an operator wants it refused.
const ENDS_BY_OPERATOR: u32 = ENDS_REFUSED + 3;
/// Answers, one after the other, after which what was refused is served again: requests for
/// the same object may be of more than one kind, and some of them harmless.
const ANSWERS_CLEAR: u32 = 3;
/// Time between two of these.
const ANSWERS_APART: Duration = Duration::from_millis(500);
/// Time for which others wait for the request that finds out. One that takes longer is found
/// out by another.
const TRIED_FOR: Duration = Duration::from_secs(3);
/// Time after which an end is forgotten, where it is not refused for longer.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Time for which it is remembered that it was cleared: longer than another host may hold what was
/// before, and tell it.
const CLEARED_REMEMBERED: Duration = REFUSED_MOST.saturating_mul(4);
/// Starts of upstreams remembered, so that one end told by two counts once.
const STARTS_MOST: usize = 8;

/// What is known against one request or object.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Starts of upstreams that have ended under it, the last ones.
    starts: Vec<u64>,
    /// Refused requests for this object since its last answer; empty for a request. Never more
    /// than [`ENDS_REFUSED`].
    requests: Vec<WorkKey>,
    /// Ends one after the other: what was in flight at several upstreams as all of them ended
    /// counts once, as where a zone loses its power.
    pub ends: u32,
    /// When the last one was, or when it was cleared where there is none since.
    pub last_end: Instant,
    /// Times that it was cleared of what other hosts may hold against it; grows only.
    clears: u32,
    /// When it was cleared last.
    cleared: Option<Instant>,
    /// Since when a request finds out.
    tried_since: Option<Instant>,
    /// Answers since the last end to requests that found out.
    answers: u32,
    last_answer: Option<Instant>,
}

impl Suspicion {
    /// Nothing so far.
    pub fn new(now: Instant) -> Self {
        Suspicion {
            starts: Vec::new(),
            requests: Vec::new(),
            ends: 0,
            last_end: now,
            clears: 0,
            cleared: None,
            tried_since: None,
            answers: 0,
            last_answer: None,
        }
    }

    /// Whether it is sent only to find out.
    pub fn is_refused(&self) -> bool {
        self.ends >= ENDS_REFUSED
    }

    /// Time for which it is refused; `apart` is a number of the host's own from 0 to 1.
    pub fn refused_for(&self, apart: f64) -> Duration {
        let Some(more) = self.ends.checked_sub(ENDS_REFUSED) else {
            return Duration::ZERO;
        };
        let times = REFUSED_GROWS.saturating_pow(more);
        let refused = REFUSED_AT_FIRST.saturating_mul(times).min(REFUSED_MOST);
        refused.mul_f64(1.0 + APART_SHARE * apart)
    }

    /// Until when it is refused.
    pub fn refused_until(&self, apart: f64) -> Instant {
        let by_ends = self.last_end + self.refused_for(apart);
        let apart = ANSWERS_APART.mul_f64(1.0 + APART_SHARE * apart);
        let by_answers = self.last_answer.map(|at| at + apart);
        let by_trial = self.tried_since.map(|since| since + TRIED_FOR);
        let later = |until: Instant, other: Option<Instant>| other.map_or(until, |o| o.max(until));
        later(later(by_ends, by_answers), by_trial)
    }

    /// Whether it still says anything.
    pub fn is_remembered(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let was_cleared = self.cleared.map(since);
        since(self.last_end) < REMEMBERED.max(2 * self.refused_for(1.0))
            || was_cleared.is_some_and(|since| since < CLEARED_REMEMBERED)
    }

    /// Notes that a request finds out; true where none did before.
    pub fn try_once(&mut self, now: Instant) -> bool {
        self.tried_since.replace(now).is_none()
    }

    /// Counts the end of an upstream's start; false where that is known.
    pub fn count_end(&mut self, start: u64, sent: Instant, ended: Instant) -> bool {
        if self.starts.contains(&start) {
            return false;
        }
        if self.starts.len() == STARTS_MOST {
            self.starts.remove(0);
        }
        self.starts.push(start);
        // What was sent before it was refused counts on to the third end: that of all ends
        // together one was by chance is likely, that two were is not.
        let is_third = self.ends == ENDS_REFUSED && self.starts.len() > ENDS_REFUSED as usize;
        if self.ends == 0 || is_third || sent >= self.last_end {
            self.ends += 1;
            self.end_at(ended);
        }
        true
    }

    /// Counts a request for this object that is refused since an end.
    pub fn count_request(&mut self, request: WorkKey, ended: Instant) {
        if !self.requests.contains(&request) {
            self.requests.push(request);
            self.ends += 1;
            self.end_at(ended);
        }
    }

    /// Does what an operator wants.
    pub fn refuse(&mut self, now: Instant) {
        self.ends = ENDS_BY_OPERATOR.max(self.ends + 1);
        self.end_at(now);
    }

    /// Counts all that follows from an end.
    fn end_at(&mut self, ended: Instant) {
        self.last_end = self.last_end.max(ended);
        self.tried_since = None;
        self.answers = 0;
        self.last_answer = None;
    }

    /// Takes an answer to what was sent at `sent`; whether that says anything.
    pub fn answered(&mut self, now: Instant, sent: Instant) -> bool {
        // What was under way at the last end has found nothing out since.
        let is_doubted = self.is_refused() || !self.requests.is_empty();
        if self.ends == 0 || (is_doubted && sent < self.last_end) {
            return false;
        }
        self.answers += 1;
        self.last_answer = Some(now);
        self.tried_since = None;
        true
    }

    /// Takes back all that is held against it.
    pub fn clear(&mut self, now: Instant) {
        // What other hosts may hold must rank lower than this.
        if self.ends > 0 && self.is_shared() {
            self.clears += 1;
            self.cleared = Some(now);
        }
        *self = Suspicion {
            clears: self.clears,
            cleared: self.cleared,
            ..Suspicion::new(now)
        };
    }

    /// Whether it says anything that other hosts must know as well.
    pub fn is_shared(&self) -> bool {
        self.is_refused() || self.clears > 0
    }

    /// How much is known of it: of two hosts' knowledge the higher holds.
    pub fn rank(&self) -> WorkRank {
        WorkRank {
            clears: self.clears,
            ends: self.ends,
            answers: self.answers,
        }
    }

    /// What is known of it, to be told at `now`.
    pub fn state(&self, now: Instant, key: WorkKey) -> WorkState {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        WorkState {
            key,
            rank: self.rank(),
            starts: self.starts.clone(),
            last_end_ms: age_ms(self.last_end),
            cleared_ms: self.cleared.map(age_ms),
            last_answer_ms: self.last_answer.map(age_ms),
            tried_ms: self.tried_since.map(age_ms),
        }
    }

    /// Takes what another host knows, where that is more.
    pub fn merge(&mut self, now: Instant, state: &WorkState) {
        if state.rank <= self.rank() {
            return;
        }
        let at = |age_ms| ago(now, age_ms);
        let cleared = state.cleared_ms.map(at);
        // Ends after it was cleared there count on.
        let is_older = cleared.is_some_and(|cleared| cleared < self.last_end);
        if state.rank.clears > self.clears && state.rank.ends < self.ends && is_older {
            self.clears = state.rank.clears;
            self.cleared = cleared;
            return;
        }
        self.clears = state.rank.clears;
        self.cleared = cleared;
        self.ends = state.rank.ends;
        self.answers = state.rank.answers;
        self.last_end = at(state.last_end_ms);
        self.last_answer = state.last_answer_ms.map(at);
        self.tried_since = state.tried_ms.map(at);
        let known = state.starts.iter().take(STARTS_MOST);
        self.starts = known.copied().collect();
    }

    /// Whether its answers have shown that it ends no upstream, or does so no more.
    pub fn is_cleared(&self) -> bool {
        self.answers > 0 && (!self.is_refused() || self.answers >= ANSWERS_CLEAR)
    }
}
