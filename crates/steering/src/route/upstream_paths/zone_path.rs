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

/// Number of upstreams that fail on direct connections, with no answer in between, from which it is
/// checked who reaches them.
const MIN_FAILING_UPSTREAMS: usize = 2;
/// Number of failures, of whatever upstreams, from which it is checked; for zones with a single
/// upstream.
const MIN_FAILURES: u32 = 3;
/// Time after the last failure for which failures count.
const FAILURES_KEPT_FOR: Duration = Duration::from_secs(10);
/// Number of requests that wait on direct connections, with no answer in between, from which it is
/// checked.
const MIN_SILENT_REQUESTS: u32 = 3;
/// Time without an answer from which requests count as unanswered, unless the longest expected work
/// is longer.
const SILENT_AFTER: Duration = Duration::from_millis(250);
/// Time until the next check after a failed one, or after the direct path has returned; doubles
/// once if that happens again.
const CHECK_PAUSE: Duration = Duration::from_secs(1);
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
    /// Whether a new connection is relayed.
    pub relays: bool,
    /// Whether to check, beside the request, who reaches the upstream. The result is recorded with [`ZonePath::check_ended`].
    pub needs_check: bool,
    /// Whether to try the direct path, beside the request. The result is recorded with
    /// [`ZonePath::trial_ended`].
    pub tries_direct: bool,
    /// What has changed with this plan.
    pub change: Option<PathChange>,
}

/// Change of the path to a zone's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Direct connections fail, or nothing answers over them; who reaches the upstreams is checked.
    DirectFails,
    /// An upstream answers another host where direct connections fail: this host's own links are
    /// cut.
    Relayed,
    /// The direct path works: the upstreams themselves failed, or are slow to answer.
    DirectWorks,
    /// The upstream answers no other host either, or none could be asked.
    NotReached,
    /// The direct path has passed its trials after this time.
    Direct(Duration),
}

/// What a check of an upstream has shown that seems not to be reached. This host and the others ask
/// the same question: whether the upstream answers on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// It answers this host.
    AnswersDirectly,
    /// It does not answer this host, and answers another one in less time.
    AnswersOthers,
    /// It answers nobody, as far as could be asked.
    NotReached,
}

/// Why direct connections seem to fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// Connections failed. Answers over other connections do not contradict that.
    Failures,
    /// Nothing was answered for a while, as also happens where upstreams have much to do.
    Silence,
}

/// State of the path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Direct,
    /// Direct connections fail, and who reaches the upstreams is being checked.
    Checking { since: Instant, evidence: Evidence },
    Relayed {
        since: Instant,
        next_trial_at: Instant,
        /// Successful trials since the last failed one.
        trials_passed: u32,
    },
}

/// Failures of a zone's upstreams without an answer in between.
#[derive(Debug, Default)]
struct Failures {
    upstreams: BTreeSet<UpstreamId>,
    count: u32,
    last: Option<Instant>,
}

impl Failures {
    fn add(&mut self, now: Instant, upstream: &str) {
        if !self.is_recent(now) {
            *self = Failures::default();
        }
        self.upstreams.insert(upstream.to_owned());
        self.count = self.count.saturating_add(1);
        self.last = Some(now);
    }

    fn is_recent(&self, now: Instant) -> bool {
        let age = self.last.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < FAILURES_KEPT_FOR)
    }

    fn are_evidence(&self, now: Instant, min_upstreams: usize) -> bool {
        let are_enough = self.upstreams.len() >= min_upstreams || self.count >= MIN_FAILURES;
        are_enough && self.is_recent(now)
    }
}

/// The path from this host to a zone's upstreams.
#[derive(Debug, Default)]
pub struct ZonePath {
    state: State,
    /// Failures to open a connection, or on a connection's first request, since the last answer to
    /// a first request. Open connections may live on while new ones fail.
    new_failures: Failures,
    /// Failures on open connections since the last answer over any.
    open_failures: Failures,
    /// Requests sent on direct connections that have got no answer yet.
    unanswered: u32,
    /// Time since which none of them has been answered; `None` if there are none.
    silent_since: Option<Instant>,
    /// Longest expected work of the unanswered requests; zero if there are none.
    longest_work: Duration,
    last_direct_answer: Option<Instant>,
    /// Time before which no check is made, and how often in a row that was set.
    check_pause: Option<(Instant, u32)>,
    /// Whether [`ZonePath::plan`] is called at intervals, since requests that get no answer may be
    /// followed by no others.
    is_watched: bool,
}

