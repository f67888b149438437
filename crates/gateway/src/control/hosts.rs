//! Host membership: rows in the store, and heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use peer::{
    Beat, Exchange, ExchangeReply, FeedState, Local, PeerClient, PeerHandler, PeerServer,
    StateQuery,
};
use rand::Rng;
use steering::history::{Entry, Position};
use steering::ids::{HostName, Incarnation, Revision};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::membership::{Heartbeat, HostEntry};
use steering::rendezvous;
use steering::route::{Changes, Feed, HostMessage, HostReply, News, Record};
use store::{HOSTS_TABLE, OwnRow, PEER_KEY_ROW};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::outage::{ROW_PAUSE_MOST, pauses};
use crate::host::Stage;

const PEER_KEY_BYTES: usize = 32;

/// Interval between heartbeats to a host. A host that misses three of them is no longer named to
/// callers.
const BEAT_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a heartbeat. A round trip between regions takes some 80 ms, and a
/// new session four of them.
pub(super) const BEAT_LIMIT: Duration = Duration::from_millis(900);
/// Delay between two heartbeats from which this process counts as having been paused: three
/// heartbeats.
const PAUSED: Duration = Duration::from_secs(3);
/// Interval between comparisons of the store's list with the hosts that are alive.
const LOOK_AT_LIST_EVERY: Duration = Duration::from_secs(10);
/// Time over which the hosts of a first deployment start spread their first calls. A typical store
/// takes 300 writes a second to a partition of a table: when 295 hosts wrote their rows within 0.3
/// s, writes took over 0.8 s and 118 of them were repeated.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_200);
/// Longest random pause before a host that is no seed and finds no shared key creates one. Seeds
/// come first.
const KEY_PAUSE_MOST: Duration = Duration::from_millis(200);
/// Most hosts of the own region that get heartbeats.
const PARTNERS_NEAR: usize = 8;
/// Most hosts of each other region that get heartbeats.
const PARTNERS_FAR: usize = 2;
/// Time limit for the last heartbeat and the removal of the own row.
const FAREWELL_LIMIT: Duration = Duration::from_secs(1);

impl Control {
    /// Registers this host and exchanges heartbeats and updates with others, until the task is
    /// aborted.
    pub(super) async fn meet_hosts(self: Rc<Self>, peers: TcpListener) {
        let key = self.peer_key().await;
        let local = Local {
            host: self.me.clone(),
            incarnation: self.incarnation,
            key,
            names: Rc::default(),
            traffic: Rc::default(),
        };
        match tokio::net::TcpListener::from_std(peers) {
            Ok(peers) => {
                let handler = Rc::new(Hearer(Rc::clone(&self)));
                spawn_local(PeerServer::new(local.clone(), handler).run(peers));
            }
            Err(error) => tracing::error!(event = "peers_failed", %error),
        }
        spawn_local(Rc::clone(&self).keep_list());
        self.local.replace(Some(local));
        self.beat().await;
    }

    /// Tells other hosts that this host is leaving, and removes its row from the store.
    pub(super) async fn leave(&self) {
        self.pool.borrow_mut().close();
        let beat = self.heartbeat(true);
        let clients: Vec<Rc<PeerClient>> = self.clients.borrow().values().cloned().collect();
        let told = join_all(clients.iter().map(|client| client.heartbeat(&beat)));
        let removed = self.records.remove(HOSTS_TABLE, &self.me.name);
        let (_, removed) = futures::join!(told, timeout(FAREWELL_LIMIT, removed));
        if !matches!(removed, Ok(Ok(()))) {
            tracing::warn!(event = "own_row_not_removed");
        }
    }

    /// The key shared by all hosts. The first host that finds none creates it.
    async fn peer_key(&self) -> Rc<[u8]> {
        self.until_list_asked().await;
        if !self.is_seed() && self.key.borrow().is_none() {
            sleep(rand::rng().random_range(Duration::ZERO..KEY_PAUSE_MOST)).await;
            self.ask(Feed::Hosts).await;
        }
        let mut pauses = pauses(ROW_PAUSE_MOST);
        loop {
            if let Some(key) = &*self.key.borrow() {
                return Rc::clone(key);
            }
            self.make_key().await;
            // The list contains the key that was created first, even if the answer to the own
            // attempt was lost.
            self.ask(Feed::Hosts).await;
            if self.key.borrow().is_none() {
                sleep(pauses.next().unwrap_or(ROW_PAUSE_MOST)).await;
            }
        }
    }

