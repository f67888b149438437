//! A pool of hosts' parts of allowances, as the host that keeps it sees it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::bound::TokenBound;
use super::message::{PoolTime, TokenDemand, TokenGrant, TokenGroup, TokenReply, TokenRequest};
use super::{GROUPS, MEMBER_FOR};
use crate::ids::{CustomerName, HostName, Incarnation};

/// Share of a bucket that is lent only to requests that wait, not ahead of need.
const KEPT_SHARE: f64 = 0.25;
/// Share of a bucket's depth that a pool uses while tokens may be held that an earlier start
/// of its host lent ahead of need, which never were more than the rest of the depth.
const YOUNG_SHARE: f64 = KEPT_SHARE;
/// Least and longest time after which a request that found no token is worth another try.
const DRY_LEAST: Duration = Duration::from_millis(50);
const DRY_MOST: Duration = Duration::from_secs(5);

/// The pools that one host keeps, one for each group of which it is asked.
#[derive(Debug)]
pub struct TokenPool {
    incarnation: Incarnation,
    started: Instant,
    /// Until when tokens may be held that an earlier start lent.
    young_until: Instant,
    is_closed: bool,
    groups: HashMap<TokenGroup, Group>,
}

/// Until when each host's part counts in a pool.
type Members = HashMap<HostName, Instant>;

#[derive(Debug)]
struct Group {
    members: Members,
    /// Share of the allowances that these parts are.
    share: f64,
    /// Seconds of a whole allowance that have come up so far.
    come_up_s: f64,
    counted_at: Instant,
    buckets: HashMap<CustomerName, Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    /// Tokens that are not lent.
    free: f64,
    /// [`Group::come_up_s`] when they were last counted.
    counted_s: f64,
    /// Tokens lent to each member; those that it has spent since its last question included.
    lent: HashMap<HostName, u32>,
}

impl Bucket {
    /// Counts what has come up, and forgets what was lent to hosts that are no members any more.
    fn settle(&mut self, members: &Members, come_up_s: f64, share: f64, bound: &TokenBound) {
        self.lent.retain(|host, _| members.contains_key(host));
        let lent: f64 = self.lent.values().map(|tokens| f64::from(*tokens)).sum();
        let come_up = (come_up_s - self.counted_s) * bound.per_s;
        self.counted_s = come_up_s;
        self.free = (self.free + come_up)
            .min(bound.depth * share - lent)
            .max(0.0);
    }

    fn lend(
        &mut self,
        from: &str,
        want: &TokenDemand,
        share: f64,
        bound: &TokenBound,
    ) -> TokenGrant {
        let needed = (self.free.floor() as u32).min(want.need);
        let spare = self.free - f64::from(needed) - bound.depth * share * KEPT_SHARE;
        let ahead = (spare.max(0.0).floor() as u32).min(want.ahead);
        self.free -= f64::from(needed + ahead);
        self.lent.insert(from.to_owned(), want.held + ahead);
        TokenGrant {
            needed,
            ahead,
            retry_after_ms: self.retry_after_ms(want.need - needed, bound.per_s * share),
        }
    }

    /// Time until as many more tokens have come up as are lacking.
    fn retry_after_ms(&self, lacking: u32, per_s: f64) -> u32 {
        if lacking == 0 {
            return 0;
        }
        let seconds = (f64::from(lacking) - self.free) / per_s.max(f64::MIN_POSITIVE);
        let seconds = seconds.clamp(DRY_LEAST.as_secs_f64(), DRY_MOST.as_secs_f64());
        (seconds * 1_000.0) as u32
    }
}

