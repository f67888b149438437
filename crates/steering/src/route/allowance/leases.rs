//! The tokens that a host holds for all customers, and the host that it asks for more.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::GROUPS;
use super::lease::{Lease, TakeResult};
use super::membership::{Membership, PoolReply};
use super::message::{TokenDemand, TokenGroup, TokenReply, TokenRequest, ZoneLoan};
use crate::ids::{CustomerName, HostName};
use crate::rendezvous;

/// Number of the group that a customer belongs to.
pub fn group_of(customer: &str) -> TokenGroup {
    (rendezvous::hash(customer.as_bytes()) % u64::from(GROUPS)) as TokenGroup
}

/// Next step of a host for one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to do before this time, unless a request waits.
    WaitUntil(Instant),
    /// Send a request to a host, which may be this host itself.
    SendRequest(HostName, TokenRequest),
}

/// The tokens of a host for all customers.
#[derive(Debug)]
pub struct TokenLeases {
    groups: Vec<Membership>,
    /// By group, whether other hosts of the zone ask this host first.
    is_zone_lender: Vec<bool>,
    customers: HashMap<CustomerName, Lease>,
}

impl TokenLeases {
    /// Creates an empty collection.
    ///
    /// An earlier start of this host may still count in a pool. Usually this start joins the same
    /// pool, where a host counts once. Otherwise the share counts twice until the membership of
    /// the earlier start expires.
    pub fn new(now: Instant) -> Self {
        TokenLeases {
            groups: (0..GROUPS).map(|_| Membership::new(now)).collect(),
            is_zone_lender: vec![false; usize::from(GROUPS)],
            customers: HashMap::new(),
        }
    }

    /// Takes a token for a new request. A request that must wait calls [`TokenLeases::retry`]
    /// later, and [`TokenLeases::cancel_wait`] if it gives up.
    pub fn take(&mut self, now: Instant, customer: &str) -> TakeResult {
        if !self.customers.contains_key(customer) {
            self.customers.insert(customer.to_owned(), Lease::default());
        }
        let is_valid = self.is_valid(now, customer);
        let lease = self
            .customers
            .get_mut(customer)
            .expect("the lease was just inserted");
        lease.record_requests(now, 1);
        let taken = lease.try_take(now, is_valid);
        if taken == TakeResult::Wait {
            lease.add_waiter();
        }
        taken
    }

    /// Tries again for a request that waits.
    pub fn retry(&mut self, now: Instant, customer: &str) -> TakeResult {
        let is_valid = self.is_valid(now, customer);
        let lease = self.customers.get_mut(customer);
        lease.map_or(TakeResult::Wait, |lease| lease.retry(now, is_valid))
    }

    /// Removes a request that waits no longer.
    pub fn cancel_wait(&mut self, customer: &str) {
        if let Some(lease) = self.customers.get_mut(customer) {
            lease.remove_waiter();
        }
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&mut self, now: Instant, customer: &str) {
        let is_valid = self.is_valid(now, customer);
        if let Some(lease) = self.customers.get_mut(customer).filter(|_| is_valid) {
            lease.give_back();
        }
    }

    fn is_valid(&self, now: Instant, customer: &str) -> bool {
        self.groups[usize::from(group_of(customer))].is_valid(now)
    }

    /// Whether more tokens of a customer should be requested now.
    pub fn runs_low(&self, now: Instant, customer: &str) -> bool {
        let lease = self.customers.get(customer);
        let is_zone_lender = self.is_zone_lender[usize::from(group_of(customer))];
        lease.is_some_and(|lease| lease.is_low(lease.prefetch_target(now, is_zone_lender)))
    }

    /// The next step for a group. `ranked` lists the hosts that may keep its pool, this host among
    /// them, in order of preference.
    pub fn step(&mut self, now: Instant, group: TokenGroup, ranked: &[&str]) -> LeaseStep {
        let is_zone_lender = self.is_zone_lender[usize::from(group)];
        let membership = &mut self.groups[usize::from(group)];
        let Some(request) = membership.next(now, ranked) else {
            return LeaseStep::WaitUntil(membership.member_until);
        };
        membership.record_request(&request);
        let is_member = request.confirms.is_some() && membership.is_owner(&request.host);
        let is_valid = membership.is_valid(now);
        let demands = match is_member {
            true => self.demands(now, group, is_valid, is_zone_lender),
            false => Vec::new(),
        };
        let token_request = TokenRequest {
            group,
            confirms: request.confirms,
            leaves: request.leaves,
            demands,
        };
        LeaseStep::SendRequest(request.host, token_request)
    }

