//! Reports why no upstream of a region takes a request, and when one may.

use std::time::Duration;

use super::reported_upstream::UpstreamId;
use super::upstream::Upstream;
use crate::statement::Obstacle;

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);
/// Maximum number of skipped upstreams that are recorded: enough to identify them, with
/// bounded memory per request.
const MAX_RECORDED: usize = 3;

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableCause {
    /// No upstream can be reached.
    Unreachable,
    /// All reachable upstreams have asked for rest or have just finished one.
    Resting,
    /// All reachable upstreams are at the rate limits that they declare, or rest.
    RateLimited,
    /// All upstreams that accept work are too full.
    Full,
}

/// No upstream can take the request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unavailable {
    /// Cause of the refusal.
    pub cause: UnavailableCause,
    /// Minimum time after which the caller may retry.
    pub retry_after: Duration,
    /// Time span after that over which callers refused together should spread their
    /// retries.
    pub retry_spread: Duration,
    /// Upstreams skipped because of their own statements.
    pub passed_over: Vec<UpstreamId>,
}

impl Unavailable {
    /// Refusal because no upstream can be reached. `retry_after` is raised to the minimum
    /// of 100 ms.
    pub fn unreachable(retry_after: Duration) -> Self {
        Unavailable {
            cause: UnavailableCause::Unreachable,
            retry_after: retry_after.max(MIN_RETRY_TIME),
            retry_spread: Duration::ZERO,
            passed_over: Vec::new(),
        }
    }

    /// Refusal because all upstreams are full until `wait` has passed.
    pub(super) fn full(wait: Duration) -> Self {
        Unavailable {
            cause: UnavailableCause::Full,
            ..Unavailable::unreachable(wait)
        }
    }

    /// Refusal because upstreams rest; the first rest ends after `rest`. The first answer
    /// after a rest decides whether it is over, so callers retry one typical work time
    /// after its end, spread over another one.
    pub(super) fn resting(rest: Duration, typical_work: Duration) -> Self {
        Unavailable {
            cause: UnavailableCause::Resting,
            retry_spread: typical_work,
            ..Unavailable::unreachable(rest + typical_work)
        }
    }

    /// Refusal because of rate limits, of which the next token is `next`.
    pub(super) fn rate_limited(next: NextToken) -> Self {
        Unavailable {
            cause: UnavailableCause::RateLimited,
            retry_spread: next.spread,
            ..Unavailable::unreachable(next.wait)
        }
    }

    /// Returns whether any upstream of the region is alive. A resting upstream is alive:
    /// treating a rest of some seconds as a lost region would move all of the region's work
    /// at once.
    pub fn is_reachable(&self) -> bool {
        self.cause != UnavailableCause::Unreachable
    }
}

/// Upstreams skipped by a selection because of their own statements.
#[derive(Debug, Default)]
pub(super) struct SkippedUpstreams {
    /// The first skipped upstreams, for the request's log.
    pub first_ids: Vec<UpstreamId>,
    /// Shortest rest among the object's first homes that rest. Callers with objects of
    /// different upstreams thus retry as the capacity of these upstreams returns.
    pub rest: Option<Duration>,
    resting: usize,
    /// Earliest next token among the object's first homes that are at their rate limits.
    pub next_token: Option<NextToken>,
    rate_limited: usize,
}

/// Time of the next token of a rate limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextToken {
    pub wait: Duration,
    /// Time span after that over which callers refused together should spread their
    /// retries.
    pub spread: Duration,
}

impl SkippedUpstreams {
    /// Records a skipped upstream; `homes` is the number of homes of an object.
    pub fn add(&mut self, upstream: &Upstream, obstacle: Obstacle, homes: usize) {
        if self.first_ids.len() < MAX_RECORDED && obstacle.is_stated() {
            self.first_ids.push(upstream.report.id.clone());
        }
        if let Obstacle::LimitExhausted(wait) = obstacle {
            self.add_limited(upstream, wait, homes);
        }
        let rest = match obstacle {
            Obstacle::Rests(rest) => rest,
            Obstacle::TrialPending => Duration::ZERO,
            _ => return,
        };
        if self.resting < homes {
            self.rest = Some(self.rest.map_or(rest, |earliest| earliest.min(rest)));
        }
        self.resting += 1;
    }

    fn add_limited(&mut self, upstream: &Upstream, wait: Duration, homes: usize) {
        if self.rate_limited < homes && self.next_token.is_none_or(|earliest| wait < earliest.wait)
        {
            let spread = upstream.state().statements.limit_refused_request();
            self.next_token = Some(NextToken { wait, spread });
        }
        self.rate_limited += 1;
    }
}
