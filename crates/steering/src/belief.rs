//! What is believed of other zones' load, from reports that lag or stop.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, ZoneName};
use crate::membership::HostEntry;
use crate::pool::PoolLoad;

/// Age at which a report counts as stale: no new shift rests on it.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// Time in which believed headroom over the floor halves, once stale.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Share of the static slots that is believed in without any report.
const FLOOR_SHARE: f64 = 0.25;

/// A service's load in some zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Its load.
    pub load: PoolLoad,
}

/// A zone as one of its hosts sees it, for the hosts of other zones.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneSummary {
    /// The zone.
    pub zone: ZoneName,
    /// Time since it was measured, as far as hosts that passed it on know.
    pub age: Duration,
    /// Load of its services.
    pub loads: Vec<ServiceLoad>,
    /// Hosts that may be asked, at most [`SUMMARY_HOSTS`]; none where they were left
    /// out this time, which says nothing about the zone.
    pub hosts: Vec<HostEntry>,
    /// Time since `hosts` was true.
    pub hosts_age: Duration,
}

/// Most hosts in a summary.
pub const SUMMARY_HOSTS: usize = 8;

/// A service's load in a zone, with the time that it was measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The load.
    pub load: PoolLoad,
    /// When it was measured, by this host's clock; never later than it came.
    pub measured: Instant,
}

/// Load of a place as believed now.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Believed {
    /// Slots that may be used.
    pub capacity: f64,
    /// Requests in flight or queued.
    pub in_flight: f64,
    /// Smoothed time of a request, in milliseconds; 0 is not known.
    pub latency_ms: f64,
    /// Whether a new shift may rest on it.
    pub fresh: bool,
}

/// All that is believed.
#[derive(Debug, Clone, Default)]
pub struct Beliefs {
    reports: HashMap<(ZoneName, ServiceName), Report>,
}

impl Beliefs {
    /// Takes a report; an older one than is held changes nothing.
    pub fn update(&mut self, zone: &str, service: &str, report: Report) -> bool {
        let key = (zone.to_owned(), service.to_owned());
        let held = self.reports.get(&key);
        if held.is_some_and(|held| held.measured >= report.measured) {
            return false;
        }
        self.reports.insert(key, report);
        true
    }

    /// The report that is held.
    pub fn report(&self, zone: &str, service: &str) -> Option<&Report> {
        self.reports.get(&(zone.to_owned(), service.to_owned()))
    }

    /// What is believed of a service in a zone that has `slots` by its labels.
    ///
    /// `own_in_flight` is what this host itself has in flight there; belief is
    /// never below it.
    pub fn believe(
        &self,
        now: Instant,
        zone: &str,
        service: &str,
        slots: u32,
        own_in_flight: u32,
    ) -> Believed {
        let floor = f64::from(slots) * FLOOR_SHARE;
        let own = f64::from(own_in_flight);
        let Some(report) = self.report(zone, service) else {
            return Believed {
                capacity: floor,
                in_flight: own,
                latency_ms: 0.0,
                fresh: false,
            };
        };
        let age = now.saturating_duration_since(report.measured);
        let load = &report.load;
        let capacity = f64::from(load.capacity);
        Believed {
            capacity: decay(capacity, floor.min(capacity), age),
            in_flight: f64::from(load.in_flight + load.queued).max(own),
            latency_ms: load.latency_ms,
            fresh: age < STALE_AFTER,
        }
    }
}

/// `value` while it is fresh, then moving towards `floor`.
fn decay(value: f64, floor: f64, age: Duration) -> f64 {
    let stale = age.saturating_sub(STALE_AFTER);
    let keep = 0.5_f64.powf(stale.as_secs_f64() / HALF_LIFE.as_secs_f64());
    floor + (value - floor) * keep
}
