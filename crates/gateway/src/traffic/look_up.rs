//! Selects the hosts that a caller should use.

use std::net::SocketAddr;
use std::time::Duration;

use steering::route::RouteView;

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

/// Hosts of the caller's region, or of all regions if there are none. `serving` is this host's
/// address if it accepts requests.
pub(super) fn hosts(
    view: &RouteView,
    settings: &GatewaySettings,
    lookup: &HostLookup,
    serving: Option<SocketAddr>,
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
    hosts.extend(serving.filter(|_| *region == settings.region));
    if hosts.is_empty() {
        hosts = view.hosts.values().flatten().copied().collect();
        hosts.extend(serving);
    }
    hosts.sort_unstable();
    hosts.dedup();
    hosts.truncate(MAX_HOSTS);
    hosts
}
