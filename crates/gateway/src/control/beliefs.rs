//! The state that the control thread knows, and the view derived from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::{HostName, RegionName, ServiceName, ZoneName};
use steering::route::{
    Answering, Catalog, CatalogChange, Changes, Conditions, CustomerTable, DocumentChange,
    Evacuations, Feed, FeedDigest, Record, Roll, RouteDocument, RouteTable, RouteView, ServicePool,
    StoreAnswers,
};

use super::origin::Origin;
use crate::host::Common;

/// Most unreadable reports that are remembered, so that each is logged once.
const REFUSED_MOST: usize = 1_000;

/// Largest difference between hosts' accounts of one recovery of the store, since messages between
/// hosts take up to a second.
const SAME_RETURN: Duration = Duration::from_secs(1);

/// The control thread's state of routes, upstreams and hosts.
pub(super) struct Beliefs {
    regions: BTreeMap<ZoneName, RegionName>,
    document: Arc<RouteDocument>,
    table: Arc<RouteTable>,
    customers: Arc<CustomerTable>,
    evacuations: Evacuations,
    catalog: Catalog,
    store: StoreAnswers,
    conditions: Conditions,
    pub roll: Roll,
    /// Upstreams by service; none while they have to be computed again.
    pools: Option<Arc<HashMap<ServiceName, ServicePool>>>,
    /// Whether the upstreams' reports had been read when the last view was made.
    upstreams_known: bool,
    /// Whether other hosts have been asked which requests they refuse because of crashes.
    pub works_known: bool,
    /// Hosts in the last view; compared to detect changes caused by time alone.
    named: BTreeMap<RegionName, Vec<SocketAddr>>,
    near_hosts: Option<Vec<HostName>>,
    /// Keys of unreadable reports that were logged.
    refused_reports: BTreeSet<String>,
    sharers: Option<usize>,
    me: HostName,
    region: RegionName,
}

impl Beliefs {
    pub fn new(common: &Common) -> Self {
        Beliefs {
            regions: common.settings.regions.clone(),
            document: Arc::default(),
            table: Arc::default(),
            customers: Arc::default(),
            evacuations: Evacuations::default(),
            catalog: Catalog::default(),
            store: StoreAnswers::default(),
            conditions: Conditions::default(),
            roll: Roll::new(&common.settings.host),
            pools: None,
            upstreams_known: false,
            works_known: false,
            named: BTreeMap::new(),
            near_hosts: None,
            refused_reports: BTreeSet::new(),
            sharers: None,
            me: common.settings.host.clone(),
            region: common.settings.region.clone(),
        }
    }

    /// Records that a call of this host to the store failed.
    pub fn store_failed(&mut self) {
        self.store.failed();
    }

    /// Records that the store answered this host.
    pub fn store_answered(&mut self, now: Instant, usual_silence: Duration) {
        self.store.answered(now, usual_silence);
        let me = self.me.clone();
        self.note_return(&me);
    }

    /// Applies another host's account of the store's availability.
    pub fn store_told(&mut self, now: Instant, from: &str, told: Answering, usual: Duration) {
        self.store.told(now, told, usual);
        self.note_return(from);
    }

    /// This host's account of the store's availability, as sent to other hosts.
    pub fn store_answers(&self, now: Instant) -> Answering {
        self.store.tell(now)
    }

    fn note_return(&mut self, seen_by: &str) {
        let (before, back) = (self.catalog.store_back(), self.store.back());
        match (before, back) {
            (Some(_), None) => tracing::info!(event = "store_was_not_away", seen_by),
            (_, Some(back)) if before.is_none_or(|before| back > before + SAME_RETURN) => {
                let ago_ms = clock::elapsed(back).as_millis() as u64;
                tracing::info!(event = "store_returned", seen_by, ago_ms);
            }
            _ => {}
        }
        self.catalog.store_returned(back);
    }

    /// Whether reports that disappeared are still listed although the time to wait for them is
    /// over.
    pub fn waits_no_more(&self, now: Instant) -> bool {
        self.catalog.waits_until(now).is_none() && self.catalog.has_vanished()
    }

    /// When the state changes next without an update; none if no such time is known.
    pub fn changes_at(&self, now: Instant) -> Option<Instant> {
        self.catalog.waits_until(now)
    }

    /// Applies changes of a feed. Returns the records to pass on to other hosts, in order.
    pub fn take(
        &mut self,
        now: Instant,
        feed: Feed,
        changes: Changes,
        origin: Origin,
    ) -> Vec<Record> {
        let news = match feed {
            Feed::Routes => self.take_routes(now, changes),
            Feed::Upstreams => self.take_upstreams(now, &changes, origin),
            Feed::Hosts => return self.take_hosts(now, &changes),
        };
        if !news.is_empty() {
            self.pools = None;
        }
        news
    }

    /// All current records of a feed.
    pub fn state(&self, now: Instant, feed: Feed) -> Vec<Record> {
        match feed {
            Feed::Routes => {
                let zones = self.evacuations.wanted.iter().cloned();
                let evacuations = zones.map(|zone| Record::Evacuation { zone, wanted: true });
                let document = Record::Document(Box::new((*self.document).clone()));
                evacuations.chain([document]).collect()
            }
            Feed::Upstreams => self.catalog.state(now),
            Feed::Hosts => {
                let rows = self.roll.list().rows();
                rows.cloned().map(Record::Host).collect()
            }
        }
    }

