//! Groups of hosts that share the updates learned by one of them.

use std::collections::BTreeMap;

use crate::ids::{RegionName, ZoneName};
use crate::membership::HostEntry;

/// Maximum size of a group that is larger than a zone. One host sends each member of its
/// group about four small messages per second.
pub const MAX_GROUP_SIZE: usize = 32;

/// Divides hosts into groups: a single group if they are few, else one per region, else one
/// per zone. Hosts with the same list of hosts compute the same groups.
pub fn host_groups<'a>(
    hosts: impl IntoIterator<Item = &'a HostEntry>,
    regions: &BTreeMap<ZoneName, RegionName>,
) -> Vec<Vec<&'a HostEntry>> {
    let all: Vec<&HostEntry> = hosts.into_iter().collect();
    if all.len() <= MAX_GROUP_SIZE {
        return vec![all];
    }
    let of_region = |host: &HostEntry| regions.get(&host.zone).cloned();
    let mut groups = Vec::new();
    for region in split_by(all, of_region) {
        match region.len() <= MAX_GROUP_SIZE {
            true => groups.push(region),
            false => groups.extend(split_by(region, |host| host.zone.clone())),
        }
    }
    groups
}

fn split_by<K: Ord>(
    hosts: Vec<&HostEntry>,
    key: impl Fn(&HostEntry) -> K,
) -> impl Iterator<Item = Vec<&HostEntry>> {
    let mut by_key: BTreeMap<K, Vec<&HostEntry>> = BTreeMap::new();
    for host in hosts {
        by_key.entry(key(host)).or_default().push(host);
    }
    by_key.into_values()
}
