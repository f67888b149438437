//! What a host knows against one repeated request or object.

use std::time::{Duration, Instant};

use super::state::{WorkRank, WorkState, instant_before};
use super::work::WorkKey;

/// Number of crashes from which on the work is sent only as a trial. A single crash proves little,
/// since any other request in flight at the upstream may have caused it. Innocent requests are
/// answered by another upstream before a second crash.
pub const CRASHES_TO_REFUSE: u32 = 2;
/// Refusal time after the second crash. It exceeds an upstream's restart time, because the trial
/// that follows may crash the next upstream.
const BASE_REFUSAL: Duration = Duration::from_secs(5);
/// Factor by which the refusal time grows with each further crash.
const REFUSAL_MULTIPLIER: u32 = 4;
/// Largest jitter, as a share of the refusal time. Without jitter all hosts would run their trials
/// at the same moment, and each would crash an upstream.
const JITTER_RATIO: f64 = 0.5;
/// Upper bound of the refusal time, since each trial may crash an upstream. An operator who has
/// fixed the fault can clear the work without waiting.
const MAX_REFUSAL: Duration = Duration::from_secs(3_600);
/// Number of crashes assumed for work that an operator orders to be refused.
const OPERATOR_REFUSAL_CRASHES: u32 = CRASHES_TO_REFUSE + 3;
/// Consecutive answers after which refused work is served again. One answer is not enough, since
/// requests for the same object may differ and some of them be harmless.
const ANSWERS_TO_CLEAR: u32 = 3;
/// Minimum time between an answered trial and the next one.
const MIN_TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which other requests wait for the result of a trial. After this another trial may
/// start.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a crash is forgotten, unless the refusal lasts longer.
const CRASH_RETENTION: Duration = Duration::from_secs(30);
/// Time for which a clearing is remembered: longer than any other host may keep, and send, the
/// state from before the clearing.
const CLEARING_RETENTION: Duration = MAX_REFUSAL.saturating_mul(4);
/// Upstream starts remembered, so that a crash reported by two hosts counts once.
const MAX_STARTS: usize = 8;

/// What is known against one request or object.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// Hashes of the latest upstream starts that crashed while running this work.
    starts: Vec<u64>,
    /// For an object: requests for it that became refused since its last answer, at most
    /// [`CRASHES_TO_REFUSE`]. Empty for a request.
    refused_requests: Vec<WorkKey>,
    /// Consecutive crashes. Requests that were in flight at several upstreams when all of them
    /// crashed count one crash, since such crashes (as in a zone's power failure) have a common
    /// cause.
    pub crashes: u32,
    /// Time of the last crash, or of the last clearing if there was no crash after it.
    pub last_crash_at: Instant,
    /// Number of times that suspicion known to other hosts was cleared; never decreases.
    clears: u32,
    /// Time of the last clearing.
    cleared_at: Option<Instant>,
    /// Start of the trial under way.
    trial_since: Option<Instant>,
    /// Answers to trial requests since the last crash.
    answers: u32,
    last_answer_at: Option<Instant>,
}

impl Suspicion {
    /// No crashes known.
    pub fn new(now: Instant) -> Self {
        Suspicion {
            starts: Vec::new(),
            refused_requests: Vec::new(),
            crashes: 0,
            last_crash_at: now,
            clears: 0,
            cleared_at: None,
            trial_since: None,
            answers: 0,
            last_answer_at: None,
        }
    }

    /// Whether the work is sent only as a trial.
    pub fn is_refused(&self) -> bool {
        self.crashes >= CRASHES_TO_REFUSE
    }

    /// How long the work is refused after its last crash; `jitter` is a constant of this host from
    /// 0 to 1.
    pub fn refused_for(&self, jitter: f64) -> Duration {
        let Some(more) = self.crashes.checked_sub(CRASHES_TO_REFUSE) else {
            return Duration::ZERO;
        };
        let times = REFUSAL_MULTIPLIER.saturating_pow(more);
        let refused = BASE_REFUSAL.saturating_mul(times).min(MAX_REFUSAL);
        refused.mul_f64(1.0 + JITTER_RATIO * jitter)
    }

    /// Time until which the work is refused: by its crashes, its last answer, or the trial under
    /// way.
    pub fn refused_until(&self, jitter: f64) -> Instant {
        let by_crashes = self.last_crash_at + self.refused_for(jitter);
        let trial_interval = MIN_TRIAL_INTERVAL.mul_f64(1.0 + JITTER_RATIO * jitter);
        let by_answers = self.last_answer_at.map(|at| at + trial_interval);
        let by_trial = self.trial_since.map(|since| since + TRIAL_TIMEOUT);
        let later = |until: Instant, other: Option<Instant>| other.map_or(until, |o| o.max(until));
        later(later(by_crashes, by_answers), by_trial)
    }

    /// Whether this record still affects any decision.
    pub fn is_remembered(&self, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        let was_cleared = self.cleared_at.map(since);
        since(self.last_crash_at) < CRASH_RETENTION.max(2 * self.refused_for(1.0))
            || was_cleared.is_some_and(|since| since < CLEARING_RETENTION)
    }

