//! Tree in which starting hosts load a feed from each other.

use super::feed_rank::FeedRank;
use crate::membership::HostEntry;

/// Hosts of a group as a tree, by which all of them can load a feed at the same time.
///
/// The highest-ranked host is the root and reads the store. No host has more children than
/// its link can serve, and hosts of high capacity are near the root, so that the depth
/// grows with the logarithm of the group.
#[derive(Debug)]
pub struct BootstrapTree<'a> {
    /// Hosts from the highest rank to the lowest, each with the index of its parent.
    ranked: Vec<(&'a HostEntry, Option<usize>)>,
}

impl<'a> BootstrapTree<'a> {
    /// Arranges the hosts of a group for a feed.
    pub fn new(feed: &str, group: impl IntoIterator<Item = &'a HostEntry>) -> Self {
        let rank = |host: &HostEntry| FeedRank::new(feed, &host.name, host.capacity);
        let mut hosts: Vec<&HostEntry> = group.into_iter().collect();
        hosts.sort_by_key(|host| std::cmp::Reverse(rank(host)));
        let mut ranked = Vec::with_capacity(hosts.len());
        let (mut parent, mut children) = (0, 0);
        for (index, host) in hosts.iter().enumerate() {
            if index == 0 {
                ranked.push((*host, None));
                continue;
            }
            if children == hosts[parent].capacity.max_children() {
                (parent, children) = (parent + 1, 0);
            }
            children += 1;
            ranked.push((*host, Some(parent)));
        }
        BootstrapTree { ranked }
    }

    /// Returns the hosts that `this_host` asks for the feed, from its parent to the root;
    /// none if it is the root or not in the group.
    pub fn ancestors(&self, this_host: &str) -> Vec<&'a HostEntry> {
        let mut hosts = self.ranked.iter();
        let mut parent = hosts
            .find(|(host, _)| host.name == this_host)
            .and_then(|(_, parent)| *parent);
        let mut ancestors = Vec::new();
        while let Some(index) = parent {
            let (host, next) = self.ranked[index];
            ancestors.push(host);
            parent = next;
        }
        ancestors
    }
}
