//! This host's share of the retries that all hosts together may send to a service.
//!
//! Each host uses a fixed share that depends on the number of hosts that may exist. The
//! shares together never exceed the limit, and no message is needed before a retry.

use std::time::{Duration, Instant};

use super::caller_timeouts::CallerAttempt;
use super::event_window::EventWindow;
use super::retry_grant::RetryGrant;

/// Share of the limit that is used: requests sent in one window may arrive in another.
const USED_SHARE: f64 = 0.85;

/// Returns a host's share of a limit. The share is zero while the hosts are unknown: after
/// a restart of all hosts each would otherwise use the whole limit.
fn share_of(limit: f64, hosts: Option<usize>) -> f64 {
    hosts.map_or(0.0, |hosts| limit / hosts.max(1) as f64)
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
        let requests = self.requests.count(now, window) as f64;
        let limit = (requests * self.ratio + share_of(self.slack, hosts)) * USED_SHARE;
        if attempt == CallerAttempt::Later {
            self.returning_failures.add(now);
        }
        let returning_failures = self.returning_failures.count(now, window) as f64;
        let first_time = (self.first_time_retries.count(now, window) + 1) as f64;
        let used = self.retries.count(now, window);
        let fits = (used + 1) as f64 <= limit;
        let yields = attempt == CallerAttempt::First && first_time > limit - returning_failures;
        let is_allowed = fits && !yields;
        if is_allowed {
            self.retries.add(now);
            if attempt == CallerAttempt::First {
                self.first_time_retries.add(now);
            }
        }
        RetryGrant {
            is_allowed,
            used,
            limit,
            hosts,
        }
    }
}
