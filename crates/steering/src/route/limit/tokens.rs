//! The shares of limits that one host holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::{LimitReply, LimitTokenRequest};
use super::share::{LimitTolerance, holder_share};
use crate::ids::HostName;
use crate::route::allowance::TokenBound;

/// Bounds of the time after which a token is promised. With the upper bound each host asks a holder
/// a few times a minute, whatever the demand for the upstream.
const MIN_PROMISED_WAIT: Duration = Duration::from_millis(20);
const MAX_PROMISED_WAIT: Duration = Duration::from_secs(5);
/// Time without a request after which a share is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Token bucket for one start of an upstream.
#[derive(Debug)]
struct Bucket {
    /// The limit that any requesting host received last, and when.
    per_s: f64,
    received_at: Instant,
    holders: usize,
    share: TokenBound,
    free: f64,
    refilled_at: Instant,
    /// Hosts that were told to wait, and until when.
    promised: HashMap<HostName, Instant>,
}

impl Bucket {
    /// Creates an empty bucket, since an earlier start of this host may have granted tokens a
    /// moment ago.
    fn new(now: Instant, request: &LimitTokenRequest) -> Self {
        Bucket {
            per_s: request.per_s,
            received_at: now.checked_sub(request.age()).unwrap_or(now),
            holders: 0,
            share: TokenBound {
                per_s: 0.0,
                depth: 0.0,
            },
            free: 0.0,
            refilled_at: now,
            promised: HashMap::new(),
        }
    }

    /// Adds the tokens gained since the last call, and takes over the limit if the sender received
    /// it more recently; true if this changes the share.
    fn refill(
        &mut self,
        now: Instant,
        request: &LimitTokenRequest,
        holders: usize,
        tolerance: &LimitTolerance,
    ) -> bool {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.free += passed.as_secs_f64() * self.share.per_s;
        self.refilled_at = now;
        let received_at = now.checked_sub(request.age()).unwrap_or(now);
        if received_at > self.received_at {
            (self.per_s, self.received_at) = (request.per_s, received_at);
        }
        let share = holder_share(self.per_s, holders, tolerance);
        let has_changed = share != self.share;
        (self.holders, self.share) = (holders, share);
        self.free = self.free.min(share.depth);
        has_changed
    }

    fn take(&mut self, now: Instant, asker: &str, urgency: f64) -> LimitReply {
        // The last tokens are reserved for the most urgent requests.
        let needed = 1.0 + (1.0 - urgency.clamp(0.0, 1.0)) * (self.share.depth - 1.0);
        self.promised.remove(asker);
        if self.free >= needed {
            self.free -= 1.0;
            return LimitReply::Granted;
        }
        let wait = self.promise(now, needed - self.free);
        self.promised.insert(asker.to_owned(), now + wait);
        LimitReply::Exhausted(wait.as_millis() as u32)
    }

    /// Time until there are `lacking` tokens in addition to those promised to others, so that
    /// waiting hosts return one after the other.
    fn promise(&mut self, now: Instant, lacking: f64) -> Duration {
        self.promised.retain(|_, until| *until > now);
        let tokens = lacking + self.promised.len() as f64;
        let wait_s = tokens / self.share.per_s.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(MAX_PROMISED_WAIT.as_secs_f64()));
        wait.max(MIN_PROMISED_WAIT)
    }
}

/// A share that is new or has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareChange {
    /// The limit, in requests per second.
    pub per_s: f64,
    /// Number of hosts that hold shares of the limit.
    pub holders: usize,
    /// This host's share.
    pub share: TokenBound,
}

/// All shares of limits that a host holds.
#[derive(Debug, Default)]
pub struct LimitTokens {
    buckets: HashMap<String, Bucket>,
    pruned_at: Option<Instant>,
}

impl LimitTokens {
    /// Answers a token request of host `asker`, with this host as one of `holders` holders; also
    /// returns the share if it changed.
    pub fn take(
        &mut self,
        now: Instant,
        asker: &str,
        request: &LimitTokenRequest,
        holders: usize,
        tolerance: &LimitTolerance,
    ) -> (LimitReply, Option<ShareChange>) {
        self.prune(now);
        let bucket = self.buckets.entry(request.start());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, request));
        let has_changed = bucket.refill(now, request, holders, tolerance);
        let change = has_changed.then_some(ShareChange {
            per_s: bucket.per_s,
            holders: bucket.holders,
            share: bucket.share,
        });
        (bucket.take(now, asker, request.urgency), change)
    }

    fn prune(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= IDLE_TIMEOUT;
        if self.pruned_at.is_some_and(|at| !is_due(at)) {
            return;
        }
        self.buckets.retain(|_, bucket| !is_due(bucket.refilled_at));
        self.pruned_at = Some(now);
    }
}
