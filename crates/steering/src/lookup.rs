//! Selects the hosts that a caller should use: the nearest first, with callers spread
//! over the hosts of a zone.

use std::collections::HashMap;

use crate::document::Document;
use crate::ids::ZoneName;
use crate::membership::HostEntry;
use crate::view::View;

/// Maximum number of hosts in an answer.
pub const HOSTS_LIMIT: usize = 4;
/// Maximum number of hosts of the same zone in an answer.
const SAME_ZONE_LIMIT: usize = 2;

/// Index of hosts by distance from each zone, built once per set of hosts.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// For each zone, all zones with hosts, nearest first.
    zones_by_distance: HashMap<ZoneName, Box<[ZoneIndex]>>,
    /// Hosts by zone index; no list is empty.
    hosts: Vec<Box<[HostEntry]>>,
    /// Zone assumed for callers whose zone is unknown: the zone of this host.
    default_zone: ZoneName,
}

/// Index of a zone in [`Directory::hosts`].
type ZoneIndex = usize;

impl Directory {
    /// Builds the index from the hosts and zones of a view.
    pub fn new(view: &View) -> Self {
        let with_hosts: Vec<(&ZoneName, &Vec<HostEntry>)> = view
            .hosts
            .iter()
            .filter(|(_, hosts)| !hosts.is_empty())
            .collect();
        let zones: Vec<&ZoneName> = with_hosts.iter().map(|(zone, _)| *zone).collect();
        let document = &view.plan.document;
        let origins = document
            .zones
            .iter()
            .map(|zone| &zone.name)
            .chain([&view.me.zone]);
        Directory {
            zones_by_distance: origins
                .map(|from| (from.clone(), order_by_distance(document, from, &zones)))
                .collect(),
            hosts: with_hosts
                .into_iter()
                .map(|(_, hosts)| hosts.clone().into_boxed_slice())
                .collect(),
            default_zone: view.me.zone.clone(),
        }
    }

    /// Returns up to [`HOSTS_LIMIT`] hosts for a caller in `zone`, best first.
    ///
    /// `spread_key` determines which hosts of each zone come first, so that callers with
    /// different keys use different hosts.
    pub fn find(&self, zone: Option<&str>, spread_key: u64) -> Vec<&HostEntry> {
        let zone = zone.unwrap_or(&self.default_zone);
        let nearest_zones = self
            .zones_by_distance
            .get(zone)
            .or_else(|| self.zones_by_distance.get(&self.default_zone));
        let mut found = Vec::with_capacity(HOSTS_LIMIT);
        for zone in nearest_zones.into_iter().flatten() {
            let hosts = &self.hosts[*zone];
            let start = (spread_key % hosts.len() as u64) as usize;
            let count = SAME_ZONE_LIMIT
                .min(hosts.len())
                .min(HOSTS_LIMIT - found.len());
            found.extend((0..count).map(|offset| &hosts[(start + offset) % hosts.len()]));
            if found.len() >= HOSTS_LIMIT {
                break;
            }
        }
        found
    }
}

fn order_by_distance(document: &Document, from: &str, zones: &[&ZoneName]) -> Box<[ZoneIndex]> {
    let mut distances: Vec<(f64, ZoneIndex)> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| (document.one_way_ms(from, zone), index))
        .collect();
    distances.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    distances.into_iter().map(|(_, index)| index).collect()
}
