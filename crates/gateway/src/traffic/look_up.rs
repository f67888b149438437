//! Selects the hosts that a caller should use.

use std::net::SocketAddr;
use std::time::Duration;

use steering::route::{LookUpHost, RegionSizes, RouteView, look_up_hosts};

use crate::settings::{Bounds, GatewaySettings};
use crate::wire_format::HostLookup;

/// Maximum number of hosts in an answer.
const MAX_HOSTS: usize = 64;
/// Time for which an answer is valid. Some callers use it three times as long, and they must leave
/// a stopping host within its grace period.
const TTL: Duration = Duration::from_secs(2);

/// Time for which an answer is valid.
pub(super) fn ttl(bounds: &Bounds) -> Duration {
    TTL.min(bounds.max_lookup_ttl)
}

/// Hosts of the caller's region, or of all regions if there are none. `this_host` is none unless
/// this host accepts requests.
pub(super) fn hosts(
    view: &RouteView,
    settings: &GatewaySettings,
    lookup: &HostLookup,
    this_host: Option<LookUpHost>,
) -> Vec<SocketAddr> {
    let of_zone = lookup
        .zone
        .as_ref()
        .and_then(|zone| settings.regions.get(zone));
    let region = lookup
        .region
        .as_ref()
        .or(of_zone)
        .unwrap_or(&settings.region);
    let mut hosts = view.hosts.get(region).cloned().unwrap_or_default();
    let mut listed = view.region_sizes.get(region);
    let is_own_region = *region == settings.region;
    hosts.extend(this_host.clone().filter(|_| is_own_region));
    if hosts.is_empty() {
        hosts = view.hosts.values().flatten().cloned().collect();
        hosts.extend(this_host);
        listed = None;
    }
    hosts.sort_unstable_by_key(|host| host.address);
    hosts.dedup_by_key(|host| host.address);
    let named = look_up_hosts(
        &hosts,
        listed.unwrap_or(&RegionSizes::default()),
        MAX_HOSTS,
        &mut rand::rng(),
    );
    let mut addresses: Vec<SocketAddr> = named.iter().map(|host| host.address).collect();
    addresses.sort_unstable();
    addresses
}