impl ZonePath {
    /// Returns how to connect. `is_other_relayed` says whether the upstreams of another zone are
    /// reached through other hosts, so that one failure or one silent request is evidence enough.
    pub fn plan(&mut self, now: Instant, is_other_relayed: bool) -> ConnectPlan {
        let change = self.review(now, is_other_relayed);
        let has_recent_answer = self
            .last_direct_answer
            .is_some_and(|at| now.saturating_duration_since(at) <= OPEN_CONNECTIONS_USED_FOR);
        let mut plan = ConnectPlan {
            uses_open_direct: true,
            relays: false,
            needs_check: change == Some(PathChange::DirectFails),
            tries_direct: false,
            change,
        };
        match &mut self.state {
            State::Direct | State::Checking { .. } => {}
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

    /// Returns whether connections are relayed.
    pub fn is_relayed(&self) -> bool {
        matches!(self.state, State::Relayed { .. })
    }

    /// Records a request that is about to be sent on a direct connection. Returns whether to begin
    /// a watch of the path.
    pub fn direct_sent(&mut self, now: Instant, work: Duration) -> bool {
        self.unanswered += 1;
        self.longest_work = self.longest_work.max(work);
        self.silent_since.get_or_insert(now);
        !std::mem::replace(&mut self.is_watched, true)
    }

    /// Returns whether the watch of the path goes on; it ends once all requests are answered.
    pub fn is_watched(&mut self) -> bool {
        self.is_watched = self.unanswered > 0;
        self.is_watched
    }

    /// Returns whether a request that was sent on a direct connection will get no answer: the path
    /// is cut, and nothing has been answered over it since.
    pub fn is_lost(&self, sent_at: Instant) -> bool {
        let answered_since = self.last_direct_answer.is_some_and(|at| at >= sent_at);
        self.is_relayed() && !answered_since
    }

    /// Records what came of a request on a direct connection.
    pub fn direct_ended(&mut self, now: Instant, upstream: &str, result: DirectResult) {
        self.unanswered = self.unanswered.saturating_sub(1);
        match result.outcome {
            AnswerOutcome::Complete | AnswerOutcome::Refused => {
                self.direct_answered(now, result.is_first);
            }
            AnswerOutcome::Unreachable | AnswerOutcome::Broken => {
                self.failed(now, upstream, result.is_first);
            }
            AnswerOutcome::Unknown => {
                let waited = now.saturating_duration_since(result.sent_at);
                let answered_since = self
                    .last_direct_answer
                    .is_some_and(|answered_at| answered_at >= result.sent_at);
                if waited > silence_limit(result.work) && !answered_since {
                    self.failed(now, upstream, result.is_first);
                }
            }
        }
        if self.unanswered == 0 {
            self.silent_since = None;
            self.longest_work = Duration::ZERO;
        }
    }

    /// Records that a direct connection to an upstream could not be opened.
    pub fn direct_failed(&mut self, now: Instant, upstream: &str) {
        self.failed(now, upstream, true);
    }

    /// Returns whether this host can't tell from a failure of its own whether an upstream is down.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        self.state != State::Direct || self.evidence(now, false).is_some()
    }

    /// Records what the check of an upstream of the zone has shown.
    pub fn check_ended(&mut self, now: Instant, result: CheckResult) -> Option<PathChange> {
        let State::Checking { since, evidence } = self.state else {
            return None;
        };
        let answered_since = self.last_direct_answer.is_some_and(|at| at >= since);
        let is_contradicted = evidence == Evidence::Silence && answered_since;
        match result {
            CheckResult::AnswersOthers if is_contradicted => {
                self.use_direct(now);
                Some(PathChange::DirectWorks)
            }
            CheckResult::AnswersDirectly => {
                self.use_direct(now);
                Some(PathChange::DirectWorks)
            }
            CheckResult::NotReached => {
                self.use_direct(now);
                Some(PathChange::NotReached)
            }
            CheckResult::AnswersOthers => {
                self.state = State::Relayed {
                    since: now,
                    next_trial_at: now + TRIAL_INTERVAL,
                    trials_passed: 0,
                };
                Some(PathChange::Relayed)
            }
        }
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
        self.direct_answered(now, true);
        Some(PathChange::Direct(relayed_for))
    }

    fn review(&mut self, now: Instant, is_other_relayed: bool) -> Option<PathChange> {
        let is_paused = self.check_pause.is_some_and(|(until, _)| until > now);
        if self.state != State::Direct || is_paused {
            return None;
        }
        let evidence = self.evidence(now, is_other_relayed)?;
        self.state = State::Checking {
            since: now,
            evidence,
        };
        Some(PathChange::DirectFails)
    }

    /// Returns the strongest evidence that direct connections fail.
    fn evidence(&self, now: Instant, is_other_relayed: bool) -> Option<Evidence> {
        let (min_failing, min_silent) = match is_other_relayed {
            true => (1, 1),
            false => (MIN_FAILING_UPSTREAMS, MIN_SILENT_REQUESTS),
        };
        let failures = [&self.new_failures, &self.open_failures];
        let mut failures = failures.into_iter();
        if failures.any(|failures| failures.are_evidence(now, min_failing)) {
            return Some(Evidence::Failures);
        }
        let is_silent = self.unanswered >= min_silent
            && self.silent_since.is_some_and(|since| {
                now.saturating_duration_since(since) > silence_limit(self.longest_work)
            });
        is_silent.then_some(Evidence::Silence)
    }

    fn failed(&mut self, now: Instant, upstream: &str, is_first: bool) {
        let failures = match is_first {
            true => &mut self.new_failures,
            false => &mut self.open_failures,
        };
        failures.add(now, upstream);
    }

    fn direct_answered(&mut self, now: Instant, is_first: bool) {
        self.last_direct_answer = Some(now);
        self.open_failures = Failures::default();
        if is_first {
            self.new_failures = Failures::default();
        }
        self.silent_since = (self.unanswered > 0).then_some(now);
    }

    fn use_direct(&mut self, now: Instant) {
        let repeated = self.check_pause.is_some_and(|(until, _)| {
            now.saturating_duration_since(until) < RETURN_FORGOTTEN_AFTER
        });
        let doublings = u32::from(repeated);
        self.check_pause = Some((now + CHECK_PAUSE * 2u32.pow(doublings), doublings));
        self.state = State::Direct;
        self.new_failures = Failures::default();
        self.open_failures = Failures::default();
    }
}

fn silence_limit(work: Duration) -> Duration {
    SILENT_AFTER.max(work)
}
