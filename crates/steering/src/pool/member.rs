//! One upstream in a pool, as seen by the pool's owner.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::choice::Candidate;
use crate::document::Upstream;
use crate::ids::UpstreamName;
use crate::labels;
use crate::statement::{ActiveStatements, Obstacle};

/// Small, because zones are compared by the average, and reacting to noise would cost round trips
/// between zones.
const LATENCY_WEIGHT: f64 = 0.05;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
const SLOW_FACTOR: f64 = 4.0;
/// Multiple of the expected duration after which a missing answer counts against an upstream. It
/// is high enough to be exceeded rarely where request durations vary.
const SILENT_FACTOR: f64 = 10.0;
const WINDOW_DECREASE: f64 = 0.7;
const INITIAL_WINDOW: f64 = 0.34;
/// Time for which a window must be in use to keep its width, as in RFC 7661: an upstream's caches
/// are warm for the load that it served, not for the load that the window allowed.
const WINDOW_CHECK_INTERVAL: Duration = Duration::from_secs(10);
const WINDOW_HEADROOM: f64 = 2.0;
const FAILURES_TO_EJECT: u32 = 3;
const REJECTION_PAUSE: Duration = Duration::from_millis(100);
const EJECTION_PAUSE: Duration = Duration::from_secs(2);

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered; time to the first byte.
    Answered(Duration),
    /// The upstream rejected the request without running it.
    Shed,
    /// The upstream rejected the request without running it, and requested a rest of this length.
    Rests(Duration),
    /// The upstream could not be reached, or broke the connection.
    Failed,
    /// The caller left, or the deadline passed.
    Cancelled,
}

/// Load report of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the upstream runs, from all hosts.
    pub in_flight: u32,
    /// Whether the upstream accepts work.
    pub healthy: bool,
}

/// State of one upstream, for dumps and drains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Number of requests that this host has sent and that have not ended.
    pub in_flight: u32,
    /// Number of slots that other hosts' requests may occupy.
    pub unknown: u32,
    /// Number of slots that may be used now.
    pub allowed: u32,
    /// Whether the upstream accepts new work.
    pub usable: bool,
    /// Moving average of the time to first byte, in milliseconds.
    pub latency_ms: f64,
}

/// An upstream with the counts of the pool's owner.
pub struct Member {
    pub upstream: Arc<Upstream>,
    /// At most `upstream.slots`, unless the slots were reduced meanwhile.
    pub in_flight: u32,
    /// No longer configured; kept until `in_flight` is 0.
    pub leaving: bool,
    /// Whether the last report says that the upstream accepts no work; only a report resets this.
    refuses_work: bool,
    /// Statements from the upstream's answers.
    statements: ActiveStatements,
    /// Concurrency window, from 1 to `upstream.slots`; grows with good answers, shrinks with
    /// rejected and slow ones.
    window: f64,
    /// Maximum of requests in flight since `window_checked`.
    window_peak: u32,
    window_checked: Instant,
    latency_ms: Option<f64>,
    latency_at: Instant,
    /// Latest time passed to `refresh`, `release` or `report`.
    latest_at: Instant,
    failures: u32,
    paused_until: Instant,
    /// Send times of the requests without an answer; at most `in_flight`.
    unanswered: Vec<Instant>,
    /// Expected duration of a request at the last refresh; 0 before the first.
    expected_ms: f64,
    /// Age of the oldest unanswered request at the last refresh.
    silent_ms: f64,
    /// Slots that requests of other hosts may occupy.
    unknown: u32,
    unknown_until: Instant,
}

impl Member {
    pub fn new(upstream: Arc<Upstream>, now: Instant, unknown_until: Instant) -> Self {
        let unknown = if unknown_until > now {
            upstream.slots
        } else {
            0
        };
        Member {
            window: initial_window(upstream.slots),
            upstream,
            in_flight: 0,
            leaving: false,
            refuses_work: false,
            statements: ActiveStatements::default(),
            window_peak: 0,
            window_checked: now,
            latency_ms: None,
            latency_at: now,
            latest_at: now,
            failures: 0,
            paused_until: now,
            unanswered: Vec::new(),
            expected_ms: 0.0,
            silent_ms: 0.0,
            unknown,
            unknown_until,
        }
    }

    pub fn reconfigure(&mut self, upstream: Arc<Upstream>) {
        self.leaving = false;
        self.upstream = upstream;
    }

