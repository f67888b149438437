//! Which hosts a caller should use: near ones first, spread among its like.

use std::collections::HashMap;

use crate::ids::ZoneName;
use crate::membership::HostEntry;
use crate::plan::Plan;
use crate::view::View;

/// Most hosts in an answer.
pub const HOSTS_LIMIT: usize = 4;
/// Most hosts of one zone in an answer, where others exist.
const SAME_ZONE_LIMIT: usize = 2;

/// Zones by distance from each zone, made once for each view.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// For each zone, the zones that have hosts, nearest first, itself included.
    near: HashMap<ZoneName, Vec<ZoneName>>,
    /// Hosts by zone.
    hosts: HashMap<ZoneName, Vec<HostEntry>>,
    /// Zone taken for callers that no block holds.
    home: ZoneName,
}

impl Directory {
    /// Orders the zones of a view.
    pub fn new(view: &View) -> Self {
        let hosts: HashMap<ZoneName, Vec<HostEntry>> = view
            .hosts
            .iter()
            .filter(|(_, hosts)| !hosts.is_empty())
            .map(|(zone, hosts)| (zone.clone(), hosts.clone()))
            .collect();
        let names: Vec<ZoneName> = view
            .plan
            .document
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .chain([view.me.zone.clone()])
            .collect();
        let near = names
            .iter()
            .map(|from| (from.clone(), nearest(&view.plan, from, &hosts)))
            .collect();
        Directory {
            near,
            hosts,
            home: view.me.zone.clone(),
        }
    }

    /// Hosts for a caller, best first. `spread` tells callers of a zone apart.
    pub fn find(&self, zone: Option<&str>, spread: u64) -> Vec<&HostEntry> {
        let zone = zone.unwrap_or(&self.home);
        let near = self.near.get(zone).or_else(|| self.near.get(&self.home));
        let Some(near) = near else {
            return Vec::new();
        };
        let mut found = Vec::with_capacity(HOSTS_LIMIT);
        for zone in near {
            let Some(hosts) = self.hosts.get(zone) else {
                continue;
            };
            let start = (spread % hosts.len() as u64) as usize;
            let of_zone = hosts.iter().cycle().skip(start);
            found.extend(of_zone.take(hosts.len().min(SAME_ZONE_LIMIT)));
            if found.len() >= HOSTS_LIMIT {
                break;
            }
        }
        found.truncate(HOSTS_LIMIT);
        found
    }
}

fn nearest(plan: &Plan, from: &str, hosts: &HashMap<ZoneName, Vec<HostEntry>>) -> Vec<ZoneName> {
    let mut zones: Vec<(f64, &ZoneName)> = hosts
        .keys()
        .map(|zone| (plan.document.one_way_ms(from, zone), zone))
        .collect();
    zones.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    zones.into_iter().map(|(_, zone)| zone.clone()).collect()
}
