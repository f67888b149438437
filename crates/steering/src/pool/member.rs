//! One upstream in a pool, as its owner sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::choice::Candidate;
use crate::document::Upstream;
use crate::ids::UpstreamName;
use crate::labels;
use crate::statement::{ActiveStatements, Obstacle};

/// Small: places are compared by it, and chasing noise costs ways between zones.
const LATENCY_WEIGHT: f64 = 0.05;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
const SLOW_FACTOR: f64 = 4.0;
/// Times the expected one after which silence tells against an upstream: seldom
/// enough where times of requests vary by themselves.
const LATE_FACTOR: f64 = 10.0;
const WINDOW_CUT: f64 = 0.7;
const WINDOW_START: f64 = 0.34;
/// Time over which a window must be used to stay as wide as it is (RFC 7661's
/// idea): caches are warm for what was served, not for what could have been.
const WINDOW_CHECK: Duration = Duration::from_secs(10);
const WINDOW_OVER_USE: f64 = 2.0;
const FAILURES_UNTIL_DOWN: u32 = 3;
const SHED_PAUSE: Duration = Duration::from_millis(100);
const DOWN_PAUSE: Duration = Duration::from_secs(2);

/// How a request on an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered; the time to the first byte.
    Answered(Duration),
    /// The upstream refused it without running it.
    Shed,
    /// It did, and wants nothing for this time.
    Rests(Duration),
    /// The upstream could not be reached, or broke the connection.
    Failed,
    /// The caller left, or the deadline passed.
    Cancelled,
}

/// What an upstream tells of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it runs, from whichever host.
    pub in_flight: u32,
    /// Whether it accepts work.
    pub healthy: bool,
}

/// State of one upstream, for dumps and drains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: UpstreamName,
    /// Requests that this host has sent and that have not ended.
    pub in_flight: u32,
    /// Slots that may be taken by other hosts' requests.
    pub unknown: u32,
    /// Slots that may be used now.
    pub allowed: u32,
    /// Whether it takes new work.
    pub usable: bool,
    /// Smoothed time to first byte, in milliseconds.
    pub latency_ms: f64,
}

/// An upstream and the owner's own counts of it.
pub struct Member {
    pub upstream: Arc<Upstream>,
    /// At most `upstream.slots`, unless slots were lowered meanwhile.
    pub in_flight: u32,
    /// No longer configured; kept until `in_flight` is 0.
    pub leaving: bool,
    /// Whether its last report says that it accepts no work; only a report takes that back.
    refuses_work: bool,
    /// What it has said in its answers.
    stated: ActiveStatements,
    /// From 1 to `upstream.slots`; grows with good answers, cut by sheds and slow ones.
    window: f64,
    /// Most in flight since `window_checked`.
    window_peak: u32,
    window_checked: Instant,
    latency_ms: Option<f64>,
    latency_at: Instant,
    /// Latest time that it has been told of.
    told_at: Instant,
    failures: u32,
    paused_until: Instant,
    /// When each request was sent of which nothing has come back yet; no more than
    /// `in_flight`.
    awaited: Vec<Instant>,
    /// Expected time of a request when last refreshed; 0 before.
    expected_ms: f64,
    /// How long the oldest of them had been waited for when last refreshed.
    silent_ms: f64,
    /// In flight for other hosts, as far as it can't be ruled out.
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
            window: start_window(upstream.slots),
            upstream,
            in_flight: 0,
            leaving: false,
            refuses_work: false,
            stated: ActiveStatements::default(),
            window_peak: 0,
            window_checked: now,
            latency_ms: None,
            latency_at: now,
            told_at: now,
            failures: 0,
            paused_until: now,
            awaited: Vec::new(),
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

    /// Brings figures that change with time up to date.
    pub fn refresh(&mut self, now: Instant, expected: Duration) {
        if now >= self.unknown_until {
            self.unknown = 0;
        }
        if now >= self.paused_until && self.failures >= FAILURES_UNTIL_DOWN {
            self.failures = FAILURES_UNTIL_DOWN - 1;
        }
        let age = now.saturating_duration_since(self.latency_at);
        let keep = 0.5_f64.powf(age.as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64());
        let expected_ms = expected.as_secs_f64() * 1_000.0;
        if let Some(latency_ms) = &mut self.latency_ms {
            *latency_ms = expected_ms + (*latency_ms - expected_ms) * keep;
        }
        self.latency_at = now;
        self.told_at = now;
        let oldest = self.awaited.iter().min();
        let oldest = oldest.map_or(Duration::ZERO, |sent| now.saturating_duration_since(*sent));
        self.silent_ms = oldest.as_secs_f64() * 1_000.0;
        self.expected_ms = expected_ms;
        if now.saturating_duration_since(self.window_checked) > WINDOW_CHECK {
            self.narrow_window(now);
        }
    }

