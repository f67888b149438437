//! How much of a limit one holder may give away.

use std::time::Duration;

use crate::route::allowance::TokenBound;

/// Share of a limit that its holders give away together.
const USED_SHARE: f64 = 0.9;
/// Holders besides that may give tokens away for a while, as a host comes or goes that not all
/// others know of yet.
const UNKNOWN_HOLDERS: f64 = 1.0;

/// How closely limits that upstreams name are to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTolerance {
    /// Span over which an upstream's requests are counted.
    pub window: Duration,
    /// Share by which their number may be above the limit.
    pub over_share: f64,
    /// Requests besides by which it may.
    pub over_requests: f64,
}

impl Default for LimitTolerance {
    /// What upstreams of the users' platform bear.
    fn default() -> Self {
        LimitTolerance {
            window: Duration::from_secs(4),
            over_share: 0.5,
            over_requests: 5.0,
        }
    }
}

/// The bucket of one of `holders` of a limit of `per_s` requests a second.
///
/// The holders' rates add up to less than the limit. With [`UNKNOWN_HOLDERS`] more, all that
/// their buckets hold and that comes up in a window is still within the terms.
pub fn holder_share(per_s: f64, holders: usize, terms: &LimitTolerance) -> TokenBound {
    let holders = holders.max(1) as f64;
    let all = holders + UNKNOWN_HOLDERS;
    let window_s = terms.window.as_secs_f64();
    let most = per_s * window_s * (1.0 + terms.over_share) + terms.over_requests;
    // Beside what comes up each bucket must be able to hold a whole token.
    let bearable_per_s = (most - all) / (all * window_s);
    let over_per_s = per_s * (1.0 + terms.over_share) / all;
    let part_per_s = (per_s * USED_SHARE / holders).min(over_per_s);
    let part_per_s = part_per_s.min(bearable_per_s).max(0.0);
    let depth = most / all - part_per_s * window_s;
    TokenBound {
        per_s: part_per_s,
        depth: depth.max(1.0),
    }
}
