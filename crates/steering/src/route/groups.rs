//! Hosts that are told together what one of them has learned.

use std::collections::BTreeMap;

use crate::ids::{RegionName, ZoneName};
use crate::membership::HostEntry;

/// Most hosts of a group that is larger than a zone. One host sends each of its group some
/// four small messages a second.
const GROUP_MOST: usize = 32;

/// Divides hosts into groups: all together where they are few, else those of a region, else
/// those of a zone. The same on every host that knows the same hosts.
pub fn groups<'a>(
    hosts: impl IntoIterator<Item = &'a HostEntry>,
    regions: &BTreeMap<ZoneName, RegionName>,
) -> Vec<Vec<&'a HostEntry>> {
    let all: Vec<&HostEntry> = hosts.into_iter().collect();
    if all.len() <= GROUP_MOST {
        return vec![all];
    }
    let of_region = |host: &HostEntry| regions.get(&host.zone).cloned();
    let mut groups = Vec::new();
    for region in split(all, of_region) {
        match region.len() <= GROUP_MOST {
            true => groups.push(region),
            false => groups.extend(split(region, |host| host.zone.clone())),
        }
    }
    groups
}

fn split<K: Ord>(
    hosts: Vec<&HostEntry>,
    key: impl Fn(&HostEntry) -> K,
) -> impl Iterator<Item = Vec<&HostEntry>> {
    let mut by_key: BTreeMap<K, Vec<&HostEntry>> = BTreeMap::new();
    for host in hosts {
        by_key.entry(key(host)).or_default().push(host);
    }
    by_key.into_values()
}
