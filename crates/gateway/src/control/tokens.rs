//! Requests customers' tokens from other hosts, and lends tokens of the pools that this host keeps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::PeerError;
use steering::ids::CustomerName;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{
    CustomerTable, GROUPS, HostMessage, HostReply, KEEP_ALIVE, LeaseStep, TokenBound, TokenGroup,
    TokenReply, TokenRequest, group_of,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::known_state::KnownState;

/// Longest wait for an answer. A new session between distant regions takes some 0.3 s.
const POOL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a host of this host's zone, where a round trip takes some 2 ms.
const ZONE_HOST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a host of this host's zone that did not answer is not asked again.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(4);
/// Number of candidates among all hosts for keeping a group's pool; one in this host's region and
/// one in this host's zone follow them. If one does not answer, the next is asked.
const GLOBAL_POOL_HOSTS: usize = 2;
/// Shortest interval between two requests for a group. Demand that arises meanwhile goes into one
/// request.
const BATCH_INTERVAL: Duration = Duration::from_millis(3);

impl Control {
    /// Obtains tokens for this host from the pools of allowances, until the task is aborted.
    pub(super) fn maintain_tokens(self: &Rc<Self>) {
        for group in 0..GROUPS {
            spawn_local(Rc::clone(self).maintain_group(group));
            spawn_local(Rc::clone(self).serve_waiting(group));
        }
    }

    async fn maintain_group(self: Rc<Self>, group: TokenGroup) {
        let allowances = &self.common.allowances;
        loop {
            let delay = match self.has_allowances() {
                true => self.step(group).await,
                false => KEEP_ALIVE,
            };
            // The next step decides what to do, whether it was woken by time or by demand.
            let _ = timeout(delay, allowances.refill_needed(group)).await;
            sleep(BATCH_INTERVAL).await;
        }
    }

    /// Asks a host of this host's zone for tokens that requests wait for, and the pool if that host
    /// has too few. Runs until the task is aborted.
    async fn serve_waiting(self: Rc<Self>, group: TokenGroup) {
        let allowances = &self.common.allowances;
        loop {
            allowances.requests_waiting(group).await;
            let waiting = allowances.leases().waiting(group);
            // If no request waits, the lease of this host's tokens may have lapsed, which only the
            // pool can renew.
            if waiting.is_empty() || !self.ask_zone_host(group, waiting).await {
                allowances.request_refill(group);
            }
        }
    }

    /// Asks a host of this host's zone for tokens. Returns whether it gave all that requests wait
    /// for.
    async fn ask_zone_host(&self, group: TokenGroup, waiting: Vec<(CustomerName, u32)>) -> bool {
        let now = clock::now();
        let zone_host = self.zone_host(group, now);
        let Some(zone_host) = zone_host.filter(|host| host.name != self.this_host.name) else {
            return false;
        };
        let message = HostMessage::Spare(waiting);
        let reply = self.ask_host(&zone_host, &message, ZONE_HOST_TIMEOUT).await;
        let (Ok(HostReply::Tokens(TokenReply::ZoneLoans(loans))), HostMessage::Spare(waiting)) =
            (reply, message)
        else {
            self.unresponsive_zone_hosts
                .borrow_mut()
                .insert(zone_host.name, now);
            return false;
        };
        let mut leases = self.common.allowances.leases();
        let mut is_complete = true;
        for ((customer, _), loan) in waiting.iter().zip(&loans) {
            is_complete &= leases.accept_zone_loan(clock::now(), now, customer, loan);
        }
        drop(leases);
        self.common.allowances.notify_answered(group);
        is_complete
    }

    /// The host that holds tokens for this host's whole zone: the first-ranked one that has not
    /// recently failed to answer.
    fn zone_host(&self, group: TokenGroup, now: Instant) -> Option<HostEntry> {
        let known_state = self.known_state.borrow();
        let mut unresponsive = self.unresponsive_zone_hosts.borrow_mut();
        unresponsive.retain(|_, at| now.saturating_duration_since(*at) < UNRESPONSIVE_FOR);
        let hosts = self.listed(&known_state);
        let in_zone = hosts.filter(|host| host.zone == self.this_host.zone);
        let responsive = in_zone.filter(|host| !unresponsive.contains_key(&host.name));
        first_ranked(&format!("tokens near {group}"), responsive).cloned()
    }

    /// Gives tokens to requests that wait at another host of the zone.
    pub(super) fn lend_in_zone(&self, demand: &[(CustomerName, u32)]) -> TokenReply {
        let now = clock::now();
        let mut leases = self.common.allowances.leases();
        let mut lend = |(customer, need): &(CustomerName, u32)| {
            let loan = leases.lend_to_zone(now, customer, *need);
            if leases.runs_low(now, customer) {
                self.common.allowances.request_refill(group_of(customer));
            }
            loan
        };
        TokenReply::ZoneLoans(demand.iter().map(&mut lend).collect())
    }

    /// Drops the tokens of customers that no longer exist.
    pub(super) fn forget_customers(&self, customers: &CustomerTable) {
        let exists = |name: &str| customers.find(name).is_some();
        self.common.allowances.leases().retain(exists);
        self.pool.borrow_mut().retain(exists);
    }

    fn has_allowances(&self) -> bool {
        self.common.view.load().customers.has_allowances()
    }

    /// Makes the next request to a pool, if one is due. Returns the time until the next step.
    async fn step(&self, group: TokenGroup) -> Duration {
        let candidates = self.pool_hosts(group);
        let ranked: Vec<&str> = candidates.iter().map(|host| host.name.as_str()).collect();
        let now = clock::now();
        let zone_host = self.zone_host(group, now);
        let lends_in_zone = zone_host.is_some_and(|host| host.name == self.this_host.name);
        let step = {
            let mut leases = self.common.allowances.leases();
            leases.set_zone_lender(group, lends_in_zone);
            leases.step(now, group, &ranked)
        };
        let (name, ask) = match step {
            LeaseStep::WaitUntil(until) => {
                let delay = until.saturating_duration_since(now);
                return delay.clamp(BATCH_INTERVAL, KEEP_ALIVE);
            }
            LeaseStep::SendRequest(name, ask) => (name, ask),
        };
        let reply = match candidates.iter().find(|host| host.name == name) {
            Some(host) if host.name == self.this_host.name => {
                Ok(self.lend(&self.this_host.name, &ask))
            }
            Some(host) => {
                let message = HostMessage::Tokens(ask.clone());
                match self.ask_host(host, &message, POOL_TIMEOUT).await {
                    Ok(HostReply::Tokens(reply)) => Ok(reply),
                    Ok(_) => Ok(TokenReply::NoPool),
                    Err(error) => Err(error),
                }
            }
            // The host has disappeared since it was last asked.
            None => Ok(TokenReply::NoPool),
        };
        let answered = clock::now();
        let is_due = match reply {
            Ok(reply) => {
                let mut leases = self.common.allowances.leases();
                leases.answered(answered, now, &name, &ask, &reply)
            }
            Err(error) => {
                tracing::debug!(event = "tokens_not_lent", host = name, group, %error);
                self.common
                    .allowances
                    .leases()
                    .unanswered(answered, &name, group);
                true
            }
        };
        self.common.allowances.notify_answered(group);
        if is_due { BATCH_INTERVAL } else { KEEP_ALIVE }
    }

    pub(super) async fn ask_host(
        &self,
        host: &HostEntry,
        message: &HostMessage,
        within: Duration,
    ) -> Result<HostReply, PeerError> {
        let Some(client) = self.client(host) else {
            return Err(PeerError::Timeout);
        };
        let reply = timeout(within, client.send_message(message)).await;
        let reply = reply.unwrap_or(Err(PeerError::Timeout))?;
        let mut known_state = self.known_state.borrow_mut();
        known_state.host_table.answered(clock::now(), &host.name);
        Ok(reply)
    }

    /// Lends tokens to a host, which may be this one.
    pub(super) fn lend(&self, from: &str, ask: &TokenRequest) -> TokenReply {
        let view = self.common.view.load();
        let terms = self.common.bounds().allowances;
        let bound = |customer: &str| {
            let allowance = view.customers.find(customer)?.allowance?;
            Some(TokenBound::new(&allowance, &terms))
        };
        let now = clock::now();
        let counts = from == self.this_host.name
            || self
                .known_state
                .borrow()
                .host_table
                .counts_in_bounds(now, from);
        let mut pool = self.pool.borrow_mut();
        pool.handle_request(now, from, counts, ask, view.sharing_hosts, &bound)
    }

    /// Hosts that may keep a group's pool, in order: some of all hosts, then the first of this
    /// host's region and of this host's zone in case of a network partition, and finally this host
    /// for itself.
    fn pool_hosts(&self, group: TokenGroup) -> Vec<HostEntry> {
        let known_state = self.known_state.borrow();
        let settings = &self.common.settings;
        let key = format!("tokens {group}");
        let mut chosen: Vec<&HostEntry> = Vec::new();
        for _ in 0..GLOBAL_POOL_HOSTS {
            let rest = self
                .listed(&known_state)
                .filter(|host| !chosen.contains(host));
            let next = first_ranked(&key, rest);
            chosen.extend(next);
        }
        let rest = self
            .listed(&known_state)
            .filter(|host| !chosen.contains(host));
        let of_region =
            |host: &&HostEntry| settings.regions.get(&host.zone) == Some(&settings.region);
        let in_region = first_ranked(&key, rest.clone().filter(of_region));
        let in_zone = first_ranked(&key, rest.filter(|host| host.zone == self.this_host.zone));
        for host in in_region
            .into_iter()
            .chain(in_zone)
            .chain([&self.this_host])
        {
            if !chosen.contains(&host) {
                chosen.push(host);
            }
        }
        chosen.into_iter().cloned().collect()
    }

    /// All hosts in the store's list, and this host even if it is not listed yet.
    fn listed<'a>(
        &'a self,
        known_state: &'a KnownState,
    ) -> impl Iterator<Item = &'a HostEntry> + Clone {
        let rows = known_state.host_table.list().rows();
        let others = rows.filter(|row| row.name != self.this_host.name);
        others.chain([&self.this_host])
    }
}

/// The host that ranks first for a key.
fn first_ranked<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a HostEntry> + Clone,
) -> Option<&'a HostEntry> {
    let names = hosts.clone().map(|host| host.name.as_str());
    let first = rendezvous::owner(key, names)?;
    hosts.into_iter().find(|host| host.name == first)
}
