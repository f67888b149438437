//! Decides which hosts get the connections that this host can relay.

use std::collections::BTreeMap;

use crate::ids::HostName;

/// Open files of a relayed connection.
const FILES_PER_RELAY: u32 = 2;
/// Divisor for the part of the files not in use that relays may take. The rest is left for this
/// host's own callers.
const FREE_FILES_DIVISOR: u32 = 2;
/// Open files of a host besides its callers' connections and those to upstreams: listeners, the
/// store, other hosts, logs.
const OTHER_FILES: u32 = 64;

/// Returns the number of connections that a host may relay. `open_files` is its limit of open
/// files, `own_connections` the number of connections that it uses for its own callers.
pub fn max_relays(open_files: u32, own_connections: u32) -> u32 {
    let free = open_files
        .saturating_sub(OTHER_FILES)
        .saturating_sub(own_connections);
    free / FREE_FILES_DIVISOR / FILES_PER_RELAY
}

/// What becomes of a request for a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayDecision {
    /// The connection is counted; [`RelayAdmission::ended`] ends that.
    Granted,
    /// All connections are in use, and this host has more than its part. One of them is to be
    /// released.
    AfterRelease(HostName),
    /// All connections are in use, and the requesting host has its part.
    Full,
}

/// Relayed connections by requesting host. A host that has more connections than another one
/// releases some when the other one asks, so that all get equal parts.
#[derive(Debug, Default)]
pub struct RelayAdmission {
    /// Never holds a zero.
    held: BTreeMap<HostName, u32>,
}

impl RelayAdmission {
    /// Decides on a request of a host, with at most `max` connections in all.
    pub fn request(&mut self, host: &HostName, max: u32) -> RelayDecision {
        let own = self.held.get(host).copied().unwrap_or(0);
        if self.total() < max {
            self.held.insert(host.clone(), own + 1);
            return RelayDecision::Granted;
        }
        let largest = self.held.iter().max_by_key(|(_, held)| **held);
        match largest {
            Some((other, held)) if *held > own + 1 => RelayDecision::AfterRelease(other.clone()),
            _ => RelayDecision::Full,
        }
    }

    /// Records the end of a connection.
    pub fn ended(&mut self, host: &str) {
        if let Some(held) = self.held.get_mut(host) {
            *held -= 1;
            if *held == 0 {
                self.held.remove(host);
            }
        }
    }

    /// Returns the number of connections.
    pub fn total(&self) -> u32 {
        self.held.values().sum()
    }
}
