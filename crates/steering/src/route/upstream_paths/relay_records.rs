//! What this host knows of the hosts that relay connections for it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::{HostName, ZoneName};

/// Time for which a host that did not relay is asked after the others.
const FAILURE_TIME: Duration = Duration::from_secs(1);
/// Time for which a host that was full is not asked for more connections than it relayed then.
const FULL_TIME: Duration = Duration::from_millis(250);
/// Smallest time after which a request that was refused since no host relays it may return.
const MIN_RETRY_TIME: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Record {
    /// When the host last gave no answer to a request for a relay, or said that it does not relay.
    refused_at: Option<Instant>,
    /// When a request over a connection relayed by the host last got no answer.
    silent_at: Option<Instant>,
    /// When the host last could not reach a zone.
    unreached_zones: HashMap<ZoneName, Instant>,
    /// When the host was last full, and how many connections of this host it relayed then.
    full: Option<(Instant, u32)>,
}

/// Records of the relaying hosts. What a host says of one zone does not count for others, and a
/// host that is full still relays what it relays.
#[derive(Debug, Default)]
pub struct RelayRecords {
    hosts: HashMap<HostName, Record>,
}

impl RelayRecords {
    /// Records that a host gave no answer to a request for a relay, or said that it does not relay.
    pub fn refused(&mut self, now: Instant, host: &HostName) {
        self.record(host).refused_at = Some(now);
    }

    /// Records that a request on a connection that a host relays got no answer.
    pub fn silent(&mut self, now: Instant, host: &HostName) {
        self.record(host).silent_at = Some(now);
    }

    /// Records that a host can't reach an upstream of a zone.
    pub fn zone_unreached(&mut self, now: Instant, host: &HostName, zone: &ZoneName) {
        let zones = &mut self.record(host).unreached_zones;
        zones.insert(zone.clone(), now);
    }

    /// Records that a host relays as many connections as it can, `held` of them for this host.
    pub fn full(&mut self, now: Instant, host: &HostName, held: u32) {
        self.record(host).full = Some((now, held));
    }

    /// Returns whether a host is asked after others for a relay to a zone.
    pub fn has_failed(&self, now: Instant, host: &str, zone: &str) -> bool {
        let Some(record) = self.hosts.get(host) else {
            return false;
        };
        let zone = record.unreached_zones.get(zone).copied();
        let failures = [record.refused_at, record.silent_at, zone];
        failures.into_iter().flatten().any(|at| is_recent(now, at))
    }

    /// Returns whether open connections that a host relays are used.
    pub fn may_use_open(&self, now: Instant, host: &str) -> bool {
        let silent_at = self.hosts.get(host).and_then(|record| record.silent_at);
        silent_at.is_none_or(|at| !is_recent(now, at))
    }

    /// Returns whether a host that relays `held` connections of this host is asked for another one.
    pub fn may_open(&self, now: Instant, host: &str, held: u32) -> bool {
        let full = self.hosts.get(host).and_then(|record| record.full);
        full.is_none_or(|(at, max)| held < max || now.saturating_duration_since(at) >= FULL_TIME)
    }

    fn record(&mut self, host: &HostName) -> &mut Record {
        self.hosts.entry(host.clone()).or_default()
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < FAILURE_TIME
}

/// Returns the expected wait of a request for a relayed connection behind `waiting` others, if
/// `connections` are in use for `hold_time` each. The caller of a request that can't wait so long
/// may return then.
pub fn relay_wait(waiting: u32, connections: u32, hold_time: Duration) -> Duration {
    let rounds = f64::from(waiting + 1) / f64::from(connections.max(1));
    hold_time.mul_f64(rounds).max(MIN_RETRY_TIME)
}
