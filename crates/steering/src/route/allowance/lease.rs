//! Tokens that a host holds, and which host it asks for more.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::{Spared, Stamp, TokenAsk, TokenGroup, TokenReply, TokenWant};
use super::{GROUPS, KEEP_ALIVE, MEMBER_FOR};
use crate::ids::{CustomerName, HostName};
use crate::rendezvous;

/// Time after which a host that did not answer, or keeps no pool, is asked again.
const PASSED_OVER_FOR: Duration = Duration::from_secs(4);
/// Span for whose requests tokens are held ahead: some answers from far regions.
const AHEAD: Duration = Duration::from_millis(400);
/// Share of the time until all that waited would have been served after which a pool that had
/// no token is asked again. Callers come back after all of it; with it before, a pool at eight
/// times its allowance lent 85 of 100 of its tokens (played in `tests/route_allowance.rs`).
const DRY_SHARE: f64 = 0.25;
/// Tokens that a host holds for a customer whose requests its zone's hosts ask it for: as many
/// as may come together. Where the bucket is smaller the pool lends fewer.
const SPARED_AT_ONCE: u32 = 4;
/// Time without a request of a customer after which its tokens are given back.
const IDLE_AFTER: Duration = Duration::from_secs(6);
/// Weight of the newest span in a customer's rate.
const NEWEST_WEIGHT: f64 = 0.5;
/// Shortest span over which a rate is taken.
const SPAN_LEAST: Duration = Duration::from_millis(200);

/// Number of a customer's group.
pub fn group_of(customer: &str) -> TokenGroup {
    (rendezvous::hash(customer.as_bytes()) % u64::from(GROUPS)) as TokenGroup
}

/// What becomes of a request that takes a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It has one.
    Taken,
    /// There is none for so long.
    Dry(Duration),
    /// It must be asked for.
    Wait,
}

/// What a host does next about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this moment, unless a request waits.
    Rest(Instant),
    /// It asks a host, which may be itself.
    Ask(HostName, TokenAsk),
}

/// All tokens of a host.
#[derive(Debug)]
pub struct TokenLeases {
    groups: Vec<Membership>,
    /// Whether other hosts of the zone ask this one first, by group.
    spares: Vec<bool>,
    customers: HashMap<CustomerName, Lease>,
}

/// A host's place in the pools of one group.
#[derive(Debug)]
struct Membership {
    /// Host whose pool its part counts in, or is to.
    owner: Option<HostName>,
    /// Stamps of the last answers, with the moments of question and answer: of the owner and
    /// of the host that may be the next one.
    heard: HashMap<HostName, Heard>,
    /// Until when its part may count in the owner's pool.
    counts_until: Instant,
    /// Until when tokens of this pool are good.
    good_until: Instant,
    /// Hosts that are not asked before a moment.
    passed_over: HashMap<HostName, Instant>,
    asked: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    stamp: Stamp,
    asked: Instant,
    answered: Instant,
}

/// A customer whose allowance is used up.
#[derive(Debug)]
struct Dry {
    /// Until when the pool is not asked again.
    until: Instant,
    /// When there would have been a token for each request that waited.
    all_served_at: Instant,
}

/// A host's tokens for a customer.
#[derive(Debug, Default)]
struct Lease {
    tokens: u32,
    /// Tokens that the pool takes to be lent: all that are held, and some that are spent.
    lent: u32,
    /// Requests that wait for one.
    waiting: u32,
    /// Tokens for requests that wait, of the pool or of another host of the zone.
    spared: u32,
    dry: Option<Dry>,
    last_request: Option<Instant>,
    /// Requests since the rate was last taken, and when that was.
    requests: u32,
    rate_taken: Option<Instant>,
    rate_per_s: f64,
}

impl Lease {
    /// Tokens to hold for the requests to come. A host that others of its zone ask holds one
    /// also for customers whose requests are rare.
    fn wanted(&self, now: Instant, spares: bool) -> u32 {
        let idle = |at: Instant| now.saturating_duration_since(at) > IDLE_AFTER;
        let ahead = self.rate_per_s * AHEAD.as_secs_f64();
        match self.last_request {
            Some(at) if !idle(at) && spares => SPARED_AT_ONCE + ahead.ceil() as u32,
            Some(at) if !idle(at) => ahead.floor() as u32,
            _ => 0,
        }
    }

