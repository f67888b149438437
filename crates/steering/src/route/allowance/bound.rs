//! Conversion of an allowance into a token bucket.

use std::time::Duration;

use crate::route::customer::Allowance;

/// Fraction of the permitted excess over the steady rate that is lent out. Requests are counted
/// when they run, so requests sent in one window may run in the next.
const USED_SHARE: f64 = 0.85;
/// Minimum depth of a bucket, given as the time in which the rate fills it. Requests come in
/// bursts, and a token held by one host is of no use to another.
const MIN_DEPTH_TIME: Duration = Duration::from_millis(500);

/// How far a customer's requests may exceed the allowance; set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AllowanceTolerance {
    /// Window over which requests are counted.
    pub window: Duration,
    /// Fraction by which the count may exceed the allowance.
    pub over_share: f64,
    /// Number of requests by which the count may exceed the allowance in addition.
    pub over_requests: f64,
}

impl Default for AllowanceTolerance {
    /// No excess over a window of 5 s.
    fn default() -> Self {
        AllowanceTolerance {
            window: Duration::from_secs(5),
            over_share: 0.0,
            over_requests: 0.0,
        }
    }
}

/// Token bucket of a customer, shared by all hosts.
///
/// The requests that run in a window are at most the tokens at its start, which `depth` bounds,
/// plus the tokens added during the window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBound {
    /// Tokens added per second.
    pub per_s: f64,
    /// Maximum number of tokens, including lent ones.
    pub depth: f64,
}

impl TokenBound {
    /// The bucket that enforces `allowance` within `tolerance`.
    pub fn new(allowance: &Allowance, tolerance: &AllowanceTolerance) -> Self {
        let window_s = tolerance.window.as_secs_f64();
        let max_requests =
            (allowance.per_s * window_s + allowance.burst) * (1.0 + tolerance.over_share);
        let depth =
            (max_requests + tolerance.over_requests - allowance.per_s * window_s) * USED_SHARE;
        let min_depth = (allowance.per_s * MIN_DEPTH_TIME.as_secs_f64()).max(1.0);
        let lacking = (min_depth - depth).max(0.0);
        TokenBound {
            per_s: (allowance.per_s - lacking / window_s).max(0.0),
            depth: depth + lacking,
        }
    }
}
