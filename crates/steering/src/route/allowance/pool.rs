//! A host's pool of the shares that member hosts have of allowances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::bound::TokenBound;
use super::message::{PoolTime, TokenDemand, TokenGrant, TokenGroup, TokenReply, TokenRequest};
use super::{GROUPS, MEMBERSHIP_DURATION};
use crate::ids::{CustomerName, HostName, Incarnation};

/// Fraction of a bucket that is reserved for requests that wait, and not lent in advance.
const RESERVED_SHARE: f64 = 0.25;
/// Fraction of a bucket's depth that a new pool uses while hosts may still hold tokens that an
/// earlier start of its host lent in advance. Such tokens never exceed the remaining depth.
const STARTUP_SHARE: f64 = RESERVED_SHARE;
/// Bounds of the time after which a request that found no token should be retried.
const MIN_RETRY_WAIT: Duration = Duration::from_millis(50);
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

/// The pools that one host keeps, one per group that other hosts asked for.
#[derive(Debug)]
pub struct TokenPool {
    incarnation: Incarnation,
    started: Instant,
    /// Until when hosts may hold tokens that an earlier start of this host lent.
    startup_until: Instant,
    is_closed: bool,
    groups: HashMap<TokenGroup, Group>,
}

/// Until when each host's share counts in a pool.
type Members = HashMap<HostName, Instant>;

#[derive(Debug)]
struct Group {
    members: Members,
    /// Combined share of the members, as a fraction of each allowance.
    share: f64,
    /// Accrued time, weighted by `share`: a bucket gains this many seconds of the full rate.
    accrued_s: f64,
    accrued_at: Instant,
    buckets: HashMap<CustomerName, Bucket>,
}

#[derive(Debug, Default)]
struct Bucket {
    /// Tokens that are not lent.
    free: f64,
    /// [`Group::accrued_s`] at the last accrual of this bucket.
    settled_s: f64,
    /// Tokens lent to each member, including those spent since its last request.
    lent: HashMap<HostName, u32>,
}

impl Bucket {
    /// Adds the tokens gained since the last call, and drops what was lent to former members.
    fn accrue(&mut self, members: &Members, accrued_s: f64, share: f64, bound: &TokenBound) {
        self.lent.retain(|host, _| members.contains_key(host));
        let lent: f64 = self.lent.values().map(|tokens| f64::from(*tokens)).sum();
        let gained = (accrued_s - self.settled_s) * bound.per_s;
        self.settled_s = accrued_s;
        self.free = (self.free + gained)
            .min(bound.depth * share - lent)
            .max(0.0);
    }

    fn lend(
        &mut self,
        from: &str,
        demand: &TokenDemand,
        share: f64,
        bound: &TokenBound,
    ) -> TokenGrant {
        let needed = (self.free.floor() as u32).min(demand.need);
        let unreserved = self.free - f64::from(needed) - bound.depth * share * RESERVED_SHARE;
        let ahead = (unreserved.max(0.0).floor() as u32).min(demand.ahead);
        self.free -= f64::from(needed + ahead);
        self.lent.insert(from.to_owned(), demand.held + ahead);
        TokenGrant {
            needed,
            ahead,
            retry_after_ms: self.retry_after_ms(demand.need - needed, bound.per_s * share),
        }
    }

    /// Time until `lacking` more tokens have accrued, in milliseconds.
    fn retry_after_ms(&self, lacking: u32, per_s: f64) -> u32 {
        if lacking == 0 {
            return 0;
        }
        let seconds = (f64::from(lacking) - self.free) / per_s.max(f64::MIN_POSITIVE);
        let seconds = seconds.clamp(MIN_RETRY_WAIT.as_secs_f64(), MAX_RETRY_WAIT.as_secs_f64());
        (seconds * 1_000.0) as u32
    }
}

