//! Passes on to a group of hosts what one of them has learned from the store.

use std::collections::BTreeSet;
use std::rc::Rc;

use peer::{EncodedNews, PeerClient};
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::route::{Feed, FeedUpdate, HostTable, Record, host_groups};

use super::Control;
use super::hosts::BEAT_LIMIT;

/// Largest records that are told, in bytes. A large document is read by each host for
/// itself: the links of some hosts carry 10 Mbit/s, on which a group of 32 would wait
/// seconds for a document of 400 KB. So much takes 0.2 s.
const NEWS_MOST_BYTES: usize = 8 << 10;

impl Control {
    /// Tells every host of the group what the store has told this one, and one host of each
    /// other group, which passes it on.
    pub(super) fn tell_all(&self, news: &FeedUpdate) {
        let mut audience = self.group();
        audience.extend(self.firsts(news.feed));
        self.send_news(news, &audience);
    }

    /// Passes on to the group what a host of another group has told.
    pub(super) fn pass_on(&self, from: &HostName, feed: Feed, records: Vec<Record>) {
        let group = self.group();
        if group.iter().any(|host| host.name == *from) {
            return;
        }
        if let Some(version) = self.follower(feed, |own| own.version) {
            self.send_news(&self.news(feed, version, records), &group);
        }
    }

    /// Tells the own group what this host has asked the store for, where something was missing.
    /// A group of several listens to its first host, which others expect to pass all on.
    pub(super) fn tell_own_group(&self, news: &FeedUpdate) {
        let group = self.group();
        let hosts = group.iter().chain([&self.me]);
        let is_first = first(&news.feed.to_string(), hosts) == Some(&self.me);
        if is_first && !self.is_one_group() {
            self.send_news(news, &group);
        }
    }

    fn send_news(&self, news: &FeedUpdate, audience: &[HostEntry]) {
        let feed = news.feed;
        let news = Rc::new(EncodedNews::new(news, NEWS_MOST_BYTES, clock::now()));
        for host in audience {
            if let Some(client) = self.client(host) {
                let line = (host.name.clone(), feed);
                self.telling.tell(line, client, Rc::clone(&news));
            }
        }
    }

    /// The other hosts of this host's group.
    pub(super) fn group(&self) -> Vec<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let groups = self.groups(&beliefs.roll);
        let own = groups.into_iter().find(|group| group.contains(&&self.me));
        let others = own.into_iter().flatten();
        let others = others.filter(|host| host.name != self.me.name);
        others.cloned().collect()
    }

    /// The host of each other group that is the first to ask for a feed.
    pub(super) fn firsts(&self, feed: Feed) -> Vec<HostEntry> {
        let beliefs = self.beliefs.borrow();
        let groups = self.groups(&beliefs.roll).into_iter();
        let others = groups.filter(|group| !group.contains(&&self.me));
        let key = feed.to_string();
        let firsts = others.filter_map(|group| first(&key, group.into_iter()));
        firsts.cloned().collect()
    }

    /// Whether all hosts are one group.
    pub(super) fn is_one_group(&self) -> bool {
        self.groups(&self.beliefs.borrow().roll).len() == 1
    }

    fn groups<'a>(&'a self, roll: &'a HostTable) -> Vec<Vec<&'a HostEntry>> {
        let others = roll.known().map(|host| &host.entry);
        host_groups(others.chain([&self.me]), &self.common.settings.regions)
    }

    /// A client of a host, where no message to it is under way.
    pub(super) fn idle_client(&self, host: &HostEntry) -> Option<Rc<PeerClient>> {
        // One is held by the map of clients.
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
                BEAT_LIMIT,
            ))
        });
        Some(Rc::clone(client))
    }

    /// Drops clients of hosts that are told nothing, or have moved.
    pub(super) fn keep_clients(&self, partners: &[HostEntry]) {
        let feeds = [Feed::Routes, Feed::Upstreams, Feed::Hosts];
        let firsts = feeds.into_iter().flat_map(|feed| self.firsts(feed));
        let told: Vec<HostEntry> = self.group().into_iter().chain(firsts).collect();
        let leases = self.common.allowances.leases();
        let owners: BTreeSet<&HostName> = leases.owners().collect();
        let beliefs = self.beliefs.borrow();
        let lenders = beliefs.roll.list().rows();
        let is_near = |host: &HostEntry| host.zone == self.me.zone;
        let now = clock::now();
        let mut limit_asks = self.limit_asks.borrow_mut();
        limit_asks.forget_idle(now);
        let is_asked = |host: &HostEntry| limit_asks.asks(now, &host.name);
        let lenders =
            lenders.filter(|host| owners.contains(&host.name) || is_near(host) || is_asked(host));
        let told: Vec<&HostEntry> = told.iter().chain(lenders).collect();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|name, client| {
            let mut hosts = partners.iter().chain(told.iter().copied());
            let host = hosts.find(|host| host.name == *name);
            host.is_some_and(|host| host.peer_address == client.address())
        });
    }
}

/// The host that ranks first for a key.
pub(super) fn first<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a HostEntry> + Clone,
) -> Option<&'a HostEntry> {
    let names = hosts.clone().map(|host| host.name.as_str());
    let first = rendezvous::owner(key, names)?;
    hosts.into_iter().find(|host| host.name == first)
}
