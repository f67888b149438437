//! The share of a limit that one holder may grant.

use std::time::Duration;

use crate::route::allowance::TokenBound;

/// Fraction of a limit that its holders grant in total.
const USED_SHARE: f64 = 0.9;
/// Number of additional hosts that may grant tokens for a while because not all hosts know yet
/// that a host came or went.
const UNKNOWN_HOLDERS: f64 = 1.0;

/// How far an upstream's requests may exceed its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Window over which an upstream's requests are counted.
    pub window: Duration,
    /// Fraction by which the count may exceed the limit.
    pub over_share: f64,
    /// Number of requests by which the count may exceed the limit in addition.
    pub over_requests: f64,
}

impl Default for LimitTolerance {
    /// The tolerance of the upstreams on the users' platform.
    fn default() -> Self {
        LimitTolerance {
            window: Duration::from_secs(4),
            over_share: 0.5,
            over_requests: 5.0,
        }
    }
}

/// The token bucket of one of `holders` holders of a limit of `per_s` requests per second.
///
/// The holders' rates add up to less than the limit. Even with [`UNKNOWN_HOLDERS`] more, the
/// tokens that all buckets hold and gain within a window stay within the tolerance.
pub fn holder_share(per_s: f64, holders: usize, tolerance: &LimitTolerance) -> TokenBound {
    let holders = holders.max(1) as f64;
    let all_holders = holders + UNKNOWN_HOLDERS;
    let window_s = tolerance.window.as_secs_f64();
    let max_requests = per_s * window_s * (1.0 + tolerance.over_share) + tolerance.over_requests;
    // In addition to its rate each bucket must be able to hold a whole token.
    let tolerated_per_s = (max_requests - all_holders) / (all_holders * window_s);
    let over_per_s = per_s * (1.0 + tolerance.over_share) / all_holders;
    let share_per_s = (per_s * USED_SHARE / holders).min(over_per_s);
    let share_per_s = share_per_s.min(tolerated_per_s).max(0.0);
    let depth = max_requests / all_holders - share_per_s * window_s;
    TokenBound {
        per_s: share_per_s,
        depth: depth.max(1.0),
    }
}
