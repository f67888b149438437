//! The hosts that can relay connections to upstreams.

use std::net::SocketAddr;

use crate::ids::{HostName, RegionName, ZoneName};
use crate::route::host_condition::HostCondition;

/// Use of a host's relays, in thousandths, from which hosts with more room are asked first. The
/// rest is left for hosts that find no other one.
const NEARLY_FULL_PER_MILLE: u16 = 800;

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
    /// What the host last reported about itself; the default value if that is unknown or too old.
    pub condition: HostCondition,
}

impl RelayHost {
    /// Returns whether the host has little room for relays, or would need one itself.
    fn is_short_of_relays(&self) -> bool {
        self.condition.is_cut_off || self.condition.relay_use_per_mille >= NEARLY_FULL_PER_MILLE
    }
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
/// lately, of them those with room for relays, near ones first. `random` decides between equals, so that hosts that are cut off
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
            host.is_short_of_relays(),
            own.distance(host),
            upstream.distance(host),
        )
    });
    order
}