    /// Records the start of a trial; true unless another trial was under way.
    pub fn start_trial(&mut self, now: Instant) -> bool {
        self.trial_since.replace(now).is_none()
    }

    /// Counts the crash of an upstream start; false if this crash was counted before.
    pub fn count_crash(&mut self, start: u64, sent_at: Instant, crashed_at: Instant) -> bool {
        if self.starts.contains(&start) {
            return false;
        }
        if self.starts.len() == MAX_STARTS {
            self.starts.remove(0);
        }
        self.starts.push(start);
        // The third crash counts even if the work was sent before the second one: among three
        // crashes one coincidence is likely, two are not.
        let is_third_crash =
            self.crashes == CRASHES_TO_REFUSE && self.starts.len() > CRASHES_TO_REFUSE as usize;
        if self.crashes == 0 || is_third_crash || sent_at >= self.last_crash_at {
            self.crashes += 1;
            self.record_crash(crashed_at);
        }
        true
    }

    /// Counts a request for this object that became refused.
    pub fn count_refused_request(&mut self, request: WorkKey, crashed_at: Instant) {
        if !self.refused_requests.contains(&request) {
            self.refused_requests.push(request);
            self.crashes += 1;
            self.record_crash(crashed_at);
        }
    }

    /// Applies an operator's order to refuse the work.
    pub fn refuse(&mut self, now: Instant) {
        self.crashes = OPERATOR_REFUSAL_CRASHES.max(self.crashes + 1);
        self.record_crash(now);
    }

    /// Records the time of a crash and resets trial and answers.
    fn record_crash(&mut self, crashed_at: Instant) {
        self.last_crash_at = self.last_crash_at.max(crashed_at);
        self.trial_since = None;
        self.answers = 0;
        self.last_answer_at = None;
    }

    /// Records an answer to work that was sent at `sent_at`; false if the answer proves nothing.
    pub fn record_answer(&mut self, now: Instant, sent_at: Instant) -> bool {
        // Work in flight at the time of the last crash proves nothing about later work.
        let is_suspected = self.is_refused() || !self.refused_requests.is_empty();
        if self.crashes == 0 || (is_suspected && sent_at < self.last_crash_at) {
            return false;
        }
        self.answers += 1;
        self.last_answer_at = Some(now);
        self.trial_since = None;
        true
    }

    /// Clears all suspicion.
    pub fn clear(&mut self, now: Instant) {
        // The new version must be higher than any that other hosts may hold.
        if self.crashes > 0 && self.is_shared() {
            self.clears += 1;
            self.cleared_at = Some(now);
        }
        *self = Suspicion {
            clears: self.clears,
            cleared_at: self.cleared_at,
            ..Suspicion::new(now)
        };
    }

    /// Whether other hosts must know this state as well.
    pub fn is_shared(&self) -> bool {
        self.is_refused() || self.clears > 0
    }

    /// Version of this state; of two hosts' states the higher version wins.
    pub fn rank(&self) -> WorkRank {
        WorkRank {
            clears: self.clears,
            crashes: self.crashes,
            answers: self.answers,
        }
    }

    /// The state to send to other hosts, with ages as of `now`.
    pub fn state(&self, now: Instant, key: WorkKey) -> WorkState {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        WorkState {
            key,
            rank: self.rank(),
            starts: self.starts.clone(),
            last_crash_ms: age_ms(self.last_crash_at),
            cleared_ms: self.cleared_at.map(age_ms),
            last_answer_ms: self.last_answer_at.map(age_ms),
            trial_ms: self.trial_since.map(age_ms),
        }
    }

    /// Takes over another host's state if its version is higher.
    pub fn merge(&mut self, now: Instant, state: &WorkState) {
        if state.rank <= self.rank() {
            return;
        }
        let at = |age_ms| instant_before(now, age_ms);
        let cleared_at = state.cleared_ms.map(at);
        // Crashes after the other host's clearing remain counted.
        let crashed_after_clearing =
            cleared_at.is_some_and(|cleared_at| cleared_at < self.last_crash_at);
        if state.rank.clears > self.clears
            && state.rank.crashes < self.crashes
            && crashed_after_clearing
        {
            self.clears = state.rank.clears;
            self.cleared_at = cleared_at;
            return;
        }
        self.clears = state.rank.clears;
        self.cleared_at = cleared_at;
        self.crashes = state.rank.crashes;
        self.answers = state.rank.answers;
        self.last_crash_at = at(state.last_crash_ms);
        self.last_answer_at = state.last_answer_ms.map(at);
        self.trial_since = state.trial_ms.map(at);
        let known = state.starts.iter().take(MAX_STARTS);
        self.starts = known.copied().collect();
    }

    /// Whether answers have shown that the work crashes no upstream any more.
    pub fn is_cleared(&self) -> bool {
        self.answers > 0 && (!self.is_refused() || self.answers >= ANSWERS_TO_CLEAR)
    }
}