    /// Tokens that requests wait for and that are not there yet.
    fn lacking(&self) -> u32 {
        self.waiting.saturating_sub(self.tokens + self.spared)
    }

    /// Whether so few tokens are left that more are to be asked for: half of what is wanted
    /// lasts for the time of an answer from a far region.
    fn is_low(&self, wanted: u32) -> bool {
        self.tokens * 2 <= wanted && self.tokens < wanted
    }

    fn take_rate(&mut self, now: Instant) {
        let span = self.rate_taken.map(|at| now.saturating_duration_since(at));
        if span.is_some_and(|span| span < SPAN_LEAST) {
            return;
        }
        let span_s = span.unwrap_or(KEEP_ALIVE).as_secs_f64();
        let newest = f64::from(self.requests) / span_s;
        self.rate_per_s += NEWEST_WEIGHT * (newest - self.rate_per_s);
        self.requests = 0;
        self.rate_taken = Some(now);
    }

    /// What is to be said of the customer; none where nothing is.
    fn want(&mut self, now: Instant, customer: &str, spares: bool) -> Option<TokenWant> {
        self.take_rate(now);
        let wanted = self.wanted(now, spares);
        if wanted == 0 && self.waiting == 0 {
            self.tokens = 0;
            let lent = std::mem::take(&mut self.lent);
            return (lent > 0).then(|| TokenWant {
                customer: customer.to_owned(),
                held: 0,
                need: 0,
                ahead: 0,
            });
        }
        let lacks = self.lacking() > 0 || self.is_low(wanted);
        (lacks || self.lent != self.tokens).then(|| TokenWant {
            customer: customer.to_owned(),
            held: self.tokens,
            need: self.lacking(),
            ahead: wanted.saturating_sub(self.tokens),
        })
    }
}

impl Membership {
    fn new(now: Instant) -> Self {
        Membership {
            owner: None,
            heard: HashMap::new(),
            counts_until: now,
            good_until: now,
            passed_over: HashMap::new(),
            asked: None,
        }
    }

    fn leave(&mut self, now: Instant) {
        self.owner = None;
        self.counts_until = now;
        self.good_until = now;
    }

    /// Whom to ask with what, wants left out; none where its part still counts in a pool
    /// whose host does not answer.
    fn next(&mut self, now: Instant, ranked: &[&str]) -> Option<(HostName, Option<Stamp>, bool)> {
        self.passed_over.retain(|_, until| *until > now);
        let mut free = ranked.iter();
        let first = free.find(|host| !self.passed_over.contains_key(**host));
        let first = (*first?).to_owned();
        let owner = self.owner.clone().filter(|_| now < self.counts_until);
        let Some(owner) = owner else {
            self.leave(now);
            self.owner = Some(first.clone());
            let stamp = self.stamp(now, &first);
            return Some((first, stamp, false));
        };
        if owner == first {
            let stamp = self.stamp(now, &owner);
            return Some((owner, stamp, false));
        }
        let is_silent = self.passed_over.contains_key(&owner);
        match (self.stamp(now, &first), is_silent) {
            // It answers: the part may go over to it.
            (Some(_), false) => Some((owner, None, true)),
            (Some(_), true) => None,
            (None, _) => Some((first, None, false)),
        }
    }

    /// The last stamp of a host, where it is young enough to be confirmed.
    fn stamp(&self, now: Instant, host: &str) -> Option<Stamp> {
        let heard = self.heard.get(host)?;
        (now < heard.asked + MEMBER_FOR).then_some(heard.stamp)
    }
}

impl TokenLeases {
    /// No tokens.
    ///
    /// An earlier start of this host may still count in a pool. Most often that is the one
    /// which this start joins, where a host counts once; else its part counts twice until the
    /// earlier one has lapsed.
    pub fn new(now: Instant) -> Self {
        TokenLeases {
            groups: (0..GROUPS).map(|_| Membership::new(now)).collect(),
            spares: vec![false; usize::from(GROUPS)],
            customers: HashMap::new(),
        }
    }