    /// Whether it takes work, now or when its rest is over.
    pub fn usable(&self) -> bool {
        !self.leaving
            && !self.refuses_work
            && self.failures < FAILURES_UNTIL_DOWN
            && labels::takes_new_work(&self.upstream.labels)
    }

    /// How much longer it rests, as of the latest time told; none where it does not.
    pub fn rests_for(&self) -> Option<Duration> {
        match self.stated.obstacle(self.told_at)? {
            Obstacle::Rests(rest) => Some(rest),
            _ => Some(Duration::ZERO),
        }
    }

    /// Slots that may be used now. Those of one that rests are no room.
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

    /// As the policy sees it; for a hedge every wait for it counts, not only a late one.
    pub fn candidate(&self, hedge: bool) -> Candidate {
        let late = hedge || self.silent_ms >= self.expected_ms * LATE_FACTOR;
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

    /// The first byte of an answer has come; its body may take long.
    pub fn first_byte(&mut self, now: Instant, sent: Instant, expected: Duration) {
        self.stated.answered(sent);
        if self.stop_awaiting(sent) {
            self.answered(now.saturating_duration_since(sent), expected);
        }
    }

    /// Whether nothing had come back of the request that was sent then.
    fn stop_awaiting(&mut self, sent: Instant) -> bool {
        let found = self.awaited.iter().position(|awaited| *awaited == sent);
        found.map(|at| self.awaited.swap_remove(at)).is_some()
    }

    pub fn release(&mut self, now: Instant, sent: Instant, outcome: Outcome, expected: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.told_at = now;
        let awaited = self.stop_awaiting(sent);
        match outcome {
            Outcome::Shed => drop(self.stated.answered(sent)),
            // A rest of no time is an answer like any other, and ends a trial.
            Outcome::Rests(rest) => {
                self.stated.rest(now, rest);
                self.stated.answered(sent);
            }
            // An answer was noted with its first byte; without one the deadline has passed.
            Outcome::Answered(_) | Outcome::Failed | Outcome::Cancelled => {
                self.stated.unanswered(sent);
            }
        }
        match outcome {
            Outcome::Answered(latency) if awaited => self.answered(latency, expected),
            Outcome::Answered(_) => {}
            Outcome::Shed | Outcome::Rests(_) => {
                self.cut_window();
                self.paused_until = now + SHED_PAUSE;
            }
            Outcome::Failed => {
                self.failures += 1;
                self.paused_until = now + SHED_PAUSE;
                if self.failures >= FAILURES_UNTIL_DOWN {
                    self.paused_until = now + DOWN_PAUSE;
                }
            }
            // Whoever gave up on it late tells that it takes at least so long.
            Outcome::Cancelled if awaited => {
                let waited = now.saturating_duration_since(sent);
                if waited >= expected.mul_f64(SLOW_FACTOR) {
                    self.took(waited, expected);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    pub fn report(&mut self, measured: Instant, report: &LoadReport) {
        self.told_at = self.told_at.max(measured);
        self.refuses_work = !report.healthy;
        if self.refuses_work {
            return;
        }
        if self.failures >= FAILURES_UNTIL_DOWN {
            self.failures = FAILURES_UNTIL_DOWN - 1;
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
        self.stated.sent(now);
        self.awaited.push(now);
        self.window_peak = self.window_peak.max(self.in_flight);
    }

    /// Closes a window that was not used as far as it is open.
    fn narrow_window(&mut self, now: Instant) {
        let used = f64::from(self.window_peak) * WINDOW_OVER_USE;
        let start = start_window(self.upstream.slots);
        self.window = self.window.min(used.max(start));
        self.window_peak = self.in_flight;
        self.window_checked = now;
    }

    fn answered(&mut self, latency: Duration, expected: Duration) {
        self.failures = 0;
        self.took(latency, expected);
    }

    fn took(&mut self, latency: Duration, expected: Duration) {
        let latency_ms = latency.as_secs_f64() * 1_000.0;
        let before = self.latency_ms.unwrap_or(latency_ms);
        self.latency_ms = Some(before + (latency_ms - before) * LATENCY_WEIGHT);
        if latency > expected.mul_f64(SLOW_FACTOR) {
            self.cut_window();
        } else {
            let slots = f64::from(self.upstream.slots);
            self.window = (self.window + 1.0 / self.window).min(slots);
        }
    }

    fn cut_window(&mut self) {
        self.window = (self.window * WINDOW_CUT).max(1.0);
    }
}

fn start_window(slots: u32) -> f64 {
    (f64::from(slots) * WINDOW_START).max(1.0)
}
