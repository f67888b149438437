//! Immutable snapshot of all that a host knows about routes and upstreams, as used by
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::catalog::Catalog;
use super::customer::CustomerTable;
use super::document::RouteDocument;
use super::evacuations::Evacuations;
use super::look_up_host::LookUpHost;
use super::observed_state::ObservedState;
use super::region_pool::RegionPool;
use super::region_sizes::RegionSizes;
use super::rollout::{Rollouts, VersionRule, VersionUsage};
use super::service_pool::ServicePool;
use super::table::RouteTable;
use super::upstream::Upstream;
use super::upstream_paths::RelayHost;
use crate::ids::{HostName, RegionName, ServiceName, ZoneName};

/// Immutable snapshot; a newer one replaces it as a whole.
#[derive(Debug, Default)]
pub struct RouteView {
    /// Version of the document in force; 0 before the first one.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: super::document::CallerLimits,
    /// Routes of the document.
    pub table: Arc<RouteTable>,
    /// Customers of the document.
    pub customers: Arc<CustomerTable>,
    /// Whether the upstreams' reports have been read.
    pub upstreams_loaded: bool,
    /// Whether other hosts have been asked which work they refuse.
    pub refused_work_loaded: bool,
    /// Upstreams by service.
    pub services: Arc<HashMap<ServiceName, ServicePool>>,
    /// The live hosts that callers may be sent to, by region.
    pub hosts: BTreeMap<RegionName, Vec<LookUpHost>>,
    /// Capacities of all listed hosts, live or not, by region.
    pub region_sizes: Arc<BTreeMap<RegionName, RegionSizes>>,
    /// The live hosts, by name, which can relay connections to upstreams.
    pub relay_hosts: Arc<BTreeMap<HostName, RelayHost>>,
    /// Number of hosts that share the global limits, this one included; `None` until the
    /// hosts are known.
    pub sharing_hosts: Option<usize>,
    /// Hosts of this host's region, this one included; `None` until the hosts are known.
    /// Only these hosts may send to the region's cold upstreams.
    pub region_hosts: Option<Vec<HostName>>,
}

impl RouteView {
    /// Returns whether requests can be served: a document is in force, the upstreams are
    /// known, and other hosts have been asked which work they refuse, as far as they can be
    /// reached.
    pub fn is_ready(&self) -> bool {
        self.version > 0 && self.upstreams_loaded && self.refused_work_loaded
    }

    /// Returns the zones with upstreams.
    pub fn upstream_zones(&self) -> BTreeSet<&ZoneName> {
        let pools = self.services.values();
        let pools = pools.flat_map(|pool| pool.regions.values());
        let upstreams = pools.flat_map(RegionPool::upstreams_of_all_versions);
        upstreams.map(|upstream| &upstream.report.zone).collect()
    }

    /// Returns the upstreams of a zone.
    pub fn upstreams_of_zone<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> {
        let pools = self
            .services
            .values()
            .flat_map(|pool| pool.regions.values());
        let upstreams = pools.flat_map(RegionPool::upstreams_of_all_versions);
        upstreams.filter(move |upstream| upstream.report.zone == zone)
    }

    /// Builds the pools by service and region. Upstreams that drain, are in an evacuated
    /// zone or in a zone without a known region are omitted.
    pub fn pools(
        document: &RouteDocument,
        catalog: &Catalog,
        evacuations: &Evacuations,
        regions: &BTreeMap<ZoneName, RegionName>,
        rollouts: &Rollouts,
        states: &mut ObservedState,
        now: Instant,
    ) -> HashMap<ServiceName, ServicePool> {
        let rules = version_rules(rollouts, catalog);
        states.begin_view();
        let mut pools: HashMap<ServiceName, ServicePool> = HashMap::new();
        for entry in catalog.listed() {
            let report = &entry.report;
            let usage = match rules.get(report.service.as_str()) {
                Some(rule) => rule.usage(&report.version),
                None => VersionUsage::Regular,
            };
            let accepts_work = !report.draining
                && !evacuations.wanted.contains(&report.zone)
                && usage != VersionUsage::Unused;
            let Some(region) = regions.get(&report.zone).filter(|_| accepts_work) else {
                states.note_unused(entry);
                continue;
            };
            let warm_up = document.services.get(&report.service);
            let warm_up = warm_up.map_or(Duration::ZERO, |terms| terms.warm_up);
            let cold_after_evacuation = evacuations.ended.get(&report.zone).map(|at| *at + warm_up);
            let cold_until = entry.cold_until.max(cold_after_evacuation);
            let upstream = states.upstream(entry, region, cold_until);
            let pool = region_pool(&mut pools, &report.service, region);
            let pool = match usage {
                VersionUsage::Other => pool.other_version.get_or_insert_default(),
                _ => pool,
            };
            pool.upstreams.push(upstream);
        }
        for (name, pool) in &mut pools {
            pool.terms = document.services.get(name).cloned();
            if let Some(rule) = rules.get(name.as_str()) {
                pool.begin_rollout(rule);
            }
        }
        states.end_view(now, |service| pools.contains_key(service));
        pools
    }
}

/// Returns the rules of the services whose upstreams are used depending on their version.
fn version_rules<'a>(
    rollouts: &'a Rollouts,
    catalog: &'a Catalog,
) -> HashMap<&'a str, VersionRule> {
    let mut versions: HashMap<&str, BTreeMap<&str, usize>> = HashMap::new();
    for service in rollouts.services() {
        versions.insert(service, BTreeMap::new());
    }
    if versions.is_empty() && !rollouts.orders_required() {
        return HashMap::new();
    }
    let reports = catalog.listed().map(|listed| &listed.report);
    for report in reports.filter(|report| !report.draining) {
        let of_service = match rollouts.orders_required() {
            true => Some(versions.entry(report.service.as_str()).or_default()),
            false => versions.get_mut(report.service.as_str()),
        };
        if let Some(of_service) = of_service {
            *of_service.entry(report.version.as_str()).or_default() += 1;
        }
    }
    let rules = versions.into_iter();
    rules
        .map(|(service, versions)| (service, rollouts.rule(service, &versions)))
        .collect()
}

/// Returns the pool of a service in a region, which is created if necessary.
fn region_pool<'a>(
    pools: &'a mut HashMap<ServiceName, ServicePool>,
    service: &str,
    region: &str,
) -> &'a mut RegionPool {
    if !pools.contains_key(service) {
        pools.insert(service.to_owned(), ServicePool::default());
    }
    let pool = pools
        .get_mut(service)
        .expect("the entry exists or was just inserted");
    if !pool.regions.contains_key(region) {
        pool.regions
            .insert(region.to_owned(), RegionPool::default());
    }
    pool.regions
        .get_mut(region)
        .expect("the entry exists or was just inserted")
}
