//! The versions of a service's upstreams, as listed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::order::SoftwareVersion;
use crate::ids::ZoneName;
use crate::route::catalog::Catalog;

/// Upstreams of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionUpstreams {
    /// Number of upstreams, those that drain included.
    pub count: usize,
    /// Start of the oldest process in milliseconds since 1970; `None` if none is reported.
    pub first_started_ms: Option<u64>,
    /// Zones of the upstreams.
    pub zones: BTreeSet<ZoneName>,
}

/// Upstreams of one service by version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceVersions(pub BTreeMap<SoftwareVersion, VersionUpstreams>);

impl ServiceVersions {
    /// Returns the listed versions of all services. Upstreams that drain count, and those
    /// whose reports have vanished around an outage of the store.
    pub fn by_service(catalog: &Catalog) -> HashMap<&str, ServiceVersions> {
        let mut services: HashMap<&str, ServiceVersions> = HashMap::new();
        for listed in catalog.listed() {
            let report = &listed.report;
            let versions = services.entry(report.service.as_str()).or_default();
            versions.add(&report.version, &report.zone, report.started_ms);
        }
        services
    }

    /// Adds an upstream.
    pub fn add(&mut self, version: &str, zone: &str, started_ms: Option<u64>) {
        let upstreams = self.0.entry(version.to_owned()).or_default();
        upstreams.count += 1;
        upstreams.first_started_ms = match (upstreams.first_started_ms, started_ms) {
            (Some(known), Some(started)) => Some(known.min(started)),
            (known, started) => known.or(started),
        };
        upstreams.zones.insert(zone.to_owned());
    }

    /// Returns the version of the oldest upstream that is not `excluded`; among equally old
    /// ones that of most upstreams, then the first by name. New upstreams are started
    /// beside old ones, so the number of upstreams says little.
    pub fn oldest(&self, excluded: Option<&str>) -> Option<&SoftwareVersion> {
        let versions = self.0.iter();
        let allowed = versions.filter(|(version, _)| Some(version.as_str()) != excluded);
        let oldest = allowed.min_by_key(|(version, upstreams)| {
            let started_ms = upstreams.first_started_ms.unwrap_or(u64::MAX);
            (started_ms, Reverse(upstreams.count), version.as_str())
        });
        oldest.map(|(version, _)| version)
    }

    /// Returns the zones of a version's upstreams; none if it has no upstream.
    pub fn zones(&self, version: &str) -> BTreeSet<ZoneName> {
        let upstreams = self.0.get(version);
        upstreams.map_or_else(BTreeSet::new, |upstreams| upstreams.zones.clone())
    }
}
