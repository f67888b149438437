//! Host membership: rows in the store, and heartbeats.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use peer::{
    Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, PeerClient, PeerHandler,
    PeerServer, StateError, StateQuery,
};
use rand::Rng;
use steering::history::{Entry, Position};
use steering::ids::{HostName, Incarnation, Revision};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::membership::{Heartbeat, HostEntry};
use steering::route::{Changes, Feed, FeedUpdate, HostMessage, HostReply, Record};
use store::{HOSTS_TABLE, OwnRow, PEER_KEY_ROW, host_row_key};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::list_progress::ListProgress;
use super::outage::{MAX_ROW_BACKOFF, backoff, row_backoff};
use crate::host::Stage;

const PEER_KEY_BYTES: usize = 32;

/// Interval between heartbeats to a host. A host that misses three of them is no longer advertised
/// to callers.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer to a heartbeat. A round trip between regions takes some 80 ms, and a
/// new session four of them.
pub(super) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay between two heartbeats from which this process counts as having been paused: three
/// heartbeats.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Interval between comparisons of the store's list with the hosts that are alive.
const LIST_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time over which the hosts of a first deployment start spread their first calls. A typical store
/// takes 300 writes a second to a partition of a table: when 295 hosts wrote their rows in 0.3 s,
/// writes took over 0.8 s and 118 of them were repeated.
const FIRST_START_SPREAD: Duration = Duration::from_millis(1_200);
/// Time within which a row in the list reaches the other hosts of a first start.
const LIST_TIME: Duration = Duration::from_millis(1_300);
/// Longest random pause before a host that is no seed and finds no shared key creates one. Seeds
/// come first.
const MAX_KEY_DELAY: Duration = Duration::from_millis(200);
/// Time limit for the last heartbeat and the removal of this host's row.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);

impl Control {
    /// Registers this host and exchanges heartbeats and updates with others, until the task is
    /// aborted.
    pub(super) async fn run_membership(self: Rc<Self>, peers: TcpListener) {
        let key = self.peer_key().await;
        let local = LocalHost {
            host: self.this_host.clone(),
            incarnation: self.incarnation,
            key,
            names: Rc::default(),
            traffic: Rc::default(),
        };
        match tokio::net::TcpListener::from_std(peers) {
            Ok(peers) => {
                let handler = Rc::new(MessageHandler(Rc::clone(&self)));
                spawn_local(PeerServer::new(local.clone(), handler).run(peers));
            }
            Err(error) => tracing::error!(event = "peers_failed", %error),
        }
        spawn_local(Rc::clone(&self).maintain_host_list());
        self.local.replace(Some(local));
        self.send_heartbeats().await;
    }

    /// Tells other hosts that this host is leaving, and removes its row from the store.
    pub(super) async fn leave(&self) {
        self.pool.borrow_mut().close();
        let beat = self.heartbeat(true);
        let clients: Vec<Rc<PeerClient>> = self.clients.borrow().values().cloned().collect();
        let heartbeats = join_all(clients.iter().map(|client| client.heartbeat(&beat)));
        let own_key = host_row_key(&self.this_host.zone, &self.this_host.name);
        let removed = self.records.remove(HOSTS_TABLE, &own_key);
        let (_, removed) = futures::join!(heartbeats, timeout(LEAVE_TIMEOUT, removed));
        if !matches!(removed, Ok(Ok(()))) {
            tracing::warn!(event = "own_row_not_removed");
        }
    }

    /// The key shared by all hosts. The first host that finds none creates it.
    async fn peer_key(&self) -> Rc<[u8]> {
        self.wait_for_list(ListProgress::OwnZone).await;
        if !self.is_seed() && self.key.borrow().is_none() {
            sleep(rand::rng().random_range(Duration::ZERO..MAX_KEY_DELAY)).await;
            self.poll_store(Feed::Hosts).await;
        }
        let mut backoff = backoff(MAX_ROW_BACKOFF);
        loop {
            if let Some(key) = &*self.key.borrow() {
                return Rc::clone(key);
            }
            self.create_key().await;
            // The list contains the key that was created first, even if the answer to this host's
            // attempt was lost.
            self.poll_store(Feed::Hosts).await;
            if self.key.borrow().is_none() {
                sleep(backoff.next().unwrap_or(MAX_ROW_BACKOFF)).await;
            }
        }
    }

