//! Meets other hosts: through rows in the store, and by heartbeats.

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
use steering::route::{Changes, Feed, FeedUpdate, HostMessage, HostReply, Record};
use store::{HOSTS_TABLE, OwnRow, PEER_KEY_ROW};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::outage::{ROW_PAUSE_MOST, pauses};
use crate::host::Stage;

const PEER_KEY_BYTES: usize = 32;

/// Time between two heartbeats to the same host; three of them are missed before it
/// is named to no caller.
const BEAT_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a heartbeat: a round trip across regions takes some
/// 80 ms, a new session four of them.
pub(super) const BEAT_LIMIT: Duration = Duration::from_millis(900);
/// A pause of this host's own process: longer than three heartbeats.
const PAUSED: Duration = Duration::from_secs(3);
/// Time between two looks whether the store's list is true.
const LOOK_AT_LIST_EVERY: Duration = Duration::from_secs(10);
/// Time over which hosts that start with the whole deployment spread their first calls. A
/// store of the users' takes 300 writes a second to a table's part: rows of 295 hosts in
/// 0.3 s waited for over 0.8 s, and 118 of them were written again.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_200);
/// Longest pause of a host that finds no shared key, and that the settings do not name to
/// others, before it makes one: those that they name come first.
const KEY_PAUSE_MOST: Duration = Duration::from_millis(200);
/// Hosts of the own region that get heartbeats, where there are more.
const PARTNERS_NEAR: usize = 8;
/// Hosts of each other region that get heartbeats, where there are more.
const PARTNERS_FAR: usize = 2;
/// Time for the last heartbeat and the removal of the own row.
const FAREWELL_LIMIT: Duration = Duration::from_secs(1);

impl Control {
    /// Makes this host known, and hears others, for ever.
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

    /// Tells others that this host leaves, and takes its row away.
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

    /// The key that all hosts share; whoever comes first makes it.
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
            // Whoever was first, the list tells; also where the answer to this was lost.
            self.ask(Feed::Hosts).await;
            if self.key.borrow().is_none() {
                sleep(pauses.next().unwrap_or(ROW_PAUSE_MOST)).await;
            }
        }
    }

    /// Waits until the store has been asked for the list of hosts.
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

    /// Takes the shared key, where the list of hosts brings it.
    pub(super) fn take_peer_key(&self, changes: &Changes) {
        let key = changes.records.iter().find_map(|record| match record {
            Record::PeerKey(key) => Some(key),
            _ => None,
        });
        if let Some(key) = key {
            self.key.replace(Some(key.as_slice().into()));
        }
    }

    /// Whether the settings name this host to others.
    fn is_seed(&self) -> bool {
        let settings = &self.common.settings;
        settings.seeds.contains(&settings.peer_address)
    }

    /// Waits for this host's turn where all hosts start at once for the first time.
    pub(super) async fn wait_for_turn(&self) {
        if self.common.settings.first_start && !self.is_seed() {
            sleep(rand::rng().random_range(Duration::ZERO..FIRST_START_SPREAD)).await;
        }
    }

    /// Keeps the store's list true: this host's row is put back where another host took
    /// it for lost, and rows of lost hosts are removed.
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

    /// Writes this host's row, again until the store has taken it.
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

    /// Sends heartbeats for ever.
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
                // One at a time: a host that does not answer is not asked twice at once.
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
            // Each host judges for itself whom it names to callers.
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

    /// Hosts that get heartbeats: all of a small deployment, else some of each region,
    /// so that the cost of a host does not grow with the deployment.
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

/// Takes what other hosts send.
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
        let changed = beliefs
            .roll
            .record_heartbeat(now, host, *incarnation, *leaving);
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

    fn news(&self, from: &HostEntry, incarnation: Incarnation, news: FeedUpdate) {
        let now = clock::now();
        let mut beliefs = self.0.beliefs.borrow_mut();
        beliefs.roll.record_heartbeat(now, from, incarnation, false);
        drop(beliefs);
        self.0.told(from, news);
    }

    fn asked(&self, from: &HostEntry, incarnation: Incarnation, ask: HostMessage) -> HostReply {
        let mut beliefs = self.0.beliefs.borrow_mut();
        beliefs
            .roll
            .record_heartbeat(clock::now(), from, incarnation, false);
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
