//! This host's share of limits that all hosts share.
//!
//! Each host uses a fixed share that depends on the number of hosts that may exist. The
//! shares together never exceed the limit, and no message is needed before a request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::HostName;
use crate::rendezvous;

/// Share of a limit that is used: requests sent in one window may arrive in another.
const USED_SHARE: f64 = 0.85;
/// Window over which a cold upstream's requests are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Times of events within a sliding window.
#[derive(Debug, Default)]
struct EventWindow(VecDeque<Instant>);

impl EventWindow {
    fn count(&mut self, now: Instant, window: Duration) -> usize {
        while self
            .0
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) >= window)
        {
            self.0.pop_front();
        }
        self.0.len()
    }

    fn add(&mut self, now: Instant) {
        self.0.push_back(now);
    }
}

/// Returns a host's share of a limit. The share is zero while the hosts are unknown: after
/// a restart of all hosts each would otherwise use the whole limit.
fn share_of(limit: f64, hosts: Option<usize>) -> f64 {
    hosts.map_or(0.0, |hosts| limit / hosts.max(1) as f64)
}

/// Returns the number of requests that `this_host` may send to a cold upstream in a window,
/// given the `max_per_s` that the upstream may receive per second. `hosts` are the hosts
/// that may send to it, `this_host` among them; `None` while they are unknown.
///
/// If there are more hosts than requests, each request is assigned to one host by the
/// upstream's rendezvous ranking.
pub fn cold_share(
    max_per_s: f64,
    upstream: &str,
    this_host: &str,
    hosts: Option<&[HostName]>,
) -> usize {
    let Some(hosts) = hosts else { return 0 };
    let max_per_window = (max_per_s * USED_SHARE).floor().max(0.0) as usize;
    let each = max_per_window / hosts.len().max(1);
    if each > 0 {
        return each;
    }
    let ranked = rendezvous::rank(upstream, hosts.iter().map(String::as_str));
    usize::from(
        ranked
            .iter()
            .take(max_per_window)
            .any(|host| *host == this_host),
    )
}

/// Recent requests sent by this host to a cold upstream.
#[derive(Debug, Default)]
pub struct ColdSends {
    sent: EventWindow,
}

impl ColdSends {
    /// Returns whether another request fits into this host's share of a window.
    pub fn has_room(&mut self, now: Instant, share: usize) -> bool {
        self.sent.count(now, COLD_WINDOW) < share
    }

    /// Counts a request.
    pub fn take(&mut self, now: Instant) {
        self.sent.add(now);
    }
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

/// Whether a request's caller was refused before, as far as can be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAttempt {
    /// The caller's first request; if refused, the caller tries again.
    First,
    /// A later request of the caller; if refused again, the caller gives up.
    Later,
}

impl RetryShare {
    /// Creates a quota without any requests counted.
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

    /// Takes one retry for a request whose attempt failed, and returns whether the quota
    /// allows it.
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
    ) -> bool {
        let window = self.window;
        let requests = self.requests.count(now, window) as f64;
        let max_per_window = (requests * self.ratio + share_of(self.slack, hosts)) * USED_SHARE;
        if attempt == CallerAttempt::Later {
            self.returning_failures.add(now);
        }
        let returning_failures = self.returning_failures.count(now, window) as f64;
        let first_time = (self.first_time_retries.count(now, window) + 1) as f64;
        let fits = (self.retries.count(now, window) + 1) as f64 <= max_per_window;
        if !fits
            || (attempt == CallerAttempt::First && first_time > max_per_window - returning_failures)
        {
            return false;
        }
        self.retries.add(now);
        if attempt == CallerAttempt::First {
            self.first_time_retries.add(now);
        }
        true
    }
}