    /// Digest of all current records of a feed.
    pub fn digest(&self, feed: Feed) -> FeedDigest {
        match feed {
            Feed::Routes => self.evacuations.digest() ^ self.document.version,
            Feed::Upstreams => self.catalog.digest(),
            Feed::Hosts => self.roll.list().digest(),
        }
    }

    fn take_routes(&mut self, now: Instant, changes: Changes) -> Vec<Record> {
        let mut news = Vec::new();
        let mut evacuated = match changes.whole {
            true => BTreeSet::new(),
            false => self.evacuations.wanted.clone(),
        };
        for record in changes.records {
            match record {
                Record::Document(document) => news.extend(self.take_document(*document)),
                Record::DocumentChange(change) => {
                    let document = change.apply(&self.document);
                    news.extend(document.and_then(|document| self.take_document(document)));
                }
                Record::Evacuation { zone, wanted: true } => drop(evacuated.insert(zone)),
                Record::Evacuation { zone, .. } => drop(evacuated.remove(&zone)),
                Record::Unusable { key, reason } => {
                    let version = self.document.version;
                    tracing::warn!(event = "document_refused", key, reason, in_force = version);
                    news.push(Record::Unusable { key, reason });
                }
                _ => {}
            }
        }
        let turned = self.evacuations.take(now, evacuated);
        if !turned.is_empty() {
            tracing::info!(event = "evacuations", zones = ?self.evacuations.wanted);
        }
        news.extend(turned);
        news
    }

    /// Applies a document if it is newer than the one in force. Returns the change to pass on to
    /// other hosts.
    fn take_document(&mut self, document: RouteDocument) -> Option<Record> {
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

    fn take_upstreams(&mut self, now: Instant, changes: &Changes, origin: Origin) -> Vec<Record> {
        for record in &changes.records {
            if let Record::Unusable { key, reason } = record {
                // The upstream may write an unreadable report again with each heartbeat.
                if self.refused_reports.len() < REFUSED_MOST
                    && self.refused_reports.insert(key.clone())
                {
                    tracing::warn!(event = "report_refused", upstream = key, reason);
                }
            }
        }
        let taken = self.catalog.take(now, changes);
        for change in &taken {
            note(change, origin);
        }
        taken.iter().map(Record::from).collect()
    }

    fn take_hosts(&mut self, now: Instant, changes: &Changes) -> Vec<Record> {
        for record in &changes.records {
            if let Record::Unusable { key, reason } = record {
                tracing::warn!(event = "row_refused", row = key, reason);
            }
        }
        self.roll.take(now, changes)
    }

    /// Removes expired entries. Returns whether the next view differs from the last one.
    pub fn expire(&mut self, now: Instant) -> bool {
        let dropped = self.catalog.expire(now);
        if dropped {
            self.pools = None;
        }
        let (sharers, near_hosts) = self.count(now);
        let counted = sharers != self.sharers || near_hosts != self.near_hosts;
        let read = self.catalog.is_read() != self.upstreams_known;
        dropped || counted || read || self.named(now) != self.named
    }

    /// Builds a view of the current state.
    pub fn view(&mut self, now: Instant) -> RouteView {
        let named = self.named(now);
        if named != self.named {
            tracing::info!(event = "hosts_named", hosts = ?named);
        }
        self.named = named;
        (self.sharers, self.near_hosts) = self.count(now);
        self.upstreams_known = self.catalog.is_read();
        let pools = self.pools.get_or_insert_with(|| {
            let pools = RouteView::pools(
                &self.document,
                &self.catalog,
                &self.evacuations,
                &self.regions,
                &mut self.conditions,
                now,
            );
            pools.into()
        });
        RouteView {
            version: self.document.version,
            limits: self.document.limits,
            table: Arc::clone(&self.table),
            customers: Arc::clone(&self.customers),
            upstreams_known: self.upstreams_known,
            works_known: self.works_known,
            services: Arc::clone(pools),
            hosts: self.named.clone(),
            sharers: self.sharers,
            near_hosts: self.near_hosts.clone(),
        }
    }

    /// The number of hosts that share limits, and the names of those in the own region; none while
    /// this host has no share of any limit.
    fn count(&self, now: Instant) -> (Option<usize>, Option<Vec<HostName>>) {
        let others = self.roll.sharers(now);
        let Some(others) = others.filter(|_| self.roll.has_part(now)) else {
            return (None, None);
        };
        let mut near = vec![self.me.clone()];
        let mut count = 1;
        for host in others {
            count += 1;
            if self.regions.get(&host.zone) == Some(&self.region) {
                near.push(host.name.clone());
            }
        }
        (Some(count), Some(near))
    }

    /// Version of the document in force.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Caller addresses of the other hosts that callers may be sent to, by region.
    fn named(&self, now: Instant) -> BTreeMap<RegionName, Vec<SocketAddr>> {
        let mut named: BTreeMap<RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for host in self.roll.named(now) {
            if let Some(region) = self.regions.get(&host.entry.zone) {
                let addresses = named.entry(region.clone()).or_default();
                addresses.push(host.entry.caller_address);
            }
        }
        named
    }
}

fn note(change: &CatalogChange, origin: Origin) {
    let (source, age_ms) = (
        origin.source,
        clock::elapsed(origin.as_of).as_millis() as u64,
    );
    match change {
        CatalogChange::Gone { id, at_once } => {
            tracing::info!(event = "upstream_gone", upstream = id, at_once, %source, age_ms);
        }
        CatalogChange::Reported(report) => tracing::info!(
            event = "upstream_reported",
            upstream = report.id,
            service = report.service,
            draining = report.draining,
            cold_ms = report.cold_for.as_millis() as u64,
            %source,
            age_ms
        ),
    }
}
