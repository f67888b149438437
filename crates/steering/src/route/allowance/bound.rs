//! How many tokens an allowance is.

use std::time::Duration;

use crate::route::customer::Allowance;

/// Share of what may run in a window besides the steady rate that is lent out. Requests are
/// counted where they run, so those that one window sends may run in the next.
const USED_SHARE: f64 = 0.85;
/// Least depth of a bucket, as the time in which the rate fills it: requests come in bunches,
/// and a token that waits at a host is of no use to another.
const DEPTH_LEAST: Duration = Duration::from_millis(500);

/// What operators say of all allowances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceTolerance {
    /// Span over which requests are counted.
    pub window: Duration,
    /// Share by which a count may be above the allowance.
    pub over_share: f64,
    /// Requests besides by which it may.
    pub over_requests: f64,
}

impl Default for AllowanceTolerance {
    /// To the letter, over some seconds.
    fn default() -> Self {
        AllowanceTolerance {
            window: Duration::from_secs(5),
            over_share: 0.0,
            over_requests: 0.0,
        }
    }
}

/// A customer's token bucket, of all hosts together.
///
/// Requests that run in a window are at most the tokens that there were at its start, which
/// `depth` bounds, and those that came up in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBound {
    /// Tokens that come up in a second.
    pub per_s: f64,
    /// Most tokens at a time, lent ones included.
    pub depth: f64,
}

impl TokenBound {
    /// The bucket that keeps an allowance.
    pub fn new(allowance: &Allowance, terms: &AllowanceTolerance) -> Self {
        let window_s = terms.window.as_secs_f64();
        let most = (allowance.per_s * window_s + allowance.burst) * (1.0 + terms.over_share);
        let depth = (most + terms.over_requests - allowance.per_s * window_s) * USED_SHARE;
        let least = (allowance.per_s * DEPTH_LEAST.as_secs_f64()).max(1.0);
        let lacking = (least - depth).max(0.0);
        TokenBound {
            per_s: (allowance.per_s - lacking / window_s).max(0.0),
            depth: depth + lacking,
        }
    }
}