impl Group {
    fn new(now: Instant) -> Self {
        Group {
            members: HashMap::new(),
            share: 0.0,
            accrued_s: 0.0,
            accrued_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Accrues time up to `now` with the share that was valid until now.
    fn accrue(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.accrued_at);
        self.accrued_s += passed.as_secs_f64() * self.share;
        self.accrued_at = now;
    }

    /// Changes the share. If it falls, all buckets are cut to their new depth at once, since the
    /// shares that left fill buckets elsewhere.
    fn set_share(&mut self, share: f64, bound: &dyn Fn(&str) -> Option<TokenBound>) {
        if share < self.share {
            for (customer, bucket) in &mut self.buckets {
                let bound = bound(customer).unwrap_or(TokenBound {
                    per_s: 0.0,
                    depth: 0.0,
                });
                bucket.accrue(&self.members, self.accrued_s, share, &bound);
            }
        }
        self.share = share;
    }

    /// Lends the tokens that a member needs, as far as there are any.
    fn lend(&mut self, from: &str, demand: &TokenDemand, bound: &TokenBound) -> TokenGrant {
        let bucket = self.buckets.entry(demand.customer.clone()).or_default();
        bucket.lent.insert(from.to_owned(), demand.held);
        bucket.accrue(&self.members, self.accrued_s, self.share, bound);
        bucket.lend(from, demand, self.share, bound)
    }
}

impl TokenPool {
    /// Creates the pools of a host that started at `started`; `may_have_lent` if an earlier start
    /// of this host may have lent tokens shortly before.
    pub fn new(incarnation: Incarnation, started: Instant, may_have_lent: bool) -> Self {
        let startup = if may_have_lent {
            MEMBERSHIP_DURATION
        } else {
            Duration::ZERO
        };
        TokenPool {
            incarnation,
            started,
            startup_until: started + startup,
            is_closed: false,
            groups: HashMap::new(),
        }
    }

    /// Stops lending permanently.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.groups.clear();
    }

    /// Answers a host's request.
    ///
    /// `hosts` is the number of hosts with a share of each allowance; `None` while it is unknown.
    /// `has_share` says whether the sender is one of them; a sender without a share gets tokens
    /// only for requests that wait. `bound` returns a customer's bucket; `None` if the customer
    /// has no allowance or is unknown.
    pub fn handle_request(
        &mut self,
        now: Instant,
        from: &str,
        has_share: bool,
        request: &TokenRequest,
        hosts: Option<usize>,
        bound: &dyn Fn(&str) -> Option<TokenBound>,
    ) -> TokenReply {
        let Some(hosts) = hosts.filter(|_| !self.is_closed && request.group < GROUPS) else {
            if let Some(group) = self.groups.get_mut(&request.group) {
                group.members.remove(from);
            }
            return TokenReply::NoPool;
        };
        let since_start = now.saturating_duration_since(self.started);
        let stamp = PoolTime {
            incarnation: self.incarnation,
            at_us: since_start.as_micros() as u64,
        };
        let until = self.member_until(request);
        let usable_share = if now < self.startup_until {
            STARTUP_SHARE
        } else {
            1.0
        };
        let bound = &|customer: &str| {
            let bound = bound(customer)?;
            let depth = (bound.depth * usable_share).max(1.0);
            Some(TokenBound { depth, ..bound })
        };
        let group = self.groups.entry(request.group);
        let group = group.or_insert_with(|| Group::new(now));
        group.accrue(now);
        group.members.retain(|_, until| *until > now);
        let joins = until.filter(|until| *until > now && !request.leaves);
        match joins {
            Some(until) if has_share => drop(group.members.insert(from.to_owned(), until)),
            _ if request.leaves || !has_share => drop(group.members.remove(from)),
            _ => {}
        }
        let share = group.members.len() as f64 / hosts.max(1) as f64;
        group.set_share(share.min(1.0), bound);
        if request.leaves {
            return TokenReply::NoPool;
        }
        let is_member = group.members.contains_key(from);
        let is_guest = joins.is_some() && !has_share;
        let lends = is_member || is_guest;
        let lend = |demand: &TokenDemand| match bound(&demand.customer).filter(|_| lends) {
            Some(bound) if is_member => group.lend(from, demand, &bound),
            Some(bound) => group.lend(from, &demand.without_ahead(), &bound),
            None => TokenGrant {
                needed: 0,
                ahead: 0,
                retry_after_ms: 0,
            },
        };
        TokenReply::Granted {
            stamp,
            grants: request.demands.iter().map(lend).collect(),
        }
    }

    /// Drops customers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        for group in self.groups.values_mut() {
            group.buckets.retain(|customer, _| exists(customer));
        }
    }

    /// Until when the sender's share counts according to this request.
    fn member_until(&self, request: &TokenRequest) -> Option<Instant> {
        let confirmed = request.confirms?;
        let is_same_start = confirmed.incarnation == self.incarnation;
        is_same_start
            .then(|| self.started + Duration::from_micros(confirmed.at_us) + MEMBERSHIP_DURATION)
    }
}