    async fn create_key(&self) {
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
            self.common.relay_key.store(Some(Arc::new(key.to_vec())));
            self.key.replace(Some(key.as_slice().into()));
        }
    }

    /// Whether this host is one of the seeds in the settings.
    fn is_seed(&self) -> bool {
        let settings = &self.common.settings;
        settings.seeds.contains(&settings.peer_address)
    }

    /// Waits for a random time if all hosts of the deployment start at once for the first time.
    pub(super) async fn delay_first_start(&self) {
        if self.common.settings.first_start && !self.is_seed() {
            sleep(rand::rng().random_range(Duration::ZERO..FIRST_START_SPREAD)).await;
        }
    }

    /// Waits, if all hosts of the deployment start at once for the first time, until most of them
    /// are in the list: those that know few others would all read the store.
    pub(super) async fn wait_for_first_rows(&self) {
        if self.common.settings.first_start {
            let listed_after = FIRST_START_SPREAD + LIST_TIME;
            sleep(listed_after.saturating_sub(clock::elapsed(self.common.started_at))).await;
        }
    }

    /// Keeps the store's list of hosts up to date: restores this host's row if another host has
    /// removed it, and removes rows of lost hosts.
    async fn maintain_host_list(self: Rc<Self>) {
        loop {
            self.write_own_row().await;
            self.remove_lost_hosts().await;
            sleep(LIST_CHECK_INTERVAL).await;
        }
    }

    fn is_listed(&self) -> bool {
        let known_state = self.known_state.borrow();
        known_state.host_table.list().lists(&self.this_host)
    }

    /// Writes this host's row if the list lacks it, with retries until the store has accepted it
    /// or the list shows it.
    async fn write_own_row(&self) {
        let value = serde_json::to_vec(&self.this_host).expect("entries are valid JSON");
        let mut backoff = row_backoff();
        while !self.is_listed() && *self.common.stage.borrow() == Stage::Serving {
            let row = OwnRow {
                key: host_row_key(&self.this_host.zone, &self.this_host.name),
                value: value.clone(),
            };
            match self.records.put(HOSTS_TABLE, row).await {
                Ok(()) => return,
                Err(error) => tracing::warn!(event = "row_not_written", %error),
            }
            sleep(backoff.next().unwrap_or(MAX_ROW_BACKOFF)).await;
        }
    }

    async fn remove_lost_hosts(&self) {
        let neighbors = self.neighbors();
        let now = clock::now();
        let lost: Vec<HostEntry> = {
            let known_state = self.known_state.borrow();
            let lost = known_state
                .host_table
                .lost(now, neighbors.heartbeat_targets.all());
            lost.into_iter().cloned().collect()
        };
        for HostEntry { name, zone, .. } in lost {
            tracing::info!(event = "host_lost", lost = name);
            let key = host_row_key(&zone, &name);
            if let Err(error) = self.records.remove(HOSTS_TABLE, &key).await {
                tracing::warn!(event = "row_not_removed", lost = name, %error);
            }
        }
    }

    /// Sends heartbeats until the task is aborted.
    async fn send_heartbeats(self: Rc<Self>) {
        let mut last = clock::now();
        loop {
            let now = clock::now();
            let gap = now.saturating_duration_since(last);
            if gap > PAUSE_THRESHOLD {
                tracing::warn!(event = "paused", ms = gap.as_millis() as u64);
                self.known_state.borrow_mut().host_table.resume(now);
            }
            last = now;
            let neighbors = self.neighbors();
            self.prune_clients();
            let beat = Rc::new(self.heartbeat(false));
            let targets = &neighbors.heartbeat_targets;
            // The question about refused work is a sign of life as well.
            let asked = self.compare_work_in_turn(targets);
            let number = self.heartbeats_sent.get();
            for host in targets.of_heartbeat(number) {
                if asked.as_ref() == Some(&host.name) {
                    continue;
                }
                // At most one heartbeat to a host is in flight.
                if let Some(client) = self.idle_client(host) {
                    let sending =
                        Rc::clone(&self).send_heartbeat(host.name.clone(), client, beat.clone());
                    spawn_local(sending);
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(
        self: Rc<Self>,
        name: HostName,
        client: Rc<PeerClient>,
        beat: Rc<HeartbeatMessage>,
    ) {
        match client.heartbeat(&beat).await {
            Ok(_) => {
                let now = clock::now();
                self.known_state
                    .borrow_mut()
                    .host_table
                    .answered(now, &name);
            }
            Err(error) => tracing::debug!(event = "heartbeat_failed", host = name, %error),
        }
    }

    fn heartbeat(&self, leaving: bool) -> HeartbeatMessage {
        self.heartbeats_sent.set(self.heartbeats_sent.get() + 1);
        let heartbeat = Heartbeat {
            host: self.this_host.clone(),
            incarnation: self.incarnation,
            sequence: self.heartbeats_sent.get(),
            leaving,
            // Each host decides on its own which hosts it advertises to callers.
            suspected_hosts: BTreeSet::new(),
            confirmed_hosts: BTreeSet::new(),
            lenders: BTreeSet::new(),
        };
        HeartbeatMessage {
            heartbeat,
            revision: self.known_state.borrow().version(),
            loads: Vec::new(),
            condition: Some(**self.common.condition.load()),
        }
    }
}

/// Handles messages from other hosts.
struct MessageHandler(Rc<Control>);

impl PeerHandler for MessageHandler {
    fn heartbeat(&self, beat: HeartbeatMessage) -> Revision {
        let Heartbeat {
            host,
            incarnation,
            leaving,
            ..
        } = &beat.heartbeat;
        let now = clock::now();
        let mut known_state = self.0.known_state.borrow_mut();
        let mut changed =
            known_state
                .host_table
                .record_heartbeat(now, host, *incarnation, *leaving);
        if let Some(condition) = beat.condition {
            let host_table = &mut known_state.host_table;
            changed |= host_table.record_condition(now, &host.name, condition);
        }
        let version = known_state.version();
        drop(known_state);
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

    fn feed_update(&self, from: &HostEntry, incarnation: Incarnation, update: FeedUpdate) {
        let now = clock::now();
        let mut known_state = self.0.known_state.borrow_mut();
        known_state
            .host_table
            .record_heartbeat(now, from, incarnation, false);
        // Messages identify a host without its capacity.
        let sender = known_state.host_table.get(&from.name);
        let sender = sender.map_or_else(|| from.clone(), |known| known.entry.clone());
        drop(known_state);
        self.0.receive_update(&sender, update);
    }

    fn host_message(
        &self,
        from: &HostEntry,
        incarnation: Incarnation,
        ask: HostMessage,
    ) -> HostReply {
        let mut known_state = self.0.known_state.borrow_mut();
        known_state
            .host_table
            .record_heartbeat(clock::now(), from, incarnation, false);
        drop(known_state);
        match ask {
            HostMessage::Tokens(ask) => HostReply::Tokens(self.0.lend(&from.name, &ask)),
            HostMessage::Spare(demand) => HostReply::Tokens(self.0.lend_in_zone(&demand)),
            HostMessage::Works(updates) => {
                self.0.receive_work_updates(&from.name, updates);
                HostReply::Taken
            }
            HostMessage::MissedWorks(known) => {
                HostReply::Works(self.0.common.suspects.missed(known))
            }
            HostMessage::Rollout {
                service,
                order_revision,
                progress,
            } => {
                let recorded =
                    self.0
                        .record_progress(&from.name, &service, order_revision, progress);
                recorded.map_or(HostReply::Taken, HostReply::StoreTime)
            }
            HostMessage::Limit(ask) => HostReply::Limit(self.0.answer_limit(&from.name, &ask)),
        }
    }

    fn state(&self, query: StateQuery) -> Result<FeedState, StateError> {
        self.0.feed_state(query)
    }

    fn borrow(&self, _: LimitKey, _: LoanRequest) -> Option<LoanGrant> {
        None
    }
}