    /// Waits until the first request for the list of hosts has completed.
    pub(super) async fn until_list_asked(&self) {
        let mut list_asked = self.list_asked.subscribe();
        // The sender lives as long as this host.
        let _ = list_asked.wait_for(|asked| *asked).await;
    }

    async fn make_key(&self) {
        let mut value = vec![0; PEER_KEY_BYTES];
        rand::rng().fill(value.as_mut_slice());
        let row = OwnRow {
            key: PEER_KEY_ROW.to_owned(),
            value,
        };
        if let Err(error) = self.records.create(HOSTS_TABLE, row).await {
            tracing::warn!(event = "peer_key_not_made", %error);
        }
    }

    /// Takes the shared key from the list of hosts, if the changes contain it.
    pub(super) fn take_peer_key(&self, changes: &Changes) {
        let key = changes.records.iter().find_map(|record| match record {
            Record::PeerKey(key) => Some(key),
            _ => None,
        });
        if let Some(key) = key {
            self.key.replace(Some(key.as_slice().into()));
        }
    }

    /// Whether this host is one of the seeds in the settings.
    fn is_seed(&self) -> bool {
        let settings = &self.common.settings;
        settings.seeds.contains(&settings.peer_address)
    }

    /// Waits for a random time if all hosts of the deployment start at once for the first time.
    pub(super) async fn wait_for_turn(&self) {
        if self.common.settings.first_start && !self.is_seed() {
            sleep(rand::rng().random_range(Duration::ZERO..FIRST_START_SPREAD)).await;
        }
    }

    /// Keeps the store's list of hosts up to date: restores this host's row if another host has
    /// removed it, and removes rows of lost hosts.
    async fn keep_list(self: Rc<Self>) {
        loop {
            let is_listed = self.beliefs.borrow().roll.list().lists(&self.me);
            if !is_listed {
                self.be_listed().await;
            }
            self.remove_lost().await;
            sleep(LOOK_AT_LIST_EVERY).await;
        }
    }

    /// Writes this host's row, with retries until the store has accepted it.
    async fn be_listed(&self) {
        let value = serde_json::to_vec(&self.me).expect("entries are valid JSON");
        let mut pauses = pauses(ROW_PAUSE_MOST);
        while *self.common.stage.borrow() == Stage::Serving {
            let row = OwnRow {
                key: self.me.name.clone(),
                value: value.clone(),
            };
            match self.records.put(HOSTS_TABLE, row).await {
                Ok(()) => return,
                Err(error) => tracing::warn!(event = "row_not_written", %error),
            }
            sleep(pauses.next().unwrap_or(ROW_PAUSE_MOST)).await;
        }
    }

    async fn remove_lost(&self) {
        let partners = self.partners();
        let now = clock::now();
        let lost: Vec<HostName> = {
            let beliefs = self.beliefs.borrow();
            let lost = beliefs.roll.lost(now, &partners);
            lost.into_iter().cloned().collect()
        };
        for name in lost {
            tracing::info!(event = "host_lost", lost = name);
            if let Err(error) = self.records.remove(HOSTS_TABLE, &name).await {
                tracing::warn!(event = "row_not_removed", lost = name, %error);
            }
        }
    }

    /// Sends heartbeats until the task is aborted.
    async fn beat(self: Rc<Self>) {
        let mut last = clock::now();
        loop {
            let now = clock::now();
            let gap = now.saturating_duration_since(last);
            if gap > PAUSED {
                tracing::warn!(event = "paused", ms = gap.as_millis() as u64);
                self.beliefs.borrow_mut().roll.resume(now);
            }
            last = now;
            let partners = self.partners();
            self.keep_clients(&partners);
            let beat = Rc::new(self.heartbeat(false));
            self.compare_works_in_turn(&partners);
            for host in &partners {
                // At most one heartbeat to a host is in flight.
                if let Some(client) = self.idle_client(host) {
                    let told = Rc::clone(&self).tell(host.name.clone(), client, beat.clone());
                    spawn_local(told);
                }
            }
            sleep(BEAT_EVERY).await;
        }
    }

