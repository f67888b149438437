//! Tokens that a host holds, and which host it asks for more.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::GROUPS;
use super::lease::{Lease, TakeResult};
use super::membership::{Heard, Membership};
use super::message::{TokenDemand, TokenGroup, TokenReply, TokenRequest, ZoneLoan};
use crate::ids::{CustomerName, HostName};
use crate::rendezvous;

/// Number of a customer's group.
pub fn group_of(customer: &str) -> TokenGroup {
    (rendezvous::hash(customer.as_bytes()) % u64::from(GROUPS)) as TokenGroup
}

/// What a host does next about a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing before this moment, unless a request waits.
    WaitUntil(Instant),
    /// It asks a host, which may be itself.
    SendRequest(HostName, TokenRequest),
}

/// All tokens of a host.
#[derive(Debug)]
pub struct TokenLeases {
    groups: Vec<Membership>,
    /// Whether other hosts of the zone ask this one first, by group.
    spares: Vec<bool>,
    customers: HashMap<CustomerName, Lease>,
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
    /// [`TokenLeases::retry`] and [`TokenLeases::cancel_wait`].
    pub fn take(&mut self, now: Instant, customer: &str) -> TakeResult {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.to_owned(), Lease::default());
        }
        let is_good = self.is_good(now, customer);
        let lease = self.customers.get_mut(customer).expect("it is there");
        lease.came(now, 1);
        let taken = lease.try_take(now, is_good);
        if taken == TakeResult::Wait {
            lease.wait();
        }
        taken
    }

    /// Tries again for a request that waits.
    pub fn retry(&mut self, now: Instant, customer: &str) -> TakeResult {
        let is_good = self.is_good(now, customer);
        let lease = self.customers.get_mut(customer);
        lease.map_or(TakeResult::Wait, |lease| lease.try_again(now, is_good))
    }

    /// A request waits no more.
    pub fn cancel_wait(&mut self, customer: &str) {
        if let Some(lease) = self.customers.get_mut(customer) {
            lease.leave();
        }
    }

    /// Gives back the token of a request that has not run.
    pub fn give_back(&mut self, now: Instant, customer: &str) {
        let is_good = self.is_good(now, customer);
        if let Some(lease) = self.customers.get_mut(customer).filter(|_| is_good) {
            lease.put_back();
        }
    }

    fn is_good(&self, now: Instant, customer: &str) -> bool {
        self.groups[usize::from(group_of(customer))].is_good(now)
    }

    /// Whether more tokens of a customer should be asked for now.
    pub fn runs_low(&self, now: Instant, customer: &str) -> bool {
        let lease = self.customers.get(customer);
        let spares = self.spares[usize::from(group_of(customer))];
        lease.is_some_and(|lease| lease.is_low(lease.wanted(now, spares)))
    }

    /// What to do about a group. `ranked` are the hosts that may keep its pool, this one
    /// among them, the first to be asked first.
    pub fn step(&mut self, now: Instant, group: TokenGroup, ranked: &[&str]) -> LeaseStep {
        let spares = self.spares[usize::from(group)];
        let membership = &mut self.groups[usize::from(group)];
        let Some(question) = membership.next(now, ranked) else {
            return LeaseStep::WaitUntil(membership.counts_until);
        };
        membership.asks(&question);
        let is_member = question.confirms.is_some() && membership.is_owner(&question.host);
        let is_good = membership.is_good(now);
        let wants = match is_member {
            true => self.wants(now, group, is_good, spares),
            false => Vec::new(),
        };
        let ask = TokenRequest {
            group,
            confirms: question.confirms,
            leaves: question.leaves,
            wants,
        };
        LeaseStep::SendRequest(question.host, ask)
    }

    fn wants(
        &mut self,
        now: Instant,
        group: TokenGroup,
        is_good: bool,
        spares: bool,
    ) -> Vec<TokenDemand> {
        let customers = self.customers.iter_mut();
        let of_group = customers.filter(|(name, _)| group_of(name) == group);
        let wants = of_group.filter_map(|(name, lease)| {
            if !is_good {
                lease.forget_tokens();
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
        ask: &TokenRequest,
        reply: &TokenReply,
    ) -> bool {
        let membership = &mut self.groups[usize::from(ask.group)];
        let TokenReply::Granted { stamp, grants } = reply else {
            membership.no_pool(now, host, ask.leaves);
            return true;
        };
        let heard = Heard {
            stamp: *stamp,
            asked,
            answered: now,
        };
        if !membership.stamped(host, heard, ask.confirms) {
            return true;
        }
        for (want, grant) in ask.wants.iter().zip(grants) {
            if let Some(lease) = self.customers.get_mut(&want.customer) {
                lease.take_grant(now, want, grant);
            }
        }
        false
    }

    /// Takes that a host gave no answer.
    pub fn unanswered(&mut self, now: Instant, host: &str, group: TokenGroup) {
        self.groups[usize::from(group)].unanswered(now, host);
    }

    /// Notes whether other hosts of the zone ask this one first for a group's tokens.
    pub fn set_zone_lender(&mut self, group: TokenGroup, spares: bool) {
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
    pub fn lend_to_zone(&mut self, now: Instant, customer: &str, need: u32) -> ZoneLoan {
        let good_until = self.groups[usize::from(group_of(customer))].good_until;
        let good_for = good_until.saturating_duration_since(now);
        let lease = self.customers.entry(customer.to_owned()).or_default();
        lease.came(now, need);
        let tokens = match good_for.is_zero() {
            true => 0,
            false => lease.give(need),
        };
        ZoneLoan {
            tokens,
            good_for_ms: good_for.as_millis() as u32,
        }
    }

    /// Takes what another host of the zone has spared, of which it was asked at `asked`: each
    /// is for one request that waits. True where that is all that they need.
    pub fn accept_zone_loan(
        &mut self,
        now: Instant,
        asked: Instant,
        customer: &str,
        spared: &ZoneLoan,
    ) -> bool {
        let Some(lease) = self.customers.get_mut(customer) else {
            return true;
        };
        let good_until = asked + Duration::from_millis(spared.good_for_ms.into());
        if now < good_until {
            lease.accept_zone_loan(spared.tokens);
        }
        lease.lacking() == 0
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
