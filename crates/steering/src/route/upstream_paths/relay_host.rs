//! The hosts that can relay connections to upstreams.

use std::net::SocketAddr;

use crate::ids::{HostName, RegionName, ZoneName};

/// Another host that relays connections to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayHost {
    /// Name of the host.
    pub name: HostName,
    /// Zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Address to which relays are requested.
    pub address: SocketAddr,
}

/// A place, by zone and region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// Zone.
    pub zone: &'a str,
    /// Region of the zone.
    pub region: &'a str,
}

impl Place<'_> {
    fn distance(&self, host: &RelayHost) -> u32 {
        match (host.zone == self.zone, host.region == self.region) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        }
    }
}

/// Returns the hosts in the order in which to ask them for a relay: those that have not failed
/// lately, near ones first. `random` decides between equals, so that hosts that are cut off
/// together spread.
pub fn relay_order<'a>(
    hosts: impl Iterator<Item = &'a RelayHost>,
    own: Place<'_>,
    upstream: Place<'_>,
    has_failed: impl Fn(&RelayHost) -> bool,
    random: u32,
) -> Vec<&'a RelayHost> {
    let mut order: Vec<&RelayHost> = hosts.collect();
    let count = order.len().max(1);
    order.rotate_left(random as usize % count);
    // The sort is stable.
    order.sort_by_cached_key(|host| {
        (
            has_failed(host),
            own.distance(host),
            upstream.distance(host),
        )
    });
    order
}