    async fn tell(self: Rc<Self>, name: HostName, client: Rc<PeerClient>, beat: Rc<Beat>) {
        match client.heartbeat(&beat).await {
            Ok(_) => {
                let now = clock::now();
                self.beliefs.borrow_mut().roll.answered(now, &name);
            }
            Err(error) => tracing::debug!(event = "heartbeat_failed", host = name, %error),
        }
    }

    fn heartbeat(&self, leaving: bool) -> Beat {
        self.beats.set(self.beats.get() + 1);
        let heartbeat = Heartbeat {
            host: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.beats.get(),
            leaving,
            // Each host decides on its own which hosts it names to callers.
            doubts: BTreeSet::new(),
            vouches: BTreeSet::new(),
            lenders: BTreeSet::new(),
        };
        Beat {
            heartbeat,
            revision: self.beliefs.borrow().version(),
            loads: Vec::new(),
        }
    }

    /// Hosts that get heartbeats: all of a small deployment, otherwise some of each region, so that
    /// the cost for each host does not grow with the deployment.
    pub(super) fn partners(&self) -> Vec<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let mut by_region: BTreeMap<&str, Vec<&HostEntry>> = BTreeMap::new();
        for host in beliefs.roll.known() {
            let region = self.common.settings.regions.get(&host.entry.zone);
            let region = region.map_or("", String::as_str);
            by_region.entry(region).or_default().push(&host.entry);
        }
        let mut partners = Vec::new();
        for (region, hosts) in by_region {
            let near = region == self.common.settings.region;
            let most = if near { PARTNERS_NEAR } else { PARTNERS_FAR };
            let names = hosts.iter().map(|host| host.name.as_str());
            let ranked = rendezvous::rank(&self.me.name, names);
            let chosen = ranked.into_iter().take(most);
            partners.extend(
                chosen
                    .filter_map(|name| hosts.iter().find(|host| host.name == name))
                    .map(|host| (*host).clone()),
            );
        }
        partners
    }
}

/// Handles messages from other hosts.
struct Hearer(Rc<Control>);

impl PeerHandler for Hearer {
    fn heartbeat(&self, beat: Beat) -> Revision {
        let Heartbeat {
            host,
            incarnation,
            leaving,
            ..
        } = &beat.heartbeat;
        let now = clock::now();
        let mut beliefs = self.0.beliefs.borrow_mut();
        let changed = beliefs.roll.hear(now, host, *incarnation, *leaving);
        let version = beliefs.version();
        drop(beliefs);
        if changed {
            self.0.publish();
        }
        version
    }

    fn exchange(&self, _: &HostEntry, _: Exchange) -> ExchangeReply {
        ExchangeReply::default()
    }

    fn push(&self, _: &HostName, _: Entry) -> Position {
        Position::default()
    }

    fn news(&self, from: &HostEntry, incarnation: Incarnation, news: News) {
        let now = clock::now();
        let mut beliefs = self.0.beliefs.borrow_mut();
        beliefs.roll.hear(now, from, incarnation, false);
        drop(beliefs);
        self.0.told(from, news);
    }

    fn asked(&self, from: &HostEntry, incarnation: Incarnation, ask: HostMessage) -> HostReply {
        let mut beliefs = self.0.beliefs.borrow_mut();
        beliefs.roll.hear(clock::now(), from, incarnation, false);
        drop(beliefs);
        match ask {
            HostMessage::Tokens(ask) => HostReply::Tokens(self.0.lend(&from.name, &ask)),
            HostMessage::Spare(wanted) => HostReply::Tokens(self.0.spare(&wanted)),
            HostMessage::Works(news) => {
                self.0.hear_works(&from.name, news);
                HostReply::Taken
            }
            HostMessage::MissedWorks(known) => {
                HostReply::Works(self.0.common.suspects.missed(known))
            }
            HostMessage::Limit(ask) => HostReply::Limit(self.0.answer_limit(&from.name, &ask)),
        }
    }

    fn state(&self, query: StateQuery) -> Option<FeedState> {
        self.0.state(query)
    }

    fn borrow(&self, _: LimitKey, _: LoanRequest) -> Option<LoanGrant> {
        None
    }
}
