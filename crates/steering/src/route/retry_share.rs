//! This host's share of the retries that all hosts together may send to a service.
//!
//! Each host uses a share of its own requests, and a part of the slack that depends on the number
//! of hosts that may exist. Together they never exceed the limit, and no message is needed before a
//! retry.
//!
//! A process does not know what earlier processes of its host sent within the window. So retries
//! take tokens, of which a process has none when it starts: however often hosts restart, all retries of
//! a window were earned by requests and time within it, but for the few tokens held at its start.

use std::time::{Duration, Instant};

use super::caller_timeouts::CallerAttempt;
use super::event_window::EventWindow;
use super::retry_grant::RetryGrant;

/// Share of the limit that is used: requests sent in one window may arrive in another.
const USED_SHARE: f64 = 0.85;
/// Requests for which tokens are held, as a share of the window. With it, retries of a window come to
/// `USED_SHARE * (1 + HELD_SHARE)` of the limit at most, which must not exceed 1.
const HELD_SHARE: f64 = 0.15;
/// Share of the slack that is held as tokens; the rest is gained over a window.
const HELD_SLACK_SHARE: f64 = 0.25;

/// Returns a host's part of the slack. It is zero while the hosts are unknown: after a restart of
/// all hosts each would otherwise use the whole slack.
fn part_of(slack: f64, hosts: Option<usize>) -> f64 {
    hosts.map_or(0.0, |hosts| slack / hosts.max(1) as f64) * USED_SHARE
}

/// This host's share of the retries allowed for a service.
#[derive(Debug, Default)]
pub struct RetryShare {
    /// Retries allowed per request.
    ratio: f64,
    /// Additional retries allowed in a window for all hosts together.
    slack: f64,
    /// Window over which both are counted.
    window: Duration,
    requests: EventWindow,
    /// Requests since the tokens were last refilled.
    new_requests: u32,
    /// Retries that may be sent at once.
    tokens: f64,
    refilled_at: Option<Instant>,
    retries: EventWindow,
    /// Retries of requests whose callers came for the first time.
    first_time_retries: EventWindow,
    /// Failed attempts of requests whose callers had been refused before, whether retried
    /// or not.
    returning_failures: EventWindow,
}

impl RetryShare {
    /// Creates a share without any requests counted.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        RetryShare {
            ratio,
            slack,
            window,
            ..RetryShare::default()
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.requests.count(now, self.window);
        self.requests.add(now);
        self.new_requests += 1;
        self.refilled_at.get_or_insert(now);
    }

    /// Changes the limits; counted requests remain counted.
    pub fn set_bound(&mut self, ratio: f64, slack: f64, window: Duration) {
        (self.ratio, self.slack, self.window) = (ratio, slack, window);
    }

    /// Takes one retry for a request whose attempt failed, if the share allows it.
    ///
    /// When retries are scarce, requests of returning callers have precedence, because
    /// first-time callers try again by themselves. With 55 of 100 requests refused at
    /// random and callers that try again once, 18 instead of 22 of 100 stay unserved
    /// (simulated in `tests/route_pace.rs`).
    pub fn take_retry(
        &mut self,
        now: Instant,
        hosts: Option<usize>,
        attempt: CallerAttempt,
    ) -> RetryGrant {
        let window = self.window;
        let part = part_of(self.slack, hosts);
        self.refill(now, part);
        let requests = self.requests.count(now, window) as f64;
        let limit = requests * self.ratio * USED_SHARE + part;
        if attempt == CallerAttempt::Later {
            self.returning_failures.add(now);
        }
        let returning_failures = self.returning_failures.count(now, window) as f64;
        let first_time = (self.first_time_retries.count(now, window) + 1) as f64;
        let used = self.retries.count(now, window);
        let fits = (used + 1) as f64 <= limit && self.tokens >= 1.0;
        let yields = attempt == CallerAttempt::First && first_time > limit - returning_failures;
        let is_allowed = fits && !yields;
        if is_allowed {
            self.tokens -= 1.0;
            self.retries.add(now);
            if attempt == CallerAttempt::First {
                self.first_time_retries.add(now);
            }
        }
        RetryGrant {
            is_allowed,
            used,
            limit,
            tokens: self.tokens,
            hosts,
        }
    }

    /// Adds the tokens gained since the last call; `part` is this host's part of the slack.
    fn refill(&mut self, now: Instant, part: f64) {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let window_s = self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        let windows = now.saturating_duration_since(since).as_secs_f64() / window_s;
        let per_request = self.ratio * USED_SHARE;
        let new_requests = f64::from(std::mem::take(&mut self.new_requests));
        let gained = new_requests * per_request + windows * part * (1.0 - HELD_SLACK_SHARE);
        let recent = self
            .requests
            .count_recent(now, self.window.mul_f64(HELD_SHARE)) as f64;
        let held = recent * per_request + part * HELD_SLACK_SHARE;
        // Hosts with few requests must be able to hold a whole token.
        self.tokens = (self.tokens + gained).min(held.max(1.0));
    }
}