impl Group {
    fn new(now: Instant) -> Self {
        Group {
            members: HashMap::new(),
            share: 0.0,
            come_up_s: 0.0,
            counted_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Counts what has come up, with the share that held until now.
    fn settle(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.counted_at);
        self.come_up_s += passed.as_secs_f64() * self.share;
        self.counted_at = now;
    }

    /// Changes the share. Where it falls, no bucket keeps more than its new depth: the parts
    /// that went away fill buckets elsewhere.
    fn set_share(&mut self, share: f64, bound: &dyn Fn(&str) -> Option<TokenBound>) {
        if share < self.share {
            for (customer, bucket) in &mut self.buckets {
                let bound = bound(customer).unwrap_or(TokenBound {
                    per_s: 0.0,
                    depth: 0.0,
                });
                bucket.settle(&self.members, self.come_up_s, share, &bound);
            }
        }
        self.share = share;
    }

    /// Lends to a member what it wants, where there is so much.
    fn lend(&mut self, from: &str, want: &TokenDemand, bound: &TokenBound) -> TokenGrant {
        let bucket = self.buckets.entry(want.customer.clone()).or_default();
        bucket.lent.insert(from.to_owned(), want.held);
        bucket.settle(&self.members, self.come_up_s, self.share, bound);
        bucket.lend(from, want, self.share, bound)
    }
}

impl TokenPool {
    /// Of a host that started at `started`; `may_have_lent` where an earlier start of it may
    /// have lent tokens shortly before.
    pub fn new(incarnation: Incarnation, started: Instant, may_have_lent: bool) -> Self {
        let lapse = if may_have_lent {
            MEMBER_FOR
        } else {
            Duration::ZERO
        };
        TokenPool {
            incarnation,
            started,
            young_until: started + lapse,
            is_closed: false,
            groups: HashMap::new(),
        }
    }

    /// Lends no more from now on, for good.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.groups.clear();
    }

    /// Answers a host's question. `hosts` are all that have a part of each allowance; none
    /// while they are not known. `counts` tells whether the asker is one of them: else it gets
    /// tokens of the others for requests that wait, and adds none. `bound` is a customer's
    /// bucket; none where it has no bound, or is not known.
    pub fn handle_request(
        &mut self,
        now: Instant,
        from: &str,
        counts: bool,
        ask: &TokenRequest,
        hosts: Option<usize>,
        bound: &dyn Fn(&str) -> Option<TokenBound>,
    ) -> TokenReply {
        let Some(hosts) = hosts.filter(|_| !self.is_closed && ask.group < GROUPS) else {
            if let Some(group) = self.groups.get_mut(&ask.group) {
                group.members.remove(from);
            }
            return TokenReply::NoPool;
        };
        let since_start = now.saturating_duration_since(self.started);
        let stamp = PoolTime {
            incarnation: self.incarnation,
            at_us: since_start.as_micros() as u64,
        };
        let until = self.counts_until(ask);
        let young = if now < self.young_until {
            YOUNG_SHARE
        } else {
            1.0
        };
        let bound = &|customer: &str| {
            let bound = bound(customer)?;
            let depth = (bound.depth * young).max(1.0);
            Some(TokenBound { depth, ..bound })
        };
        let group = self.groups.entry(ask.group);
        let group = group.or_insert_with(|| Group::new(now));
        group.settle(now);
        group.members.retain(|_, until| *until > now);
        let joins = until.filter(|until| *until > now && !ask.leaves);
        match joins {
            Some(until) if counts => drop(group.members.insert(from.to_owned(), until)),
            _ if ask.leaves || !counts => drop(group.members.remove(from)),
            _ => {}
        }
        let share = group.members.len() as f64 / hosts.max(1) as f64;
        group.set_share(share.min(1.0), bound);
        if ask.leaves {
            return TokenReply::NoPool;
        }
        let is_member = group.members.contains_key(from);
        let is_guest = joins.is_some() && !counts;
        let lends = is_member || is_guest;
        let lend = |want: &TokenDemand| match bound(&want.customer).filter(|_| lends) {
            Some(bound) if is_member => group.lend(from, want, &bound),
            Some(bound) => group.lend(from, &want.without_ahead(), &bound),
            None => TokenGrant {
                needed: 0,
                ahead: 0,
                retry_after_ms: 0,
            },
        };
        TokenReply::Granted {
            stamp,
            grants: ask.wants.iter().map(lend).collect(),
        }
    }

    /// Forgets customers that are no more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        for group in self.groups.values_mut() {
            group.buckets.retain(|customer, _| is_there(customer));
        }
    }

    /// Until when the asker's part counts by this question.
    fn counts_until(&self, ask: &TokenRequest) -> Option<Instant> {
        let confirmed = ask.confirms?;
        let is_own = confirmed.incarnation == self.incarnation;
        is_own.then(|| self.started + Duration::from_micros(confirmed.at_us) + MEMBER_FOR)
    }
}
