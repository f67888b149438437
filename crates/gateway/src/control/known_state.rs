//! The state that the control thread knows, and the view derived from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::host_capacity::HostCapacity;
use steering::ids::{HostName, RegionName, ServiceName, ZoneName};
use steering::route::{
    Catalog, Changes, CustomerTable, DocumentChange, Evacuations, Feed, FeedDigest, HostTable,
    Incumbent, KnownHost, ListCondition, LookUpHost, ObservedState, Record, RegionSizes, RelayHost,
    RolloutStatus, RolloutStop, Rollouts, RouteDocument, RouteTable, RouteView, ServicePool,
    ServiceVersions, StoreAnswers, StoreUptime, Succession,
};

use super::change_log::{log_changes, log_incumbent, log_order};
use super::origin::Origin;
use super::state_page::take_page;
use crate::host::Common;

/// Maximum number of unreadable reports that are remembered, so that each is logged once.
const MAX_REFUSED_REPORTS: usize = 1_000;

/// Largest difference between hosts' accounts of one recovery of the store, since messages between
/// hosts take up to a second.
const RECOVERY_TOLERANCE: Duration = Duration::from_secs(1);

/// The control thread's state of routes, upstreams and hosts.
pub(super) struct KnownState {
    regions: BTreeMap<ZoneName, RegionName>,
    document: Arc<RouteDocument>,
    table: Arc<RouteTable>,
    customers: Arc<CustomerTable>,
    evacuations: Evacuations,
    rollouts: Rollouts,
    catalog: Catalog,
    store: StoreAnswers,
    observed: ObservedState,
    pub host_table: HostTable,
    /// Upstreams by service; none while they have to be computed again.
    pools: Option<Arc<HashMap<ServiceName, ServicePool>>>,
    /// Whether the upstreams' reports had been read when the last view was made.
    upstreams_loaded: bool,
    /// Whether other hosts have been asked which requests they refuse because of crashes.
    pub refused_work_loaded: bool,
    /// Hosts in the last view; compared to detect changes caused by time alone.
    advertised: BTreeMap<RegionName, Vec<LookUpHost>>,
    /// Capacities of all listed hosts, of the version below.
    region_sizes: Arc<BTreeMap<RegionName, RegionSizes>>,
    /// The advertised hosts, as relays, and the version of the host table that they are of.
    relay_hosts: Arc<BTreeMap<HostName, RelayHost>>,
    relay_hosts_version: u64,
    region_hosts: Option<Vec<HostName>>,
    /// Keys of unreadable reports that were logged.
    refused_reports: BTreeSet<String>,
    sharing_hosts: Option<usize>,
    this_host: HostName,
    region: RegionName,
}

impl KnownState {
    pub fn new(common: &Common) -> Self {
        KnownState {
            regions: common.settings.regions.clone(),
            document: Arc::default(),
            table: Arc::default(),
            customers: Arc::default(),
            evacuations: Evacuations::default(),
            rollouts: Rollouts::new(common.settings.versions_need_orders),
            catalog: Catalog::default(),
            store: StoreAnswers::default(),
            observed: ObservedState::default(),
            host_table: HostTable::new(&common.settings.host),
            pools: None,
            upstreams_loaded: false,
            refused_work_loaded: false,
            advertised: BTreeMap::new(),
            region_sizes: Arc::default(),
            relay_hosts: Arc::default(),
            relay_hosts_version: 0,
            region_hosts: None,
            refused_reports: BTreeSet::new(),
            sharing_hosts: None,
            this_host: common.settings.host.clone(),
            region: common.settings.region.clone(),
        }
    }

    /// Records that a call of this host to the store failed.
    pub fn store_failed(&mut self) {
        self.store.failed();
    }

    /// Records that the store answered this host.
    pub fn store_answered(&mut self, now: Instant, stale_after: Duration) {
        self.store.answered(now, stale_after);
        let this_host = self.this_host.clone();
        self.record_store_recovery(&this_host);
    }

    /// Applies another host's account of the store's availability.
    pub fn store_reported(
        &mut self,
        now: Instant,
        from: &str,
        reported: StoreUptime,
        stale_after: Duration,
    ) {
        self.store.merge(now, reported, stale_after);
        self.record_store_recovery(from);
    }

