//! Time limits for the propagation of changes from the store to all hosts.
//!
//! The sum of the delays on each path that a fault can force must stay within the bounds. A
//! test adds up these constants for the bounds of every known deployment.

use std::time::Duration;

/// Age of a host's state, as a share of the tightest bound, at which it no longer waits for
/// others.
const STALE_SHARE: f64 = 0.6;
/// Time between two polls of the poller, as a share of the tightest bound.
const POLL_INTERVAL_SHARE: f64 = 0.25;
/// Time for which a poll waits for changes, as a share of the tightest bound.
const POLL_WAIT_SHARE: f64 = 0.2;

/// Timeout of a call to the store that is not a long poll. The store answers in about 4 ms,
/// and up to 80 times as slowly on slow days.
pub const STORE_CALL_LIMIT: Duration = Duration::from_millis(800);
/// Timeout of a request to another host. Some hundred KB take 0.1 s on a link of 10 Mbit/s;
/// a host that has lost its power never answers.
pub const HOST_ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Time after the store's return within which all hosts have received the removals of
/// reports that expired during the outage. A report removed later belongs to an upstream
/// that has left. If it were kept, the upstream would get work for longer than a service
/// may allow, which is 2 s in the tightest known deployment.
pub const LAPSE_PROPAGATION_LIMIT: Duration = Duration::from_secs(1);

/// Time for which a request may be under way whose upstream was selected before a change.
const REQUEST_UNDER_WAY: Duration = Duration::from_millis(200);
/// Time reserved for the first answered store call of a host that was cut off, before it
/// counts as in contact again.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(200);
/// Lower bound of [`max_retry_pause`], for deployments in which hosts count as in contact
/// again after very little time.
const MIN_PAUSE_LIMIT: Duration = Duration::from_millis(400);

/// Intervals and timeouts of a host that follows a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedTiming {
    /// Shortest time within which a change of the feed must take effect.
    pub tightest_bound: Duration,
}

impl FeedTiming {
    /// Returns the age of a host's state at which it polls the store itself.
    pub fn stale_after(self) -> Duration {
        self.tightest_bound.mul_f64(STALE_SHARE)
    }

    /// Returns whether a host with outdated state has the time to query another host before it
    /// polls the store. Where bounds are tighter, waiting for a host that does not answer
    /// would leave too little time for the store's answer.
    pub fn allows_host_first(self) -> bool {
        let asked_in_turn = HOST_ANSWER_LIMIT + STORE_CALL_LIMIT + REQUEST_UNDER_WAY;
        self.stale_after() + asked_in_turn <= self.tightest_bound
    }

    /// Returns the time between two polls.
    pub fn poll_interval(self) -> Duration {
        self.tightest_bound.mul_f64(POLL_INTERVAL_SHARE)
    }

    /// Returns the time for which a poll waits for changes.
    pub fn poll_wait(self) -> Duration {
        self.tightest_bound.mul_f64(POLL_WAIT_SHARE)
    }
}

/// Returns the maximum pause between calls to a store that gives no answer, random jitter
/// included.
///
/// `contact` is the time after which a host that was cut off counts as in contact again. By
/// then it must have received all changes, even if a call was in progress when the cut
/// ended. With pauses of up to 3.2 s, a host polled as late as 4.0 s after a cut but
/// counted as in contact after 3 s (sum of the constants).
pub fn max_retry_pause(contact: Duration) -> Duration {
    let reserved = STORE_CALL_LIMIT + FIRST_ANSWER_TIME + LAPSE_PROPAGATION_LIMIT;
    contact.saturating_sub(reserved).max(MIN_PAUSE_LIMIT)
}
