//! Sends updates from the store to groups of hosts.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use peer::{EncodedUpdate, PeerClient};
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::route::{Feed, FeedUpdate, Record};

use super::Control;
use super::hosts::HEARTBEAT_TIMEOUT;
use super::neighbors::Neighbors;

/// Largest size of the records in an update, in bytes; 8 KiB take 0.2 s. Each host reads a larger
/// document itself: the links of some hosts carry 10 Mbit/s, on which sending 400 KB to a group of
/// 32 hosts would take seconds.
const MAX_UPDATE_BYTES: usize = 8 << 10;

impl Control {
    /// Sends an update from the store to every host of this host's group, and to one host of each
    /// other group, which passes it on.
    pub(super) fn send_to_all_groups(&self, update: &FeedUpdate) {
        let neighbors = self.neighbors();
        let first_hosts = neighbors.first_hosts(update.feed);
        self.send_update(update, neighbors.group.iter().chain(first_hosts));
    }

    /// Passes an update from a host of another group on to this host's group.
    pub(super) fn forward_to_group(&self, from: &HostName, feed: Feed, records: Vec<Record>) {
        let neighbors = self.neighbors();
        if neighbors.is_in_group(from) {
            return;
        }
        if let Some(version) = self.with_follower(feed, |follower| follower.version) {
            let update = self.build_update(feed, version, records);
            self.send_update(&update, &neighbors.group);
        }
    }

    /// Sends this host's group an update that this host polled because records were missing. If
    /// there are several groups, only the first host of a group does so, since other groups rely on
    /// it to pass updates on.
    pub(super) fn send_to_own_group(&self, update: &FeedUpdate) {
        let neighbors = self.neighbors();
        let is_first = neighbors.is_first(update.feed, &self.this_host);
        if is_first && !neighbors.is_one_group {
            self.send_update(update, &neighbors.group);
        }
    }

    fn send_update<'a>(
        &self,
        update: &FeedUpdate,
        receivers: impl IntoIterator<Item = &'a HostEntry>,
    ) {
        let feed = update.feed;
        let update = Rc::new(EncodedUpdate::new(update, MAX_UPDATE_BYTES, clock::now()));
        for host in receivers {
            if let Some(client) = self.client(host) {
                let receiver = (host.name.clone(), feed);
                self.update_sender
                    .enqueue(receiver, client, Rc::clone(&update));
            }
        }
    }

    /// The hosts with which this host exchanges messages.
    pub(super) fn neighbors(&self) -> Rc<Neighbors> {
        let known_state = self.known_state.borrow();
        let host_table = &known_state.host_table;
        let mut neighbors = self.neighbors.borrow_mut();
        let current = neighbors
            .as_ref()
            .filter(|neighbors| neighbors.version == host_table.version());
        if let Some(current) = current {
            return Rc::clone(current);
        }
        let regions = &self.common.settings.regions;
        let changed = Rc::new(Neighbors::new(&self.this_host, host_table, regions));
        Rc::clone(neighbors.insert(changed))
    }

    /// A client of a host; none while a message to the host is in flight.
    pub(super) fn idle_client(&self, host: &HostEntry) -> Option<Rc<PeerClient>> {
        // The map of clients holds one of the two references.
        self.client(host)
            .filter(|client| Rc::strong_count(client) == 2)
    }

    /// A client of a host; none before the shared key is known.
    pub(super) fn client(&self, host: &HostEntry) -> Option<Rc<PeerClient>> {
        let local = self.local.borrow();
        let local = local.as_ref()?;
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(host.name.clone()).or_insert_with(|| {
            Rc::new(PeerClient::new(
                host.peer_address,
                local.clone(),
                HEARTBEAT_TIMEOUT,
            ))
        });
        Some(Rc::clone(client))
    }

    /// Drops clients of hosts that this host sends nothing to, or whose address has changed.
    pub(super) fn prune_clients(&self) {
        let neighbors = self.neighbors();
        let receivers: Vec<&HostEntry> = Feed::ALL
            .iter()
            .flat_map(|feed| neighbors.first_hosts(*feed))
            .chain(&neighbors.group)
            .chain(neighbors.heartbeat_targets.all())
            .collect();
        let leases = self.common.allowances.leases();
        let owners: BTreeSet<&HostName> = leases.owners().collect();
        let known_state = self.known_state.borrow();
        let lenders = known_state.host_table.list().rows();
        let is_in_zone = |host: &HostEntry| host.zone == self.this_host.zone;
        let now = clock::now();
        let mut holder_selector = self.holder_selector.borrow_mut();
        holder_selector.forget_idle(now);
        let is_asked = |host: &HostEntry| holder_selector.was_asked_recently(now, &host.name);
        let lenders = lenders
            .filter(|host| owners.contains(&host.name) || is_in_zone(host) || is_asked(host));
        let addresses: HashMap<&HostName, SocketAddr> = receivers
            .into_iter()
            .chain(lenders)
            .map(|host| (&host.name, host.peer_address))
            .collect();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|name, client| addresses.get(name) == Some(&client.address()));
    }
}
