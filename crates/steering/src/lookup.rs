//! Which hosts a caller should use: near ones first, spread among its like.

use std::collections::HashMap;

use crate::document::Document;
use crate::ids::ZoneName;
use crate::membership::HostEntry;
use crate::view::View;

/// Most hosts in an answer.
pub const HOSTS_LIMIT: usize = 4;
/// Most hosts of one zone in an answer, where others exist.
const SAME_ZONE_LIMIT: usize = 2;

/// Zones by distance from each zone, made once for each set of hosts.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// For each zone, those that have hosts, nearest first, itself included.
    near: HashMap<ZoneName, Box<[ZoneNumber]>>,
    /// Hosts by zone; none of the lists is empty.
    hosts: Vec<Box<[HostEntry]>>,
    /// Zone taken for callers that no block holds.
    home: ZoneName,
}

/// Number of a zone in a directory.
type ZoneNumber = usize;

impl Directory {
    /// Orders the zones of a view.
    pub fn new(view: &View) -> Self {
        let with_hosts: Vec<(&ZoneName, &Vec<HostEntry>)> = view
            .hosts
            .iter()
            .filter(|(_, hosts)| !hosts.is_empty())
            .collect();
        let zones: Vec<&ZoneName> = with_hosts.iter().map(|(zone, _)| *zone).collect();
        let document = &view.plan.document;
        let from = document
            .zones
            .iter()
            .map(|zone| &zone.name)
            .chain([&view.me.zone]);
        Directory {
            near: from
                .map(|from| (from.clone(), nearest(document, from, &zones)))
                .collect(),
            hosts: with_hosts
                .into_iter()
                .map(|(_, hosts)| hosts.clone().into_boxed_slice())
                .collect(),
            home: view.me.zone.clone(),
        }
    }

    /// Hosts for a caller, best first. `spread` tells callers of a zone apart.
    pub fn find(&self, zone: Option<&str>, spread: u64) -> Vec<&HostEntry> {
        let zone = zone.unwrap_or(&self.home);
        let near = self.near.get(zone).or_else(|| self.near.get(&self.home));
        let mut found = Vec::with_capacity(HOSTS_LIMIT);
        for zone in near.into_iter().flatten() {
            let hosts = &self.hosts[*zone];
            let start = (spread % hosts.len() as u64) as usize;
            let room = SAME_ZONE_LIMIT
                .min(hosts.len())
                .min(HOSTS_LIMIT - found.len());
            found.extend((0..room).map(|next| &hosts[(start + next) % hosts.len()]));
            if found.len() >= HOSTS_LIMIT {
                break;
            }
        }
        found
    }
}

fn nearest(document: &Document, from: &str, zones: &[&ZoneName]) -> Box<[ZoneNumber]> {
    let mut numbers: Vec<(f64, ZoneNumber)> = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| (document.one_way_ms(from, zone), number))
        .collect();
    numbers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    numbers.into_iter().map(|(_, number)| number).collect()
}