    /// Takes a token for a request that has come; one that must wait says so by
    /// [`TokenLeases::again`] and [`TokenLeases::give_up`].
    pub fn take(&mut self, now: Instant, customer: &str) -> Take {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.to_owned(), Lease::default());
        }
        let is_good = now < self.groups[usize::from(group_of(customer))].good_until;
        let lease = self.customers.get_mut(customer).expect("it is there");
        lease.requests += 1;
        lease.last_request = Some(now);
        let taken = lease.try_take(now, is_good);
        if taken == Take::Wait {
            lease.waiting += 1;
        }
        taken
    }

    /// Tries again for a request that waits.
    pub fn again(&mut self, now: Instant, customer: &str) -> Take {
        let is_good = now < self.groups[usize::from(group_of(customer))].good_until;
        let Some(lease) = self.customers.get_mut(customer) else {
            return Take::Wait;
        };
        let taken = match lease.spared.checked_sub(1) {
            Some(left) => {
                lease.spared = left;
                Take::Taken
            }
            None => lease.try_take(now, is_good),
        };
        if taken != Take::Wait {
            lease.leave();
        }
        taken
    }

    /// A request waits no more.
    pub fn give_up(&mut self, customer: &str) {
        if let Some(lease) = self.customers.get_mut(customer) {
            lease.leave();
        }
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&mut self, now: Instant, customer: &str) {
        let is_good = now < self.groups[usize::from(group_of(customer))].good_until;
        if let Some(lease) = self.customers.get_mut(customer).filter(|_| is_good) {
            lease.tokens += 1;
        }
    }

    /// Whether more tokens of a customer should be asked for now.
    pub fn runs_low(&self, now: Instant, customer: &str) -> bool {
        let lease = self.customers.get(customer);
        let spares = self.spares[usize::from(group_of(customer))];
        lease.is_some_and(|lease| lease.is_low(lease.wanted(now, spares)))
    }

    /// What to do about a group. `ranked` are the hosts that may keep its pool, this one
    /// among them, the first to be asked first.
    pub fn step(&mut self, now: Instant, group: TokenGroup, ranked: &[&str]) -> Step {
        let spares = self.spares[usize::from(group)];
        let membership = &mut self.groups[usize::from(group)];
        let Some((host, confirms, leaves)) = membership.next(now, ranked) else {
            return Step::Rest(membership.counts_until);
        };
        membership.asked = Some(now);
        if let Some(heard) = membership.heard.get(&host).filter(|_| confirms.is_some()) {
            membership.counts_until = membership.counts_until.max(heard.answered + MEMBER_FOR);
        }
        let is_owner = confirms.is_some() && membership.owner.as_deref() == Some(&host);
        let is_good = now < membership.good_until;
        let wants = match is_owner {
            true => self.wants(now, group, is_good, spares),
            false => Vec::new(),
        };
        let ask = TokenAsk {
            group,
            confirms,
            leaves,
            wants,
        };
        Step::Ask(host, ask)
    }

    fn wants(
        &mut self,
        now: Instant,
        group: TokenGroup,
        is_good: bool,
        spares: bool,
    ) -> Vec<TokenWant> {
        let customers = self.customers.iter_mut();
        let of_group = customers.filter(|(name, _)| group_of(name) == group);
        let wants = of_group.filter_map(|(name, lease)| {
            if !is_good {
                lease.tokens = 0;
                lease.lent = 0;
            }
            lease.want(now, name, spares)
        });
        wants.collect()
    }

    /// Takes an answer to the last question of a group, asked at `asked`; true where this
    /// host should ask again at once.
    pub fn answered(
        &mut self,
        now: Instant,
        asked: Instant,
        host: &str,
        ask: &TokenAsk,
        reply: &TokenReply,
    ) -> bool {
        let membership = &mut self.groups[usize::from(ask.group)];
        let is_owner = membership.owner.as_deref() == Some(host);
        let TokenReply::Granted { stamp, grants } = reply else {
            if !ask.leaves {
                membership
                    .passed_over
                    .insert(host.to_owned(), now + PASSED_OVER_FOR);
            }
            membership.heard.remove(host);
            if is_owner {
                membership.leave(now);
            }
            return true;
        };
        let heard = Heard {
            stamp: *stamp,
            asked,
            answered: now,
        };
        let before = membership.heard.insert(host.to_owned(), heard);
        if is_owner
            && ask
                .confirms
                .is_some_and(|own| own.incarnation != stamp.incarnation)
        {
            // The pool that this host counted in has ended with its host.
            membership.leave(now);
            return true;
        }
        let confirmed = before.filter(|before| is_owner && ask.confirms == Some(before.stamp));
        let Some(confirmed) = confirmed else {
            return true;
        };
        // The pool counts this host for as long after the moment of the stamp that it has
        // confirmed, which is no earlier than the question whose answer brought it.
        membership.good_until = membership.good_until.max(confirmed.asked + MEMBER_FOR);
        for (want, grant) in ask.wants.iter().zip(grants) {
            if let Some(lease) = self.customers.get_mut(&want.customer) {
                lease.spared += grant.needed.min(lease.waiting);
                lease.tokens += grant.ahead;
                lease.lent = want.held + grant.ahead;
                let dry = Duration::from_millis(grant.dry_ms.into());
                lease.dry = (!dry.is_zero()).then(|| Dry {
                    until: now + dry.mul_f64(DRY_SHARE),
                    all_served_at: now + dry,
                });
            }
        }
        false
    }

    /// Takes that a host gave no answer.
    pub fn unanswered(&mut self, now: Instant, host: &str, group: TokenGroup) {
        let membership = &mut self.groups[usize::from(group)];
        membership
            .passed_over
            .insert(host.to_owned(), now + PASSED_OVER_FOR);
        membership.heard.remove(host);
    }

    /// Notes whether other hosts of the zone ask this one first for a group's tokens.
    pub fn set_spares(&mut self, group: TokenGroup, spares: bool) {
        self.spares[usize::from(group)] = spares;
    }

    /// Requests of a group that wait for tokens, by customer.
    pub fn waiting(&self, group: TokenGroup) -> Vec<(CustomerName, u32)> {
        let customers = self.customers.iter();
        let waiting =
            customers.filter(|(name, lease)| lease.lacking() > 0 && group_of(name) == group);
        let waiting = waiting.map(|(name, lease)| (name.clone(), lease.lacking()));
        waiting.collect()
    }

    /// Gives tokens to requests that wait at another host of the zone.
    pub fn spare(&mut self, now: Instant, customer: &str, need: u32) -> Spared {
        let good_until = self.groups[usize::from(group_of(customer))].good_until;
        let good_for = good_until.saturating_duration_since(now);
        let lease = self.customers.entry(customer.to_owned()).or_default();
        lease.requests += need;
        lease.last_request = Some(now);
        let tokens = match good_for.is_zero() {
            true => 0,
            false => lease.tokens.min(need),
        };
        lease.tokens -= tokens;
        Spared {
            tokens,
            good_for_ms: good_for.as_millis() as u32,
        }
    }

    /// Takes what another host of the zone has spared, of which it was asked at `asked`: each
    /// is for one request that waits. True where that is all that they need.
    pub fn take_spared(
        &mut self,
        now: Instant,
        asked: Instant,
        customer: &str,
        spared: &Spared,
    ) -> bool {
        let Some(lease) = self.customers.get_mut(customer) else {
            return true;
        };
        let good_until = asked + Duration::from_millis(spared.good_for_ms.into());
        if now < good_until {
            lease.spared += spared.tokens.min(lease.waiting);
        }
        lease.spared >= lease.waiting
    }

    /// Forgets customers that are no more.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.customers.retain(|name, _| is_there(name));
    }

    /// Hosts in whose pools this host's part counts.
    pub fn owners(&self) -> impl Iterator<Item = &HostName> {
        self.groups.iter().filter_map(|group| group.owner.as_ref())
    }
}

impl Lease {
    /// A request waits no more; what was spared for it is lost.
    fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.spared = self.spared.min(self.waiting);
    }

    fn try_take(&mut self, now: Instant, is_good: bool) -> Take {
        if is_good && self.tokens > 0 {
            self.tokens -= 1;
            return Take::Taken;
        }
        match &self.dry {
            Some(dry) if dry.until > now => {
                Take::Dry(dry.all_served_at.saturating_duration_since(now))
            }
            _ => Take::Wait,
        }
    }
}
