//! Estimates of the load in each zone, from reports that can be late or missing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, ZoneName};
use crate::membership::HostEntry;
use crate::pool::PoolLoad;

/// Age from which a report is stale: no traffic is newly shifted because of it.
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// Time in which the estimated capacity above the floor halves once a report is stale.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Share of the configured slots that counts as capacity without any report.
const FLOOR_SHARE: f64 = 0.25;

/// Load of one service, as part of a [`ZoneSummary`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Name of the service.
    pub service: ServiceName,
    /// Load of all pools of the service in the zone.
    pub load: PoolLoad,
}

/// Summary of a zone that one of its hosts sends to the hosts of other zones.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneSummary {
    /// The zone that the summary describes.
    pub zone: ZoneName,
    /// Time since the loads were measured, as far as known to the hosts that forwarded the
    /// summary.
    pub age: Duration,
    /// Load of each service in the zone.
    pub loads: Vec<ServiceLoad>,
    /// Hosts of the zone that requests can be relayed to, at most [`SUMMARY_HOSTS`].
    ///
    /// Empty if the list was left out of this summary, which says nothing about the zone.
    pub hosts: Vec<HostEntry>,
    /// Time since `hosts` was up to date.
    pub hosts_age: Duration,
}

/// Maximum number of hosts in a summary.
pub const SUMMARY_HOSTS: usize = 8;

/// Load of a service in a zone at the time of a measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// The measured load.
    pub load: PoolLoad,
    /// Time of the measurement by the local clock; never later than the report's arrival.
    pub measured_at: Instant,
}

/// Estimated load of a service in a zone at the present time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoadEstimate {
    /// Estimated number of usable slots.
    pub capacity: f64,
    /// Estimated number of requests in flight or queued.
    pub in_flight: f64,
    /// Smoothed time of a request, in milliseconds; 0 if unknown.
    pub latency_ms: f64,
    /// Whether the report is recent enough to shift traffic because of it.
    pub fresh: bool,
}

/// Latest load report of each service in each zone.
#[derive(Debug, Clone, Default)]
pub struct LoadReports {
    reports: HashMap<(ZoneName, ServiceName), Report>,
}

impl LoadReports {
    /// Stores a report unless the stored one is as recent; returns whether it was stored.
    pub fn update(&mut self, zone: &str, service: &str, report: Report) -> bool {
        let key = (zone.to_owned(), service.to_owned());
        let stored = self.reports.get(&key);
        if stored.is_some_and(|stored| stored.measured_at >= report.measured_at) {
            return false;
        }
        self.reports.insert(key, report);
        true
    }

    /// Returns the latest report of a service in a zone.
    pub fn report(&self, zone: &str, service: &str) -> Option<&Report> {
        self.reports.get(&(zone.to_owned(), service.to_owned()))
    }

    /// Estimates the load of a service in a zone at time `now`.
    ///
    /// `slots` is the sum of the configured slots. `own_in_flight` is the number of
    /// requests that this host has in flight there, a lower bound of the estimate.
    pub fn estimate(
        &self,
        now: Instant,
        zone: &str,
        service: &str,
        slots: u32,
        own_in_flight: u32,
    ) -> LoadEstimate {
        let floor = f64::from(slots) * FLOOR_SHARE;
        let own = f64::from(own_in_flight);
        let Some(report) = self.report(zone, service) else {
            return LoadEstimate {
                capacity: floor,
                in_flight: own,
                latency_ms: 0.0,
                fresh: false,
            };
        };
        let age = now.saturating_duration_since(report.measured_at);
        let load = &report.load;
        let capacity = f64::from(load.capacity);
        LoadEstimate {
            capacity: decay(capacity, floor.min(capacity), age),
            in_flight: f64::from(load.in_flight + load.queued).max(own),
            latency_ms: load.latency_ms,
            fresh: age < STALE_AFTER,
        }
    }
}

/// Returns `value` while the report is fresh, then lets it decay exponentially towards
/// `floor`.
fn decay(value: f64, floor: f64, age: Duration) -> f64 {
    let stale = age.saturating_sub(STALE_AFTER);
    let remaining = 0.5_f64.powf(stale.as_secs_f64() / HALF_LIFE.as_secs_f64());
    floor + (value - floor) * remaining
}
