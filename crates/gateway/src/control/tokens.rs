//! Asks other hosts for customers' tokens, and lends those of the pools that this host keeps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::PeerError;
use steering::ids::CustomerName;
use steering::membership::HostEntry;
use steering::route::{
    CustomerTable, GROUPS, HostMessage, HostReply, KEEP_ALIVE, Step, TokenAsk, TokenBound,
    TokenGroup, TokenReply, group_of,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::beliefs::Beliefs;
use super::group::first;

/// Longest wait for an answer: a new session between far regions takes some 0.3 s.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Longest wait for a host of the own zone; a round trip takes some 2 ms.
const NEAR_LIMIT: Duration = Duration::from_millis(100);
/// Time for which a host of the zone that gave no answer is not asked.
const SILENT_FOR: Duration = Duration::from_secs(4);
/// Hosts of the whole deployment that may keep a group's pool, before those of the own region
/// and zone: with one silent, the next is asked.
const FIRST_HOSTS: usize = 2;
/// Least time between two questions of a group: requests that come meanwhile are asked for
/// together.
const GATHERED_FOR: Duration = Duration::from_millis(3);

impl Control {
    /// Keeps this host's part of allowances in pools, for ever.
    pub(super) fn keep_tokens(self: &Rc<Self>) {
        for group in 0..GROUPS {
            spawn_local(Rc::clone(self).keep_group(group));
            spawn_local(Rc::clone(self).serve_waiting(group));
        }
    }

    async fn keep_group(self: Rc<Self>, group: TokenGroup) {
        let allowances = &self.common.allowances;
        loop {
            let rest = match self.has_allowances() {
                true => self.step(group).await,
                false => KEEP_ALIVE,
            };
            // Whichever comes first, the next step finds out what to do.
            let _ = timeout(rest, allowances.wanted(group)).await;
            sleep(GATHERED_FOR).await;
        }
    }

    /// Asks a host of the own zone for tokens that requests wait for, for ever; where it has
    /// none, the pool is asked.
    async fn serve_waiting(self: Rc<Self>, group: TokenGroup) {
        let allowances = &self.common.allowances;
        loop {
            allowances.waited_for(group).await;
            let waiting = allowances.leases().waiting(group);
            // With none there may be tokens of a pool that has lapsed; only a pool puts that
            // right.
            if waiting.is_empty() || !self.ask_near(group, waiting).await {
                allowances.want(group);
            }
        }
    }

    /// Whether a host of the own zone has spared all that requests wait for.
    async fn ask_near(&self, group: TokenGroup, waiting: Vec<(CustomerName, u32)>) -> bool {
        let now = clock::now();
        let near = self.near_host(group, now);
        let Some(near) = near.filter(|near| near.name != self.me.name) else {
            return false;
        };
        let message = HostMessage::Spare(waiting);
        let reply = self.ask_host(&near, &message, NEAR_LIMIT).await;
        let (Ok(HostReply::Tokens(TokenReply::Spared(spared))), HostMessage::Spare(waiting)) =
            (reply, message)
        else {
            self.silent_near.borrow_mut().insert(near.name, now);
            return false;
        };
        let mut leases = self.common.allowances.leases();
        let mut all = true;
        for ((customer, _), spared) in waiting.iter().zip(&spared) {
            all &= leases.take_spared(clock::now(), now, customer, spared);
        }
        drop(leases);
        self.common.allowances.answered(group);
        all
    }

    /// The host of the own zone that holds tokens for all of it: the first that has not been
    /// silent lately.
    fn near_host(&self, group: TokenGroup, now: Instant) -> Option<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let mut silent = self.silent_near.borrow_mut();
        silent.retain(|_, at| now.saturating_duration_since(*at) < SILENT_FOR);
        let hosts = self.listed(&beliefs);
        let near = hosts.filter(|host| host.zone == self.me.zone);
        let heard = near.filter(|host| !silent.contains_key(&host.name));
        first(&format!("tokens near {group}"), heard).cloned()
    }

    /// Gives tokens to requests that wait at another host of the zone.
    pub(super) fn spare(&self, wanted: &[(CustomerName, u32)]) -> TokenReply {
        let now = clock::now();
        let mut leases = self.common.allowances.leases();
        let mut spare = |(customer, need): &(CustomerName, u32)| {
            let spared = leases.spare(now, customer, *need);
            if leases.runs_low(now, customer) {
                self.common.allowances.want(group_of(customer));
            }
            spared
        };
        TokenReply::Spared(wanted.iter().map(&mut spare).collect())
    }

    /// Forgets tokens of customers that are no more.
    pub(super) fn forget_customers(&self, customers: &CustomerTable) {
        let is_there = |name: &str| customers.find(name).is_some();
        self.common.allowances.leases().retain(is_there);
        self.pool.borrow_mut().retain(is_there);
    }

    fn has_allowances(&self) -> bool {
        self.common.view.load().customers.has_allowances()
    }

    /// Asks whoever is to be asked; the time after which to go on.
    async fn step(&self, group: TokenGroup) -> Duration {
        let candidates = self.pool_hosts(group);
        let ranked: Vec<&str> = candidates.iter().map(|host| host.name.as_str()).collect();
        let now = clock::now();
        let near = self.near_host(group, now);
        let spares = near.is_some_and(|near| near.name == self.me.name);
        let step = {
            let mut leases = self.common.allowances.leases();
            leases.set_spares(group, spares);
            leases.step(now, group, &ranked)
        };
        let (name, ask) = match step {
            Step::Rest(until) => {
                let rest = until.saturating_duration_since(now);
                return rest.clamp(GATHERED_FOR, KEEP_ALIVE);
            }
            Step::Ask(name, ask) => (name, ask),
        };
        let reply = match candidates.iter().find(|host| host.name == name) {
            Some(host) if host.name == self.me.name => Ok(self.lend(&self.me.name, &ask)),
            Some(host) => {
                let message = HostMessage::Tokens(ask.clone());
                match self.ask_host(host, &message, ANSWER_LIMIT).await {
                    Ok(HostReply::Tokens(reply)) => Ok(reply),
                    Ok(_) => Ok(TokenReply::NoPool),
                    Err(error) => Err(error),
                }
            }
            // It has gone since it was last asked.
            None => Ok(TokenReply::NoPool),
        };
        let answered = clock::now();
        let again = match reply {
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
        self.common.allowances.answered(group);
        if again { GATHERED_FOR } else { KEEP_ALIVE }
    }

    pub(super) async fn ask_host(
        &self,
        host: &HostEntry,
        message: &HostMessage,
        within: Duration,
    ) -> Result<HostReply, PeerError> {
        let Some(client) = self.client(host) else {
            return Err(PeerError::Late);
        };
        let reply = timeout(within, client.ask(message)).await;
        let reply = reply.unwrap_or(Err(PeerError::Late))?;
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.roll.answered(clock::now(), &host.name);
        Ok(reply)
    }

    /// Lends tokens to a host, this one among them.
    pub(super) fn lend(&self, from: &str, ask: &TokenAsk) -> TokenReply {
        let view = self.common.view.load();
        let terms = self.common.bounds().allowances;
        let bound = |customer: &str| {
            let allowance = view.customers.find(customer)?.allowance?;
            Some(TokenBound::new(&allowance, &terms))
        };
        let now = clock::now();
        let counts = from == self.me.name || self.beliefs.borrow().roll.counts_in_bounds(now, from);
        let mut pool = self.pool.borrow_mut();
        pool.ask(now, from, counts, ask, view.sharing_hosts, &bound)
    }

    /// Hosts that may keep a group's pool: some of all, then the first of the own region and
    /// of the own zone for the time of a cut, at last this host for itself.
    fn pool_hosts(&self, group: TokenGroup) -> Vec<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let settings = &self.common.settings;
        let key = format!("tokens {group}");
        let mut chosen: Vec<&HostEntry> = Vec::new();
        for _ in 0..FIRST_HOSTS {
            let rest = self.listed(&beliefs).filter(|host| !chosen.contains(host));
            let next = first(&key, rest);
            chosen.extend(next);
        }
        let rest = self.listed(&beliefs).filter(|host| !chosen.contains(host));
        let of_region =
            |host: &&HostEntry| settings.regions.get(&host.zone) == Some(&settings.region);
        let near = first(&key, rest.clone().filter(of_region));
        let nearer = first(&key, rest.filter(|host| host.zone == self.me.zone));
        for host in near.into_iter().chain(nearer).chain([&self.me]) {
            if !chosen.contains(&host) {
                chosen.push(host);
            }
        }
        chosen.into_iter().cloned().collect()
    }

    /// All hosts of the store's list, this one included whether or not it is there yet.
    fn listed<'a>(&'a self, beliefs: &'a Beliefs) -> impl Iterator<Item = &'a HostEntry> + Clone {
        let rows = beliefs.roll.list().rows();
        let others = rows.filter(|row| row.name != self.me.name);
        others.chain([&self.me])
    }
}