    /// Updates all values that depend on the time.
    pub fn refresh(&mut self, now: Instant, expected: Duration) {
        if now >= self.unknown_until {
            self.unknown = 0;
        }
        if now >= self.paused_until && self.failures >= FAILURES_TO_EJECT {
            self.failures = FAILURES_TO_EJECT - 1;
        }
        let age = now.saturating_duration_since(self.latency_at);
        let keep = 0.5_f64.powf(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64());
        let expected_ms = expected.as_secs_f64() * 1_000.0;
        if let Some(latency_ms) = &mut self.latency_ms {
            *latency_ms = expected_ms + (*latency_ms - expected_ms) * keep;
        }
        self.latency_at = now;
        self.latest_at = now;
        let oldest = self.unanswered.iter().min();
        let oldest = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(*sent));
        self.silent_ms = oldest.as_secs_f64() * 1_000.0;
        self.expected_ms = expected_ms;
        if now.saturating_duration_since(self.window_checked) > WINDOW_CHECK_INTERVAL {
            self.narrow_window(now);
        }
    }

    /// Whether the upstream accepts work, now or at the end of its rest.
    pub fn usable(&self) -> bool {
        !self.leaving
            && !self.refuses_work
            && self.failures < FAILURES_TO_EJECT
            && labels::takes_new_work(&self.upstream.labels)
    }

    /// Remaining rest at the latest known time; zero for any other obstacle, `None` without one.
    pub fn rests_for(&self) -> Option<Duration> {
        match self.statements.obstacle(self.latest_at)? {
            Obstacle::Rests(rest) => Some(rest),
            _ => Some(Duration::ZERO),
        }
    }

    /// Number of slots that may be used now; none while the upstream rests.
    pub fn allowed(&self) -> u32 {
        if self.rests_for().is_some() {
            return 0;
        }
        let window = (self.window.floor() as u32).max(1);
        window
            .min(self.upstream.slots)
            .min(self.upstream.connection_limit)
    }

    pub fn latency_ms(&self) -> f64 {
        self.latency_ms.unwrap_or(0.0)
    }

    /// The upstream as seen by a policy. For a hedge the age of any unanswered request counts,
    /// otherwise only that of a late one.
    pub fn candidate(&self, hedge: bool) -> Candidate {
        let late = hedge || self.silent_ms >= self.expected_ms * SILENT_FACTOR;
        let silent_ms = if late { self.silent_ms } else { 0.0 };
        let paused = self.paused_until > self.latency_at;
        let allowed = if self.usable() && !paused {
            self.allowed()
        } else {
            0
        };
        Candidate {
            in_flight: self.in_flight + self.unknown,
            allowed,
            latency_ms: self.latency_ms.unwrap_or(self.expected_ms).max(silent_ms),
        }
    }

    /// Records the first byte of an answer; the body may take long.
    pub fn first_byte(&mut self, now: Instant, sent: Instant, expected: Duration) {
        self.statements.answered(sent);
        if self.stop_awaiting(sent) {
            self.record_success(now.saturating_duration_since(sent), expected);
        }
    }

    /// Stops waiting for the answer to the request sent at `sent`; true if there was none yet.
    fn stop_awaiting(&mut self, sent: Instant) -> bool {
        let position = self.unanswered.iter().position(|sent_at| *sent_at == sent);
        position.map(|at| self.unanswered.swap_remove(at)).is_some()
    }

    pub fn release(&mut self, now: Instant, sent: Instant, outcome: Outcome, expected: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.latest_at = now;
        let was_unanswered = self.stop_awaiting(sent);
        match outcome {
            Outcome::Shed => drop(self.statements.answered(sent)),
            // A rest of zero length is an answer like any other, and ends a trial.
            Outcome::Rests(rest) => {
                self.statements.rest(now, rest);
                self.statements.answered(sent);
            }
            // A first byte was recorded when it arrived. Without one the deadline has passed.
            Outcome::Answered(_) | Outcome::Failed | Outcome::Cancelled => {
                self.statements.unanswered(sent);
            }
        }
        match outcome {
            Outcome::Answered(latency) if was_unanswered => self.record_success(latency, expected),
            Outcome::Answered(_) => {}
            Outcome::Shed | Outcome::Rests(_) => {
                self.shrink_window();
                self.paused_until = now + REJECTION_PAUSE;
            }
            Outcome::Failed => {
                self.failures += 1;
                self.paused_until = now + REJECTION_PAUSE;
                if self.failures >= FAILURES_TO_EJECT {
                    self.paused_until = now + EJECTION_PAUSE;
                }
            }
            // A request cancelled late shows that the upstream takes at least this long.
            Outcome::Cancelled if was_unanswered => {
                let waited = now.saturating_duration_since(sent);
                if waited >= expected.mul_f64(SLOW_FACTOR) {
                    self.record_latency(waited, expected);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    pub fn report(&mut self, measured: Instant, report: &LoadReport) {
        self.latest_at = self.latest_at.max(measured);
        self.refuses_work = !report.healthy;
        if self.refuses_work {
            return;
        }
        if self.failures >= FAILURES_TO_EJECT {
            self.failures = FAILURES_TO_EJECT - 1;
        }
        if measured < self.unknown_until {
            let foreign = report.in_flight.saturating_sub(self.in_flight);
            self.unknown = self.unknown.min(foreign);
        }
    }

    pub fn probe_failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            name: self.upstream.name.clone(),
            in_flight: self.in_flight,
            unknown: self.unknown,
            allowed: self.allowed(),
            usable: self.usable(),
            latency_ms: self.latency_ms(),
        }
    }

    /// Counts a request that is sent now.
    pub fn enter(&mut self, now: Instant) {
        self.in_flight += 1;
        self.statements.sent(now);
        self.unanswered.push(now);
        self.window_peak = self.window_peak.max(self.in_flight);
    }

    /// Narrows a window that was not fully used.
    fn narrow_window(&mut self, now: Instant) {
        let used = f64::from(self.window_peak) * WINDOW_HEADROOM;
        let start = initial_window(self.upstream.slots);
        self.window = self.window.min(used.max(start));
        self.window_peak = self.in_flight;
        self.window_checked = now;
    }

    fn record_success(&mut self, latency: Duration, expected: Duration) {
        self.failures = 0;
        self.record_latency(latency, expected);
    }

    fn record_latency(&mut self, latency: Duration, expected: Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let before = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(before + (latency_ms - before) * LATENCY_WEIGHT);
        if latency > expected.mul_f64(SLOW_FACTOR) {
            self.shrink_window();
        } else {
            let slots = f64::from(self.upstream.slots);
            self.window = (self.window + 1.0 / self.window).min(slots);
        }
    }

    fn shrink_window(&mut self) {
        self.window = (self.window * WINDOW_DECREASE).max(1.0);
    }
}

fn initial_window(slots: u32) -> f64 {
    (f64::from(slots) * INITIAL_WINDOW).max(1.0)
}
