//! Asks other hosts for customers' tokens, and lends those of the pools that this host keeps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::PeerError;
use steering::ids::CustomerName;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{
    CustomerTable, GROUPS, KEEP_ALIVE, Step, TokenAsk, TokenBound, TokenGroup, TokenMessage,
    TokenReply, group_of,
};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;

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
            if waiting.is_empty() || !self.ask_near(group, waiting).await {
                allowances.want(group);
            }
        }
    }

    /// Whether a host of the own zone has spared all that requests wait for.
    async fn ask_near(&self, group: TokenGroup, waiting: Vec<(CustomerName, u32)>) -> bool {
        let now = Instant::now();
        let near = self.near_host(group, now);
        let Some(near) = near.filter(|near| near.name != self.me.name) else {
            return false;
        };
        let message = TokenMessage::Spare(waiting);
        let reply = self.tell_tokens(&near, &message, NEAR_LIMIT).await;
        let (Ok(TokenReply::Spared(spared)), TokenMessage::Spare(waiting)) = (reply, message)
        else {
            self.silent_near.borrow_mut().insert(near.name, now);
            return false;
        };
        let mut leases = self.common.allowances.leases();
        let mut all = true;
        for ((customer, _), spared) in waiting.iter().zip(&spared) {
            all &= leases.take_spared(Instant::now(), now, customer, spared);
        }
        drop(leases);
        self.common.allowances.answered(group);
        all
    }

    /// The host of the own zone that holds tokens for all of it: the first that has not been
    /// silent lately.
    fn near_host(&self, group: TokenGroup, now: Instant) -> Option<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let rows = beliefs.roll.list().rows();
        let others = rows.filter(|row| row.zone == self.me.zone && row.name != self.me.name);
        let hosts: Vec<&HostEntry> = others.chain([&self.me]).collect();
        let mut silent = self.silent_near.borrow_mut();
        silent.retain(|_, at| now.saturating_duration_since(*at) < SILENT_FOR);
        let names = hosts.iter().map(|host| host.name.as_str());
        let heard = names.filter(|name| !silent.contains_key(*name));
        let first = rendezvous::owner(&format!("tokens near {group}"), heard)?;
        let first = hosts.iter().find(|host| host.name == first);
        first.map(|host| (*host).clone())
    }

    /// Gives tokens to requests that wait at another host of the zone.
    pub(super) fn spare(&self, wanted: &[(CustomerName, u32)]) -> TokenReply {
        let now = Instant::now();
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
        let now = Instant::now();
        let near = self.near_host(group, now);
        let spares = near.is_some_and(|near| near.name == self.me.name);
        self.common.allowances.leases().set_spares(group, spares);
        let (name, ask) = match self.common.allowances.leases().step(now, group, &ranked) {
            Step::Rest(until) => {
                let rest = until.saturating_duration_since(now);
                return rest.clamp(GATHERED_FOR, KEEP_ALIVE);
            }
            Step::Ask(name, ask) => (name, ask),
        };
        let reply = match candidates.iter().find(|host| host.name == name) {
            Some(host) if host.name == self.me.name => Ok(self.lend(&self.me.name, &ask)),
            Some(host) => {
                let message = TokenMessage::Ask(ask.clone());
                self.tell_tokens(host, &message, ANSWER_LIMIT).await
            }
            // It has gone since it was last asked.
            None => Ok(TokenReply::NoPool),
        };
        let answered = Instant::now();
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

    async fn tell_tokens(
        &self,
        host: &HostEntry,
        message: &TokenMessage,
        within: Duration,
    ) -> Result<TokenReply, PeerError> {
        let Some(client) = self.client(host) else {
            return Err(PeerError::Late);
        };
        let reply = timeout(within, client.tokens(message)).await;
        let reply = reply.unwrap_or(Err(PeerError::Late))?;
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.roll.answered(Instant::now(), &host.name);
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
        let mut pool = self.pool.borrow_mut();
        pool.ask(Instant::now(), from, ask, view.sharers, &bound)
    }

    /// Hosts that may keep a group's pool: some of all, then the first of the own region and
    /// of the own zone for the time of a cut, at last this host for itself.
    fn pool_hosts(&self, group: TokenGroup) -> Vec<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let rows = beliefs.roll.list().rows();
        let mut hosts: Vec<&HostEntry> = rows.filter(|row| row.name != self.me.name).collect();
        hosts.push(&self.me);
        let key = format!("tokens {group}");
        let ranked = rendezvous::rank(&key, hosts.iter().map(|host| host.name.as_str()));
        let regions = &self.common.settings.regions;
        let find = |name: &&str| hosts.iter().find(|host| host.name == **name);
        let mut ranked = ranked.iter().filter_map(find).copied();
        let of_region =
            |host: &HostEntry| regions.get(&host.zone) == Some(&self.common.settings.region);
        let mut chosen: Vec<&HostEntry> = ranked.by_ref().take(FIRST_HOSTS).collect();
        let rest: Vec<&HostEntry> = ranked.collect();
        let near = rest.iter().find(|host| of_region(host));
        chosen.extend(near);
        let nearer = rest.iter().find(|host| host.zone == self.me.zone);
        chosen.extend(nearer);
        chosen.push(&self.me);
        let mut names = Vec::new();
        chosen.retain(|host| {
            let is_new = !names.contains(&&host.name);
            names.push(&host.name);
            is_new
        });
        chosen.into_iter().cloned().collect()
    }
}
