//! Sends updates from the store to groups of hosts.

use std::collections::BTreeSet;
use std::rc::Rc;

use peer::{EncodedUpdate, PeerClient};
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{Feed, FeedUpdate, HostTable, Record, host_groups};

use super::Control;
use super::hosts::HEARTBEAT_TIMEOUT;

/// Largest size of the records in an update, in bytes; 8 KiB take 0.2 s. Each host reads a larger
/// document itself: the links of some hosts carry 10 Mbit/s, on which sending 400 KB to a group of
/// 32 hosts would take seconds.
const MAX_UPDATE_BYTES: usize = 8 << 10;

impl Control {
    /// Sends an update from the store to every host of the own group, and to one host of each other
    /// group, which passes it on.
    pub(super) fn send_to_all_groups(&self, update: &FeedUpdate) {
        let mut receivers = self.group();
        receivers.extend(self.first_hosts(update.feed));
        self.send_update(update, &receivers);
    }

    /// Passes an update from a host of another group on to the own group.
    pub(super) fn forward_to_group(&self, from: &HostName, feed: Feed, records: Vec<Record>) {
        let group = self.group();
        if group.iter().any(|host| host.name == *from) {
            return;
        }
        if let Some(version) = self.with_follower(feed, |follower| follower.version) {
            self.send_update(&self.build_update(feed, version, records), &group);
        }
    }

    /// Sends the own group an update that this host polled because records were missing. If there
    /// are several groups, only the first host of a group does so, since other groups rely on it to
    /// pass updates on.
    pub(super) fn send_to_own_group(&self, update: &FeedUpdate) {
        let group = self.group();
        let hosts = group.iter().chain([&self.me]);
        let is_first = first_ranked(&update.feed.to_string(), hosts) == Some(&self.me);
        if is_first && !self.is_one_group() {
            self.send_update(update, &group);
        }
    }

    fn send_update(&self, update: &FeedUpdate, receivers: &[HostEntry]) {
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

    /// The other hosts of this host's group.
    pub(super) fn group(&self) -> Vec<HostEntry> {
        let known_state = self.known_state.borrow();
        let groups = self.groups(&known_state.roll);
        let own = groups.into_iter().find(|group| group.contains(&&self.me));
        let others = own.into_iter().flatten();
        let others = others.filter(|host| host.name != self.me.name);
        others.cloned().collect()
    }

    /// The host of each other group that ranks first for a feed.
    pub(super) fn first_hosts(&self, feed: Feed) -> Vec<HostEntry> {
        let known_state = self.known_state.borrow();
        let groups = self.groups(&known_state.roll).into_iter();
        let others = groups.filter(|group| !group.contains(&&self.me));
        let key = feed.to_string();
        let first_hosts = others.filter_map(|group| first_ranked(&key, group.into_iter()));
        first_hosts.cloned().collect()
    }

    /// Whether the deployment is a single group.
    pub(super) fn is_one_group(&self) -> bool {
        self.groups(&self.known_state.borrow().roll).len() == 1
    }

    fn groups<'a>(&'a self, roll: &'a HostTable) -> Vec<Vec<&'a HostEntry>> {
        let others = roll.known().map(|host| &host.entry);
        host_groups(others.chain([&self.me]), &self.common.settings.regions)
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
    pub(super) fn prune_clients(&self, heartbeat_targets: &[HostEntry]) {
        let feeds = [Feed::Routes, Feed::Upstreams, Feed::Hosts];
        let first_hosts = feeds.into_iter().flat_map(|feed| self.first_hosts(feed));
        let receivers: Vec<HostEntry> = self.group().into_iter().chain(first_hosts).collect();
        let leases = self.common.allowances.leases();
        let owners: BTreeSet<&HostName> = leases.owners().collect();
        let known_state = self.known_state.borrow();
        let lenders = known_state.roll.list().rows();
        let is_near = |host: &HostEntry| host.zone == self.me.zone;
        let now = clock::now();
        let mut limit_asks = self.limit_asks.borrow_mut();
        limit_asks.forget_idle(now);
        let is_asked = |host: &HostEntry| limit_asks.was_asked_recently(now, &host.name);
        let lenders =
            lenders.filter(|host| owners.contains(&host.name) || is_near(host) || is_asked(host));
        let receivers: Vec<&HostEntry> = receivers.iter().chain(lenders).collect();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|name, client| {
            let mut hosts = heartbeat_targets.iter().chain(receivers.iter().copied());
            let host = hosts.find(|host| host.name == *name);
            host.is_some_and(|host| host.peer_address == client.address())
        });
    }
}

/// The host that ranks first for a key.
pub(super) fn first_ranked<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a HostEntry> + Clone,
) -> Option<&'a HostEntry> {
    let names = hosts.clone().map(|host| host.name.as_str());
    let first = rendezvous::owner(key, names)?;
    hosts.into_iter().find(|host| host.name == first)
}
