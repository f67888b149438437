//! Decides whether connections to a zone's upstreams are made directly or relayed.
//!
//! A host that can't reach an upstream does not know whether the upstream is down or only its own
//! link to it. Another host that reaches the upstream tells the two apart (Huang et al., "Gray
//! Failure", HotOS 2017).

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::DirectResult;
use crate::route::health::AnswerOutcome;
use crate::route::reported_upstream::UpstreamId;

/// Upstreams that fail on direct connections, without an answer over one in between, from which a
/// relay is tried.
const MIN_FAILING_UPSTREAMS: usize = 2;
/// Failures of any upstreams from which a relay is tried, for zones with a single upstream.
const MIN_FAILURES: u32 = 3;
/// Requests that wait on direct connections without any answer from which a relay is tried.
const MIN_SILENT_REQUESTS: u32 = 3;
/// Time without an answer from which requests count as unanswered.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Multiple of the longest expected work from which they do, if that is longer.
const SILENT_WORK_FACTOR: f64 = 1.5;
/// Relays that are opened at the same time before the first one has been opened.
const MAX_UNCONFIRMED_RELAYS: u32 = 4;
/// Failed relays, before the first one is opened, after which the upstreams count as down.
const MAX_UNCONFIRMED_FAILURES: u32 = 2;
/// Time for which no relay is tried after relays have failed, or the direct path has returned;
/// doubles once if that happens again.
const RELAY_PAUSE: Duration = Duration::from_secs(1);
/// Time after which an earlier return does not count any more.
const RETURN_FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// Interval between trials of the direct path.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// Successful trials in a row after which new connections are direct again.
const TRIALS_TO_RETURN: u32 = 2;
/// Time since the last answer over a direct connection for which open direct connections are used
/// while new ones are relayed.
const OPEN_CONNECTIONS_USED_FOR: Duration = Duration::from_millis(500);

/// How to connect to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectPlan {
    /// Whether open direct connections may be used.
    pub uses_open_direct: bool,
    /// Whether a new connection is relayed. Such a relay is counted until
    /// [`ZonePath::relay_opened`] or [`ZonePath::relay_failed`].
    pub relays: bool,
    /// Whether the direct path is to be tried, beside the request.
    pub tries_direct: bool,
    /// What has changed with this plan.
    pub change: Option<PathChange>,
}

/// Change of the path to a zone's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Direct connections fail, or nothing answers over them: relays are tried.
    TriesRelays,
    /// A relay was opened where direct connections fail: this host's own links are cut.
    Relayed,
    /// Relays fail too: the upstreams are down, or nobody can relay.
    RelaysFail,
    /// The direct path has passed its trials after this time.
    Direct(Duration),
}

/// Why a relay was not opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFailure {
    /// No host could relay.
    NoHost,
    /// Another host does not reach the upstream either.
    UpstreamDown,
}

/// State of the path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Direct,
    /// Direct connections fail; no relay has been opened yet.
    TriesRelays {
        /// Relays that are being opened; at most [`MAX_UNCONFIRMED_RELAYS`].
        opening: u32,
        failures: u32,
    },
    Relayed {
        since: Instant,
        next_trial_at: Instant,
        /// Successful trials since the last failed one.
        trials_passed: u32,
    },
}

/// The path from this host to a zone's upstreams.
#[derive(Debug, Default)]
pub struct ZonePath {
    state: State,
    /// Upstreams that have failed on direct connections since the last answer over one.
    failing: BTreeSet<UpstreamId>,
    /// Failures since then.
    failures: u32,
    /// Requests sent on direct connections that have got no answer yet.
    unanswered: u32,
    /// Time since which none of them has been answered; `None` if there are none.
    silent_since: Option<Instant>,
    /// Longest expected work of the unanswered requests; zero if there are none.
    longest_work: Duration,
    last_direct_answer: Option<Instant>,
    /// Time before which no relay is tried, and how often in a row that was set.
    relay_pause: Option<(Instant, u32)>,
}

impl ZonePath {
    /// Returns how to connect. `is_other_relayed` says whether the upstreams of another zone are
    /// reached through other hosts, so that a single failure is evidence enough.
    pub fn plan(&mut self, now: Instant, is_other_relayed: bool) -> ConnectPlan {
        let change = self.review(now, is_other_relayed);
        let has_recent_answer = self
            .last_direct_answer
            .is_some_and(|at| now.saturating_duration_since(at) <= OPEN_CONNECTIONS_USED_FOR);
        let mut plan = ConnectPlan {
            uses_open_direct: true,
            relays: false,
            tries_direct: false,
            change,
        };
        match &mut self.state {
            State::Direct => {}
            State::TriesRelays { opening, .. } => {
                plan.relays = *opening < MAX_UNCONFIRMED_RELAYS;
                plan.uses_open_direct = has_recent_answer;
                *opening += u32::from(plan.relays);
            }
            State::Relayed { next_trial_at, .. } => {
                plan.relays = true;
                plan.uses_open_direct = has_recent_answer;
                plan.tries_direct = now >= *next_trial_at;
                if plan.tries_direct {
                    *next_trial_at = now + TRIAL_INTERVAL;
                }
            }
        }
        plan
    }

