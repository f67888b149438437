//! This host's share of the requests that a cold upstream may receive.
//!
//! Each host uses a fixed share that depends on the number of hosts that may exist. The
//! shares together never exceed the limit, and no message is needed before a request.

use std::time::{Duration, Instant};

use super::event_window::EventWindow;
use crate::ids::HostName;
use crate::rendezvous;

/// Share of a limit that is used: requests sent in one window may arrive in another.
const USED_SHARE: f64 = 0.85;
/// Window over which a cold upstream's requests are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Returns the number of requests that `this_host` may send to a cold upstream in a window,
/// given the `max_per_s` that the upstream may receive per second. `hosts` are the hosts
/// that may send to it, `this_host` among them; `None` while they are unknown.
///
/// A process that has run for less than a window has no share: an earlier process of its host may
/// have used it just before.
///
/// If there are more hosts than requests, each request is assigned to one host by the
/// upstream's rendezvous ranking.
pub fn cold_share(
    max_per_s: f64,
    upstream: &str,
    this_host: &str,
    hosts: Option<&[HostName]>,
    running_for: Duration,
) -> usize {
    let Some(hosts) = hosts.filter(|_| running_for >= COLD_WINDOW) else {
        return 0;
    };
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
