//! Why no upstream of a region takes a request now, and when one may.

use std::time::Duration;

use super::upstream::UpstreamId;
use super::view::Upstream;
use crate::statement::Obstacle;

/// Least time after which a refused caller should come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);
/// Upstreams that are named as passed over for what they have said: enough to find them, and
/// a bound on what a request holds.
const NAMED_MOST: usize = 3;

/// What was lacking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// No upstream can be reached.
    Reach,
    /// All that can be reached have asked for rest, or are just back from it.
    Rest,
    /// All that can be reached are at the limits that they name, or rest.
    Limit,
    /// All that take work are too full.
    Room,
}

/// No upstream can take the request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoRoom {
    /// What was lacking.
    pub lack: Lack,
    /// When the caller may try again, at the earliest.
    pub come_back: Duration,
    /// Time over which callers that are refused together should come back after that.
    pub spread: Duration,
    /// Upstreams that it was not sent to for what they have said of themselves.
    pub passed_over: Vec<UpstreamId>,
}

impl NoRoom {
    /// Where no upstream can be reached: the caller may come back after this time.
    pub fn unreachable(come_back: Duration) -> Self {
        NoRoom {
            lack: Lack::Reach,
            come_back: come_back.max(COME_BACK_LEAST),
            spread: Duration::ZERO,
            passed_over: Vec::new(),
        }
    }

    /// Where a slot is free after `wait`.
    pub(super) fn full(wait: Duration) -> Self {
        NoRoom {
            lack: Lack::Room,
            ..NoRoom::unreachable(wait)
        }
    }

    /// Where the first rest ends after `rest`. The first answer after it decides, so that
    /// callers come back from one usual time after its end on, over another.
    pub(super) fn resting(rest: Duration, usual: Duration) -> Self {
        NoRoom {
            lack: Lack::Rest,
            spread: usual,
            ..NoRoom::unreachable(rest + usual)
        }
    }

    /// Where the next token of a limit comes.
    pub(super) fn limited(next: NextToken) -> Self {
        NoRoom {
            lack: Lack::Limit,
            spread: next.spread,
            ..NoRoom::unreachable(next.wait)
        }
    }

    /// Whether any upstream there lives. One that rests does: a rest of some seconds is no
    /// lost region, which would move all its work at once.
    pub fn is_reachable(&self) -> bool {
        self.lack != Lack::Reach
    }
}

/// Upstreams that a choice passed over for what they have said of themselves.
#[derive(Debug, Default)]
pub(super) struct PassedOver {
    /// The first ones, for the request's story.
    pub named: Vec<UpstreamId>,
    /// Shortest rest among the object's first homes that rest: callers on objects of unlike
    /// upstreams so come back as the room of these returns.
    pub rest: Option<Duration>,
    resting: usize,
    /// Next token among these that are at the limits that they name.
    pub limit: Option<NextToken>,
    limited: usize,
}

/// When a limit has its next token.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextToken {
    pub wait: Duration,
    /// Time over which callers who are turned away together should come back after that.
    pub spread: Duration,
}

impl PassedOver {
    /// Notes one; `homes` are as many as an object has.
    pub fn add(&mut self, upstream: &Upstream, obstacle: Obstacle, homes: usize) {
        if self.named.len() < NAMED_MOST && obstacle.is_stated() {
            self.named.push(upstream.report.id.clone());
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
            self.rest = Some(self.rest.map_or(rest, |known| known.min(rest)));
        }
        self.resting += 1;
    }

    fn add_limited(&mut self, upstream: &Upstream, wait: Duration, homes: usize) {
        if self.limited < homes && self.limit.is_none_or(|known| wait < known.wait) {
            let spread = upstream.condition().stated.limit_refused_request();
            self.limit = Some(NextToken { wait, spread });
        }
        self.limited += 1;
    }
}
