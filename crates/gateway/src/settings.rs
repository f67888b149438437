//! Settings of a host that serves routes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use steering::host_capacity::HostCapacity;
use steering::ids::{HostName, RegionName, ZoneName};
use steering::route::{AllowanceTolerance, ExposureBound};

/// Location, addresses and bounds of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host, unique in the deployment.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the host.
    pub region: RegionName,
    /// Region of every availability zone of the deployment, including this host's one.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Address for callers' requests. Port 0 selects a free port, for this and the other addresses
    /// to listen on.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address for callers' host lookups.
    pub look_up_address: SocketAddr,
    /// Address for messages of other hosts.
    pub peer_address: SocketAddr,
    /// Address at which other hosts request relays to upstreams.
    pub relay_address: SocketAddr,
    /// Address for metrics and operators' commands; none to serve neither.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some hosts, which a starting host asks if the store does not answer; may
    /// be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that all hosts start at once and
    /// none is listed in the store.
    pub first_start: bool,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Number of files and sockets that the process may have open.
    pub open_files: u32,
    /// Capacity of the machine.
    pub capacity: HostCapacity,
    /// Whether upstreams of another version than most get requests only by an operator's order.
    pub versions_need_orders: bool,
    /// Bounds set by operators.
    pub bounds: Bounds,
}

/// Bounds set by operators, with defaults for those not set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from the signal to stop until the host ends.
    pub grace_period: Duration,
    /// Time within which a draining upstream stops receiving requests.
    pub drain_time: Duration,
    /// Time within which a new document is in force on every host.
    pub document_apply_time: Duration,
    /// Time within which a host that was cut off is in contact again.
    pub reconnect_time: Duration,
    /// Retries per request to a service, over all hosts.
    pub retry_ratio: f64,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Additional retries in a window, over all hosts.
    pub retry_slack: f64,
    /// Rate of requests to an upstream that is warming up, as a multiple of the rate that it can
    /// serve.
    pub warm_up_overage: f64,
    /// Additional requests per second to an upstream that is warming up.
    pub warm_up_slack: f64,
    /// Bound on the requests that a bad version may get during a roll-out.
    pub exposure: ExposureBound,
    /// Time within which all hosts stop sending to a bad version.
    pub rollback_time: Duration,
    /// How closely customers' allowances are enforced.
    pub allowances: AllowanceTolerance,
    /// Longest time for which the answer to a host lookup may be valid.
    pub max_lookup_ttl: Duration,
    /// Largest fraction of a region's requests that may move to another region from one 2 s window
    /// to the next.
    pub max_region_shift: f64,
}

impl GatewaySettings {
    /// Names of the settings that differ in `other` and require a restart. An address in `other`
    /// with port 0, which stands for any port, does not count as different.
    pub fn fixed_changes(&self, other: &GatewaySettings) -> Vec<&'static str> {
        let moved = |own: SocketAddr, other: SocketAddr| other.port() != 0 && own != other;
        let changes = [
            ("host", self.host != other.host),
            ("zone", self.zone != other.zone),
            ("region", self.region != other.region),
            ("regions", self.regions != other.regions),
            (
                "caller_address",
                moved(self.caller_address, other.caller_address),
            ),
            (
                "ready_address",
                moved(self.ready_address, other.ready_address),
            ),
            (
                "look_up_address",
                moved(self.look_up_address, other.look_up_address),
            ),
            ("peer_address", moved(self.peer_address, other.peer_address)),
            (
                "relay_address",
                moved(self.relay_address, other.relay_address),
            ),
            (
                "store_address",
                moved(self.store_address, other.store_address),
            ),
            ("open_files", self.open_files != other.open_files),
            ("capacity", self.capacity != other.capacity),
        ];
        let changes = changes.into_iter().filter(|(_, differs)| *differs);
        changes.map(|(name, _)| name).collect()
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace_period: Duration::from_secs(6),
            drain_time: Duration::from_secs(2),
            document_apply_time: Duration::from_secs(2),
            reconnect_time: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 10.0,
            warm_up_overage: 1.0,
            warm_up_slack: 0.0,
            exposure: ExposureBound {
                share: 0.05,
                min_moving_time: Duration::ZERO,
            },
            rollback_time: Duration::from_secs(5),
            allowances: AllowanceTolerance::default(),
            max_lookup_ttl: Duration::from_secs(5),
            max_region_shift: 0.15,
        }
    }
}

impl Default for GatewaySettings {
    /// A single host on loopback, on free ports.
    fn default() -> Self {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        GatewaySettings {
            host: "host-1".to_owned(),
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
            regions: BTreeMap::from([("zone-1".to_owned(), "region-1".to_owned())]),
            caller_address: free,
            ready_address: free,
            look_up_address: free,
            peer_address: free,
            relay_address: free,
            metrics_address: None,
            seeds: Vec::new(),
            first_start: false,
            store_address: free,
            open_files: 1_024,
            capacity: HostCapacity::default(),
            versions_need_orders: false,
            bounds: Bounds::default(),
        }
    }
}
