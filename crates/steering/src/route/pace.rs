//! This host's parts of bounds that all hosts share.
//!
//! Each host takes a fixed part, sized by how many hosts there may be, so that the
//! parts together never exceed the whole and no message is needed before a request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::ids::HostName;
use crate::rendezvous;

/// Share of a bound that is used: what is sent in one window may arrive in another.
const USED_SHARE: f64 = 0.85;
/// Window over which a cold upstream's requests are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Times of events within a window.
#[derive(Debug, Default)]
struct Recent(VecDeque<Instant>);

impl Recent {
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

/// A host's part of a bound. While the hosts are not known it has none: after a restart
/// of all each would take the whole.
fn part(whole: f64, hosts: Option<usize>) -> f64 {
    hosts.map_or(0.0, |hosts| whole / hosts.max(1) as f64)
}

/// Requests that the host `me` may send to a cold upstream in a window, of the
/// `most_per_s` that it may receive in a second. `hosts` are those that may send to it,
/// `me` among them; none while they are not known.
///
/// Where there are more hosts than requests, each request goes to one host, by the
/// upstream's own ranking.
pub fn cold_share(most_per_s: f64, upstream: &str, me: &str, hosts: Option<&[HostName]>) -> usize {
    let Some(hosts) = hosts else { return 0 };
    let most = (most_per_s * USED_SHARE).floor().max(0.0) as usize;
    let each = most / hosts.len().max(1);
    if each > 0 {
        return each;
    }
    let ranked = rendezvous::rank(upstream, hosts.iter().map(String::as_str));
    usize::from(ranked.iter().take(most).any(|host| *host == me))
}

/// Requests that this host has sent to a cold upstream.
#[derive(Debug, Default)]
pub struct ColdPart {
    sent: Recent,
}

impl ColdPart {
    /// Whether one more fits into this host's share of a window.
    pub fn has_room(&mut self, now: Instant, share: usize) -> bool {
        self.sent.count(now, COLD_WINDOW) < share
    }

    /// Counts a request.
    pub fn take(&mut self, now: Instant) {
        self.sent.add(now);
    }
}

/// The part of repeats that this host may send to a service.
#[derive(Debug, Default)]
pub struct RepeatPart {
    /// Repeats allowed for each request.
    ratio: f64,
    /// Repeats allowed besides, for all hosts together, in a window.
    spare: f64,
    /// Span over which both are counted.
    window: Duration,
    requests: Recent,
    repeats: Recent,
    /// Repeats of requests whose callers came for the first time.
    early_repeats: Recent,
    /// Misses of requests whose callers had come before, repeated or not.
    late_misses: Recent,
}

/// Whether a request's caller was refused before, as far as can be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Try {
    /// It comes for the first time: refused, it comes back.
    First,
    /// It came before: refused again, it gives up.
    Later,
}

impl RepeatPart {
    /// Nothing sent yet.
    pub fn new(ratio: f64, spare: f64, window: Duration) -> Self {
        RepeatPart {
            ratio,
            spare,
            window,
            ..RepeatPart::default()
        }
    }

    /// Counts a request.
    pub fn request(&mut self, now: Instant) {
        self.requests.count(now, self.window);
        self.requests.add(now);
    }

    /// Changes the bound; what was counted stays.
    pub fn set_bound(&mut self, ratio: f64, spare: f64, window: Duration) {
        (self.ratio, self.spare, self.window) = (ratio, spare, window);
    }

    /// Takes one repeat of a request that was missed, where the part allows it.
    ///
    /// Where repeats are scarce those go first whose callers came before: others come back
    /// by themselves. With 55 of 100 requests refused by chance and callers that come back
    /// once, 18 in place of 22 of 100 stay unserved (played in `tests/route_pace.rs`).
    pub fn repeat(&mut self, now: Instant, hosts: Option<usize>, of: Try) -> bool {
        let window = self.window;
        let requests = self.requests.count(now, window) as f64;
        let most = (requests * self.ratio + part(self.spare, hosts)) * USED_SHARE;
        if of == Try::Later {
            self.late_misses.add(now);
        }
        let late_misses = self.late_misses.count(now, window) as f64;
        let early = (self.early_repeats.count(now, window) + 1) as f64;
        let fits = (self.repeats.count(now, window) + 1) as f64 <= most;
        if !fits || (of == Try::First && early > most - late_misses) {
            return false;
        }
        self.repeats.add(now);
        if of == Try::First {
            self.early_repeats.add(now);
        }
        true
    }
}
