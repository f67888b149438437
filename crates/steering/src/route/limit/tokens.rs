//! The parts of limits that one host holds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::{LimitReply, LimitTokenRequest};
use super::part::{LimitTolerance, holder_share};
use crate::ids::HostName;
use crate::route::allowance::TokenBound;

/// Shortest and longest time after which a token is promised. With the longest one a holder is
/// asked by each host a few times a minute, however many want the upstream.
const PROMISED_LEAST: Duration = Duration::from_millis(20);
const PROMISED_MOST: Duration = Duration::from_secs(5);
/// Time without a question after which a part is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Tokens of one start of an upstream.
#[derive(Debug)]
struct Bucket {
    /// The limit that was heard last, by any host that has asked, and when.
    per_s: f64,
    heard: Instant,
    holders: usize,
    part: TokenBound,
    free: f64,
    counted: Instant,
    /// Hosts that were told to wait, and until when.
    promised: HashMap<HostName, Instant>,
}

impl Bucket {
    /// With no token: an earlier start of this host may have given some away a moment ago.
    fn new(now: Instant, ask: &LimitTokenRequest) -> Self {
        Bucket {
            per_s: ask.per_s,
            heard: now.checked_sub(ask.age()).unwrap_or(now),
            holders: 0,
            part: TokenBound {
                per_s: 0.0,
                depth: 0.0,
            },
            free: 0.0,
            counted: now,
            promised: HashMap::new(),
        }
    }

    /// Counts what has come up, and takes the limit where the asker has heard it later; true
    /// where the part is another one now.
    fn settle(
        &mut self,
        now: Instant,
        ask: &LimitTokenRequest,
        holders: usize,
        terms: &LimitTolerance,
    ) -> bool {
        let passed = now.saturating_duration_since(self.counted);
        self.free += passed.as_secs_f64() * self.part.per_s;
        self.counted = now;
        let heard = now.checked_sub(ask.age()).unwrap_or(now);
        if heard > self.heard {
            (self.per_s, self.heard) = (ask.per_s, heard);
        }
        let part = holder_share(self.per_s, holders, terms);
        let is_other = part != self.part;
        (self.holders, self.part) = (holders, part);
        self.free = self.free.min(part.depth);
        is_other
    }

    fn take(&mut self, now: Instant, asker: &str, urgency: f64) -> LimitReply {
        // The last tokens are for the most urgent requests.
        let needed = 1.0 + (1.0 - urgency.clamp(0.0, 1.0)) * (self.part.depth - 1.0);
        self.promised.remove(asker);
        if self.free >= needed {
            self.free -= 1.0;
            return LimitReply::Granted;
        }
        let wait = self.promise(now, needed - self.free);
        self.promised.insert(asker.to_owned(), now + wait);
        LimitReply::Exhausted(wait.as_millis() as u32)
    }

    /// Time until there are `lacking` tokens more than others are promised: who is told to
    /// wait so comes back one after the other.
    fn promise(&mut self, now: Instant, lacking: f64) -> Duration {
        self.promised.retain(|_, until| *until > now);
        let tokens = lacking + self.promised.len() as f64;
        let wait_s = tokens / self.part.per_s.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait_s.min(PROMISED_MOST.as_secs_f64()));
        wait.max(PROMISED_LEAST)
    }
}

/// A part that is new, or has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareChange {
    /// The limit, in requests a second.
    pub per_s: f64,
    /// Hosts that hold parts of it.
    pub holders: usize,
    /// This host's part.
    pub share: TokenBound,
}

/// All parts of limits that a host holds.
#[derive(Debug, Default)]
pub struct LimitTokens {
    buckets: HashMap<String, Bucket>,
    pruned: Option<Instant>,
}

impl LimitTokens {
    /// Answers the question of `asker` to this host as one of `holders`; says where its part
    /// is another one now.
    pub fn take(
        &mut self,
        now: Instant,
        asker: &str,
        ask: &LimitTokenRequest,
        holders: usize,
        terms: &LimitTolerance,
    ) -> (LimitReply, Option<ShareChange>) {
        self.prune(now);
        let bucket = self.buckets.entry(ask.start());
        let bucket = bucket.or_insert_with(|| Bucket::new(now, ask));
        let has_changed = bucket.settle(now, ask, holders, terms);
        let change = has_changed.then_some(ShareChange {
            per_s: bucket.per_s,
            holders: bucket.holders,
            share: bucket.part,
        });
        (bucket.take(now, asker, ask.urgency), change)
    }

    fn prune(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= FORGOTTEN_AFTER;
        if self.pruned.is_some_and(|at| !is_due(at)) {
            return;
        }
        self.buckets.retain(|_, bucket| !is_due(bucket.counted));
        self.pruned = Some(now);
    }
}