    /// Returns whether a relay has been opened and the direct path has not returned since.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.state, State::Relayed { .. })
    }

    /// Returns whether relays are tried or used.
    pub fn is_relayed(&self) -> bool {
        self.state != State::Direct
    }

    /// Records a request that is about to be sent on a direct connection.
    pub fn direct_sent(&mut self, now: Instant, work: Duration) {
        self.unanswered += 1;
        self.longest_work = self.longest_work.max(work);
        self.silent_since.get_or_insert(now);
    }

    /// Records what came of a request on a direct connection.
    pub fn direct_ended(&mut self, now: Instant, upstream: &str, result: DirectResult) {
        self.unanswered = self.unanswered.saturating_sub(1);
        match result.outcome {
            AnswerOutcome::Complete | AnswerOutcome::Refused => self.direct_answered(now),
            AnswerOutcome::Unreachable | AnswerOutcome::Broken => {
                self.direct_failed(upstream);
            }
            AnswerOutcome::Unknown => {
                let waited = now.saturating_duration_since(result.sent_at);
                let answered_since = self
                    .last_direct_answer
                    .is_some_and(|answered_at| answered_at >= result.sent_at);
                if waited > silence_limit(result.work) && !answered_since {
                    self.direct_failed(upstream);
                }
            }
        }
        if self.unanswered == 0 {
            self.silent_since = None;
            self.longest_work = Duration::ZERO;
        }
    }

    /// Records that a direct connection to an upstream could not be opened.
    pub fn direct_failed(&mut self, upstream: &str) {
        self.failing.insert(upstream.to_owned());
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that a relay was opened.
    pub fn relay_opened(&mut self, now: Instant) -> Option<PathChange> {
        let State::TriesRelays { .. } = self.state else {
            return None;
        };
        self.state = State::Relayed {
            since: now,
            next_trial_at: now + TRIAL_INTERVAL,
            trials_passed: 0,
        };
        Some(PathChange::Relayed)
    }

    /// Records that a relay could not be opened. Once one has been opened, failures do not lead
    /// back to direct connections, which are known to fail.
    pub fn relay_failed(&mut self, now: Instant, failure: RelayFailure) -> Option<PathChange> {
        let State::TriesRelays { opening, failures } = &mut self.state else {
            return None;
        };
        *opening = opening.saturating_sub(1);
        *failures += 1;
        if failure == RelayFailure::UpstreamDown && *failures < MAX_UNCONFIRMED_FAILURES {
            return None;
        }
        self.use_direct(now);
        Some(PathChange::RelaysFail)
    }

    /// Records the result of a trial of the direct path.
    pub fn trial_ended(&mut self, now: Instant, passed: bool) -> Option<PathChange> {
        let State::Relayed {
            since,
            trials_passed,
            ..
        } = &mut self.state
        else {
            return None;
        };
        *trials_passed = if passed { *trials_passed + 1 } else { 0 };
        if *trials_passed < TRIALS_TO_RETURN {
            return None;
        }
        let relayed_for = now.saturating_duration_since(*since);
        self.use_direct(now);
        self.direct_answered(now);
        Some(PathChange::Direct(relayed_for))
    }

    fn review(&mut self, now: Instant, is_other_relayed: bool) -> Option<PathChange> {
        let is_paused = self.relay_pause.is_some_and(|(until, _)| until > now);
        if self.state != State::Direct || is_paused || !self.fails_directly(now, is_other_relayed) {
            return None;
        }
        self.state = State::TriesRelays {
            opening: 0,
            failures: 0,
        };
        Some(PathChange::TriesRelays)
    }

    fn fails_directly(&self, now: Instant, is_other_relayed: bool) -> bool {
        let min_failing = if is_other_relayed {
            1
        } else {
            MIN_FAILING_UPSTREAMS
        };
        let is_silent = self.unanswered >= MIN_SILENT_REQUESTS
            && self.silent_since.is_some_and(|since| {
                now.saturating_duration_since(since) > silence_limit(self.longest_work)
            });
        is_silent || self.failing.len() >= min_failing || self.failures >= MIN_FAILURES
    }

    fn direct_answered(&mut self, now: Instant) {
        self.last_direct_answer = Some(now);
        self.failing.clear();
        self.failures = 0;
        self.silent_since = (self.unanswered > 0).then_some(now);
    }

    fn use_direct(&mut self, now: Instant) {
        let repeated = self.relay_pause.is_some_and(|(until, _)| {
            now.saturating_duration_since(until) < RETURN_FORGOTTEN_AFTER
        });
        let doublings = u32::from(repeated);
        self.relay_pause = Some((now + RELAY_PAUSE * 2u32.pow(doublings), doublings));
        self.state = State::Direct;
        self.failing.clear();
        self.failures = 0;
    }
}

fn silence_limit(work: Duration) -> Duration {
    SILENT_AFTER.max(work.mul_f64(SILENT_WORK_FACTOR))
}
