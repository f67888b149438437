//! Settings of a host that serves routes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use steering::ids::{HostName, RegionName, ZoneName};
use steering::route::AllowanceTolerance;

/// Where a host stands, listens, and what operators ask of it.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Region of every zone, its own included.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// For callers' requests.
    pub caller_address: SocketAddr,
    /// For checks whether the host is ready.
    pub ready_address: SocketAddr,
    /// For callers' look-ups.
    pub look_up_address: SocketAddr,
    /// For messages of other hosts.
    pub peer_address: SocketAddr,
    /// For whoever reads the metrics; none where nobody may.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some hosts; may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that all its hosts start
    /// at once and none is listed yet.
    pub first_start: bool,
    /// Of the store.
    pub store_address: SocketAddr,
    /// Files and sockets that the process may have open.
    pub open_files: u32,
    /// What operators ask.
    pub bounds: Bounds,
}

/// Bounds that operators state. The defaults hold where they state none.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time between the signal to stop and the end.
    pub grace: Duration,
    /// Time after which an upstream that drains gets nothing.
    pub drain: Duration,
    /// Time after which a document is in force on every host.
    pub apply: Duration,
    /// Time after which a host that was cut off counts as in touch again.
    pub contact: Duration,
    /// Repeats for each request to a service, over all hosts.
    pub repeat_ratio: f64,
    /// Span over which repeats are counted.
    pub repeat_window: Duration,
    /// Repeats besides, in that span, over all hosts.
    pub repeat_spare: f64,
    /// Times of what a cold upstream bears that it may receive in a second.
    pub cold_times: f64,
    /// Requests besides that it may receive in a second.
    pub cold_spare: f64,
    /// How closely customers' allowances are kept.
    pub allowances: AllowanceTolerance,
    /// Longest time for which a look-up's answer may hold.
    pub look_up_ttl_most: Duration,
    /// Share of a region's requests that may change the region that serves them, from
    /// one 2 s window to the next.
    pub shift_most: f64,
}

impl GatewaySettings {
    /// Names of the settings that differ in `other` and hold for the life of a process.
    /// Addresses with port 0, and those that settings do not hold, differ from nothing.
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
                "store_address",
                moved(self.store_address, other.store_address),
            ),
            ("open_files", self.open_files != other.open_files),
        ];
        let changes = changes.into_iter().filter(|(_, differs)| *differs);
        changes.map(|(name, _)| name).collect()
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace: Duration::from_secs(6),
            drain: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            contact: Duration::from_secs(6),
            repeat_ratio: 0.1,
            repeat_window: Duration::from_secs(10),
            repeat_spare: 10.0,
            cold_times: 1.0,
            cold_spare: 0.0,
            allowances: AllowanceTolerance::default(),
            look_up_ttl_most: Duration::from_secs(5),
            shift_most: 0.15,
        }
    }
}

impl Default for GatewaySettings {
    /// A host alone on loopback, on free ports.
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
            metrics_address: None,
            seeds: Vec::new(),
            first_start: false,
            store_address: free,
            open_files: 1_024,
            bounds: Bounds::default(),
        }
    }
}
