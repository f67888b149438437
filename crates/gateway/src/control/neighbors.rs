//! The hosts with which this host exchanges messages.

use std::collections::BTreeMap;

use steering::ids::{RegionName, ZoneName};
use steering::membership::HostEntry;
use steering::route::{
    Feed, FeedRank, HeartbeatTargets, HostTable, heartbeat_targets, host_groups,
};

/// Hosts with which this host exchanges messages, derived from one version of the host table.
#[derive(Debug)]
pub(super) struct Neighbors {
    /// Version of the host table.
    pub version: u64,
    /// The other hosts of this host's group.
    pub group: Vec<HostEntry>,
    /// Whether the deployment is a single group.
    pub is_one_group: bool,
    /// The highest-ranked host of each other group, for each feed.
    first_hosts: [Vec<HostEntry>; Feed::ALL.len()],
    /// Hosts that get heartbeats.
    pub heartbeat_targets: HeartbeatTargets<HostEntry>,
}

impl Neighbors {
    pub fn new(
        this_host: &HostEntry,
        host_table: &HostTable,
        regions: &BTreeMap<ZoneName, RegionName>,
    ) -> Self {
        let others = host_table.known().map(|host| &host.entry);
        let groups = host_groups(others.chain([this_host]), regions);
        let (own, others): (Vec<_>, Vec<_>) = groups
            .into_iter()
            .partition(|group| group.contains(&this_host));
        let group = own.into_iter().flatten();
        let first_hosts = Feed::ALL.map(|feed| {
            let first_hosts = others
                .iter()
                .filter_map(|group| highest_ranked(feed, group));
            first_hosts.cloned().collect()
        });
        let unknown_region = RegionName::new();
        let located = host_table.known().map(|host| {
            let region = regions.get(&host.entry.zone).unwrap_or(&unknown_region);
            (&host.entry, region)
        });
        let own_region = regions.get(&this_host.zone).unwrap_or(&unknown_region);
        let heartbeat_targets = heartbeat_targets(&this_host.name, own_region, located);
        Neighbors {
            version: host_table.version(),
            group: group
                .filter(|host| host.name != this_host.name)
                .cloned()
                .collect(),
            is_one_group: others.is_empty(),
            first_hosts,
            heartbeat_targets: HeartbeatTargets {
                every: heartbeat_targets.every.into_iter().cloned().collect(),
                every_second: heartbeat_targets
                    .every_second
                    .into_iter()
                    .cloned()
                    .collect(),
            },
        }
    }

    /// The highest-ranked host of each other group for a feed.
    pub fn first_hosts(&self, feed: Feed) -> &[HostEntry] {
        &self.first_hosts[feed as usize]
    }

    /// The other hosts of the group, to load feeds from; none if the deployment is a single group.
    pub fn group_to_ask(&self) -> &[HostEntry] {
        match self.is_one_group {
            true => &[],
            false => &self.group,
        }
    }

    /// Whether `this_host` ranks first of its group for a feed.
    pub fn is_first(&self, feed: Feed, this_host: &HostEntry) -> bool {
        let own = rank(feed, this_host);
        self.group.iter().all(|host| rank(feed, host) < own)
    }

    /// Whether a host is in this host's group.
    pub fn is_in_group(&self, name: &str) -> bool {
        self.group.iter().any(|host| host.name == name)
    }
}

fn rank(feed: Feed, host: &HostEntry) -> FeedRank {
    FeedRank::new(&feed.to_string(), &host.name, host.capacity)
}

fn highest_ranked<'a>(feed: Feed, hosts: &[&'a HostEntry]) -> Option<&'a HostEntry> {
    hosts.iter().max_by_key(|host| rank(feed, host)).copied()
}