    fn demands(
        &mut self,
        now: Instant,
        group: TokenGroup,
        is_valid: bool,
        is_zone_lender: bool,
    ) -> Vec<TokenDemand> {
        let customers = self.customers.iter_mut();
        let in_group = customers.filter(|(name, _)| group_of(name) == group);
        let demands = in_group.filter_map(|(name, lease)| {
            if !is_valid {
                lease.drop_tokens();
            }
            lease.demand(now, name, is_zone_lender)
        });
        demands.collect()
    }

    /// Applies the answer to a group's last request, which was sent at `asked`; true if this host
    /// should send another request at once.
    pub fn answered(
        &mut self,
        now: Instant,
        asked: Instant,
        host: &str,
        request: &TokenRequest,
        reply: &TokenReply,
    ) -> bool {
        let membership = &mut self.groups[usize::from(request.group)];
        let TokenReply::Granted { stamp, grants } = reply else {
            membership.no_pool(now, host, request.leaves);
            return true;
        };
        let reply_times = PoolReply {
            stamp: *stamp,
            asked_at: asked,
            answered_at: now,
        };
        if !membership.record_reply(host, reply_times, request.confirms) {
            return true;
        }
        for (demand, grant) in request.demands.iter().zip(grants) {
            if let Some(lease) = self.customers.get_mut(&demand.customer) {
                lease.take_grant(now, demand, grant);
            }
        }
        false
    }

    /// Records that a host did not answer.
    pub fn unanswered(&mut self, now: Instant, host: &str, group: TokenGroup) {
        self.groups[usize::from(group)].unanswered(now, host);
    }

    /// Sets whether other hosts of the zone ask this host first for a group's tokens.
    pub fn set_zone_lender(&mut self, group: TokenGroup, is_zone_lender: bool) {
        self.is_zone_lender[usize::from(group)] = is_zone_lender;
    }

    /// Number of requests in a group that wait for tokens, by customer.
    pub fn waiting(&self, group: TokenGroup) -> Vec<(CustomerName, u32)> {
        let customers = self.customers.iter();
        let waiting =
            customers.filter(|(name, lease)| lease.lacking() > 0 && group_of(name) == group);
        let waiting = waiting.map(|(name, lease)| (name.clone(), lease.lacking()));
        waiting.collect()
    }

    /// Lends tokens to requests that wait at another host of the zone.
    pub fn lend_to_zone(&mut self, now: Instant, customer: &str, need: u32) -> ZoneLoan {
        let valid_until = self.groups[usize::from(group_of(customer))].valid_until;
        let valid_for = valid_until.saturating_duration_since(now);
        let lease = self.customers.entry(customer.to_owned()).or_default();
        lease.record_requests(now, need);
        let tokens = match valid_for.is_zero() {
            true => 0,
            false => lease.lend(need),
        };
        ZoneLoan {
            tokens,
            valid_for_ms: valid_for.as_millis() as u32,
        }
    }

    /// Adds the tokens that another host of the zone lent in answer to a request sent at `asked`,
    /// each for one waiting request. True if no waiting request lacks a token.
    pub fn accept_zone_loan(
        &mut self,
        now: Instant,
        asked: Instant,
        customer: &str,
        loan: &ZoneLoan,
    ) -> bool {
        let Some(lease) = self.customers.get_mut(customer) else {
            return true;
        };
        let valid_until = asked + Duration::from_millis(loan.valid_for_ms.into());
        if now < valid_until {
            lease.reserve(loan.tokens);
        }
        lease.lacking() == 0
    }

    /// Drops customers that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.customers.retain(|name, _| exists(name));
    }

    /// The hosts in whose pools this host's share counts.
    pub fn owners(&self) -> impl Iterator<Item = &HostName> {
        self.groups.iter().filter_map(|group| group.owner.as_ref())
    }
}