    /// This host's account of the store's availability, as sent to other hosts.
    pub fn store_uptime(&self, now: Instant) -> StoreUptime {
        self.store.uptime(now)
    }

    fn record_store_recovery(&mut self, seen_by: &str) {
        let (before, recovered) = (self.catalog.store_returned_at(), self.store.returned_at());
        match (before, recovered) {
            (Some(_), None) => tracing::info!(event = "store_was_not_away", seen_by),
            (_, Some(recovered))
                if before.is_none_or(|before| recovered > before + RECOVERY_TOLERANCE) =>
            {
                let ago_ms = clock::elapsed(recovered).as_millis() as u64;
                tracing::info!(event = "store_returned", seen_by, ago_ms);
            }
            _ => {}
        }
        self.catalog.store_returned(recovered);
    }

    /// Whether reports that disappeared are still listed although the time to wait for them is
    /// over.
    pub fn has_overdue_reports(&self, now: Instant) -> bool {
        self.catalog.grace_until(now).is_none() && self.catalog.has_missing()
    }

    /// When the state changes next without an update; none if no such time is known.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        self.catalog.grace_until(now)
    }

    /// Applies changes of a feed. Returns the records to pass on to other hosts, in order.
    pub fn apply(
        &mut self,
        now: Instant,
        feed: Feed,
        changes: Changes,
        origin: Origin,
    ) -> Vec<Record> {
        let to_forward = match feed {
            Feed::Routes => self.apply_routes(now, changes),
            Feed::Upstreams => self.apply_upstreams(now, &changes, origin),
            Feed::Hosts => return self.apply_hosts(now, &changes),
        };
        if !to_forward.is_empty() {
            self.pools = None;
        }
        to_forward
    }

    /// A page of the current records of a feed: those after the key `from`, and the key to go on
    /// from if there are more.
    pub fn state_page(
        &self,
        now: Instant,
        feed: Feed,
        from: Option<&str>,
    ) -> (Vec<Record>, Option<String>) {
        let from = from.map_or(Bound::Unbounded, Bound::Excluded);
        match feed {
            Feed::Routes => {
                let zones = self.evacuations.wanted.iter().cloned();
                let evacuations = zones.map(|zone| Record::Evacuation { zone, wanted: true });
                let document = Record::Document(Box::new((*self.document).clone()));
                let rollouts = self.rollouts.records();
                let records = evacuations.chain([document]).chain(rollouts);
                (records.collect(), None)
            }
            Feed::Upstreams => take_page(self.catalog.state_after(now, from)),
            Feed::Hosts => take_page(self.host_table.list().rows_after(from)),
        }
    }

    /// Number of records of a feed.
    pub fn record_count(&self, feed: Feed) -> usize {
        match feed {
            Feed::Routes => self.evacuations.wanted.len() + 1,
            Feed::Upstreams => self.catalog.len(),
            Feed::Hosts => self.host_table.list().rows().len(),
        }
    }

    /// Digest of all current records of a feed.
    pub fn digest(&self, feed: Feed) -> FeedDigest {
        match feed {
            Feed::Routes => {
                self.evacuations.digest() ^ self.rollouts.digest() ^ self.document.version
            }
            Feed::Upstreams => self.catalog.digest(),
            Feed::Hosts => self.host_table.list().digest(),
        }
    }

    fn apply_routes(&mut self, now: Instant, changes: Changes) -> Vec<Record> {
        let mut to_forward = Vec::new();
        let mut withdrawn: BTreeSet<ServiceName> = match changes.whole {
            true => self.rollouts.ordered().cloned().collect(),
            false => BTreeSet::new(),
        };
        let mut evacuated = match changes.whole {
            true => BTreeSet::new(),
            false => self.evacuations.wanted.clone(),
        };
        for record in changes.records {
            match record {
                Record::Document(document) => to_forward.extend(self.apply_document(*document)),
                Record::DocumentChange(change) => {
                    let document = change.apply(&self.document);
                    to_forward.extend(document.and_then(|document| self.apply_document(document)));
                }
                Record::Evacuation { zone, wanted: true } => drop(evacuated.insert(zone)),
                Record::Evacuation { zone, .. } => drop(evacuated.remove(&zone)),
                Record::RolloutOrder(order) => {
                    withdrawn.remove(&order.service);
                    if self.rollouts.order(&order) {
                        log_order(&order);
                        to_forward.push(Record::RolloutOrder(order));
                    }
                }
                Record::RolloutOrderGone(service) => drop(withdrawn.insert(service)),
                Record::Rollout(status) if self.rollouts.update(&status) => {
                    to_forward.push(Record::Rollout(status));
                }
                Record::RolloutStop(stop) if self.rollouts.stop(&stop) => {
                    let RolloutStop {
                        service, reason, ..
                    } = &stop;
                    tracing::info!(event = "rollout_stopped", service, %reason);
                    to_forward.push(Record::RolloutStop(stop));
                }
                Record::Incumbent(incumbent) if self.rollouts.set_incumbent(&incumbent) => {
                    log_incumbent(&incumbent);
                    to_forward.push(Record::Incumbent(incumbent));
                }
                Record::Unusable { key, reason } => {
                    let version = self.document.version;
                    tracing::warn!(event = "document_refused", key, reason, in_force = version);
                    to_forward.push(Record::Unusable { key, reason });
                }
                _ => {}
            }
        }
        for service in withdrawn {
            if self.rollouts.withdraw(&service) {
                tracing::info!(event = "rollout_withdrawn", service);
                to_forward.push(Record::RolloutOrderGone(service));
            }
        }
        let changed = self.evacuations.take(now, evacuated);
        if !changed.is_empty() {
            tracing::info!(event = "evacuations", zones = ?self.evacuations.wanted);
        }
        to_forward.extend(changed);
        to_forward
    }

    /// Applies a document if it is newer than the one in force. Returns the change to pass on to
    /// other hosts.
    fn apply_document(&mut self, document: RouteDocument) -> Option<Record> {
        let (version, before) = (document.version, self.document.version);
        if version <= before {
            return None;
        }
        let routes = document.routes.len();
        tracing::info!(event = "document_taken", version, before, routes);
        let change = DocumentChange::between(&self.document, &document);
        self.table = Arc::new(RouteTable::new(&document));
        self.customers = Arc::new(CustomerTable::new(&document.customers));
        self.document = Arc::new(document);
        Some(Record::DocumentChange(Box::new(change)))
    }

    fn apply_upstreams(&mut self, now: Instant, changes: &Changes, origin: Origin) -> Vec<Record> {
        for record in &changes.records {
            if let Record::Unusable { key, reason } = record {
                // The upstream may write an unreadable report again with each heartbeat.
                if self.refused_reports.len() < MAX_REFUSED_REPORTS
                    && self.refused_reports.insert(key.clone())
                {
                    tracing::warn!(event = "report_refused", upstream = key, reason);
                }
            }
        }
        let applied = self.catalog.apply(now, changes);
        log_changes(&applied, origin);
        applied.iter().map(Record::from).collect()
    }

    fn apply_hosts(&mut self, now: Instant, changes: &Changes) -> Vec<Record> {
        for record in &changes.records {
            if let Record::Unusable { key, reason } = record {
                tracing::warn!(event = "row_refused", row = key, reason);
            }
        }
        self.host_table.apply(now, changes)
    }

    /// Removes expired entries. Returns whether the next view differs from the last one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let dropped = self.catalog.expire(now);
        if dropped {
            self.pools = None;
        }
        let (sharing_hosts, region_hosts) = self.hosts_sharing_bounds(now);
        let sharers_changed =
            sharing_hosts != self.sharing_hosts || region_hosts != self.region_hosts;
        let loaded = self.catalog.is_read() != self.upstreams_loaded;
        dropped || sharers_changed || loaded || self.advertised_hosts(now) != self.advertised
    }

    /// Builds a view of the current state.
    pub fn view(&mut self, now: Instant) -> RouteView {
        let advertised = self.advertised_hosts(now);
        if advertised != self.advertised {
            self.log_advertised(&advertised);
        }
        let version = self.host_table.version();
        if advertised != self.advertised || version != self.relay_hosts_version {
            self.relay_hosts = self.advertised_relays(now).into();
            self.region_sizes = self.listed_sizes().into();
            self.relay_hosts_version = version;
        }
        self.advertised = advertised;
        (self.sharing_hosts, self.region_hosts) = self.hosts_sharing_bounds(now);
        self.upstreams_loaded = self.catalog.is_read();
        if self.pools.is_none() {
            self.rollouts.assume_incumbents(&self.catalog);
        }
        let pools = self.pools.get_or_insert_with(|| {
            let pools = RouteView::pools(
                &self.document,
                &self.catalog,
                &self.evacuations,
                &self.regions,
                &self.rollouts,
                &mut self.observed,
                now,
            );
            pools.into()
        });
        RouteView {
            version: self.document.version,
            limits: self.document.limits,
            table: Arc::clone(&self.table),
            customers: Arc::clone(&self.customers),
            upstreams_loaded: self.upstreams_loaded,
            refused_work_loaded: self.refused_work_loaded,
            services: Arc::clone(pools),
            hosts: self.advertised.clone(),
            region_sizes: Arc::clone(&self.region_sizes),
            relay_hosts: Arc::clone(&self.relay_hosts),
            sharing_hosts: self.sharing_hosts,
            region_hosts: self.region_hosts.clone(),
        }
    }

    /// The number of hosts that share limits, and the names of those in this host's region; none
    /// while this host has no share of any limit.
    fn hosts_sharing_bounds(&self, now: Instant) -> (Option<usize>, Option<Vec<HostName>>) {
        let others = self.host_table.sharing_hosts(now);
        let Some(others) = others.filter(|_| self.host_table.has_share(now)) else {
            return (None, None);
        };
        let mut region_hosts = vec![self.this_host.clone()];
        let mut count = 1;
        for host in others {
            count += 1;
            if self.regions.get(&host.zone) == Some(&self.region) {
                region_hosts.push(host.name.clone());
            }
        }
        (Some(count), Some(region_hosts))
    }

    /// Orders and statuses of roll-outs.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The records of versions in use that the poller has to write. `is_current` says that
    /// the list of upstreams is not stale.
    pub fn due_incumbents(
        &self,
        now: Instant,
        succession: &mut Succession,
        is_current: bool,
    ) -> Vec<Incumbent> {
        let catalog = &self.catalog;
        let is_settled = catalog.grace_until(now).is_none() && !catalog.has_missing();
        let zones = catalog.listed().map(|listed| listed.report.zone.as_str());
        let list = ListCondition {
            is_complete: is_current && catalog.is_read() && is_settled,
            zones: zones.collect(),
        };
        let versions = ServiceVersions::by_service(catalog);
        let due = versions.iter().filter_map(|(service, versions)| {
            succession.next(now, service, &self.rollouts, versions, &list)
        });
        due.collect()
    }

    /// Whether the document has a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.document.services.contains_key(service)
    }

    /// Whether a service has upstreams, all of the same version.
    pub fn has_only_version(&self, service: &str, version: &str) -> bool {
        let listed = self.catalog.listed();
        let mut of_service = listed
            .map(|listed| &listed.report)
            .filter(|report| report.service == service && !report.draining)
            .peekable();
        of_service.peek().is_some() && of_service.all(|report| report.version == version)
    }

    /// Begins the planned moves of roll-outs. Returns whether there are any.
    pub fn begin_moves(&mut self, store_time: Duration) -> bool {
        let begins = self.rollouts.begin_moves(store_time);
        if begins {
            self.pools = None;
        }
        begins
    }

    /// Whether requests of this host run, or may be sent, at another version of a service
    /// than its roll-out is to move to. Upstreams that get no requests any more count while
    /// they work on earlier ones.
    pub fn uses_old_version(&self, status: &RolloutStatus) -> bool {
        let RolloutStatus {
            service,
            to_version,
            ..
        } = status;
        let Some(pools) = &self.pools else {
            return true;
        };
        let rollout = pools.get(service).map(|pool| pool.rollout.as_ref());
        let is_replaced = rollout
            .is_none_or(|rollout| rollout.is_some_and(|rollout| rollout.trial_per_mille.is_none()));
        let of_service = self.catalog.listed();
        let mut old = of_service.filter(|listed| {
            listed.report.service == *service && listed.report.version != *to_version
        });
        !is_replaced || old.any(|listed| self.observed.is_working(listed))
    }

    /// Version of the document in force.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// The other hosts that callers may be sent to, as relays.
    fn advertised_relays(&self, now: Instant) -> BTreeMap<HostName, RelayHost> {
        let hosts = self.host_table.advertised(now);
        let relays = hosts.filter_map(|host| {
            let entry = &host.entry;
            let relay = RelayHost {
                name: entry.name.clone(),
                zone: entry.zone.clone(),
                region: self.regions.get(&entry.zone)?.clone(),
                address: entry.relay_address,
                condition: host.condition(now).unwrap_or_default(),
            };
            Some((entry.name.clone(), relay))
        });
        relays.collect()
    }

    /// The other hosts that callers may be sent to, by region. Until this host is ready, it has
    /// messages of few of them, so that those of its region are all presumed to be alive.
    fn advertised_hosts(&self, now: Instant) -> BTreeMap<RegionName, Vec<LookUpHost>> {
        let mut advertised: BTreeMap<RegionName, Vec<LookUpHost>> = BTreeMap::new();
        let region_of = |host: &KnownHost| self.regions.get(&host.entry.zone);
        let mut add = |host: &KnownHost| {
            if let Some(region) = region_of(host) {
                let of_region = advertised.entry(region.clone()).or_default();
                of_region.push(look_up_host(host, now));
            }
        };
        if self.is_ready() {
            self.host_table.advertised(now).for_each(add);
            return advertised;
        }
        let is_own_region = |host: &&KnownHost| region_of(host) == Some(&self.region);
        let presumed = self.host_table.presumed(now).filter(is_own_region);
        presumed.for_each(&mut add);
        let far = self.host_table.advertised(now);
        far.filter(|host| !is_own_region(host)).for_each(add);
        advertised
    }

    /// Whether the next view is ready for requests.
    fn is_ready(&self) -> bool {
        self.document.version > 0 && self.catalog.is_read() && self.refused_work_loaded
    }

    /// Capacities of all listed hosts, by region.
    fn listed_sizes(&self) -> BTreeMap<RegionName, RegionSizes> {
        let mut capacities: BTreeMap<&RegionName, Vec<HostCapacity>> = BTreeMap::new();
        for entry in self.host_table.list().rows() {
            if let Some(region) = self.regions.get(&entry.zone) {
                capacities.entry(region).or_default().push(entry.capacity);
            }
        }
        let regions = capacities.into_iter();
        regions
            .map(|(region, capacities)| (region.clone(), RegionSizes::new(capacities.into_iter())))
            .collect()
    }

    /// Logs which hosts look-ups name, and which of them are cut off, if that changes.
    fn log_advertised(&self, advertised: &BTreeMap<RegionName, Vec<LookUpHost>>) {
        let addresses = |hosts| addresses(hosts, |_| true);
        if addresses(advertised) != addresses(&self.advertised) {
            tracing::info!(event = "hosts_named", hosts = ?addresses(advertised));
        }
        let cut_off = |hosts| self::addresses(hosts, |host| host.condition.is_cut_off);
        if cut_off(advertised) != cut_off(&self.advertised) {
            tracing::info!(event = "hosts_cut_off", hosts = ?cut_off(advertised));
        }
    }
}

/// Caller addresses of the selected hosts, by region, without regions that have none.
fn addresses(
    hosts: &BTreeMap<RegionName, Vec<LookUpHost>>,
    is_selected: impl Fn(&LookUpHost) -> bool,
) -> BTreeMap<&RegionName, Vec<SocketAddr>> {
    let mut addresses: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
    for (region, hosts) in hosts {
        for host in hosts.iter().filter(|host| is_selected(host)) {
            addresses.entry(region).or_default().push(host.address);
        }
    }
    addresses
}

fn look_up_host(host: &KnownHost, now: Instant) -> LookUpHost {
    let entry = &host.entry;
    LookUpHost {
        address: entry.caller_address,
        zone: entry.zone.clone(),
        capacity: entry.capacity,
        condition: host.condition(now).unwrap_or_default(),
    }
}
