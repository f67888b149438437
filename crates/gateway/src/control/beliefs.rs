//! Everything that the host believes, and the view that follows from it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::ids::{HostName, RegionName, ServiceName, ZoneName};
use steering::route::{
    Catalog, CatalogChange, Changes, CustomerTable, DocumentChange, Evacuations, Feed, FeedDigest,
    HostTable, ObservedState, Record, RouteDocument, RouteTable, RouteView, ServicePool,
    StoreAnswers, StoreUptime,
};

use super::origin::Origin;
use crate::host::Common;

/// Reports that can't be read of which the log tells; more are not kept in mind.
const REFUSED_MOST: usize = 1_000;

/// Difference between what hosts tell of one return of the store: their messages take up to
/// a second.
const SAME_RETURN: Duration = Duration::from_secs(1);

/// The control thread's beliefs.
pub(super) struct Beliefs {
    regions: BTreeMap<ZoneName, RegionName>,
    document: Arc<RouteDocument>,
    table: Arc<RouteTable>,
    customers: Arc<CustomerTable>,
    evacuations: Evacuations,
    catalog: Catalog,
    store: StoreAnswers,
    conditions: ObservedState,
    pub roll: HostTable,
    /// Upstreams by service, until anything is learned that changes them.
    pools: Option<Arc<HashMap<ServiceName, ServicePool>>>,
    /// Whether upstreams' reports had been read at the last view.
    upstreams_known: bool,
    /// Whether other hosts have been asked what work they refuse.
    pub works_known: bool,
    /// Hosts named in the last view, to see when time alone has changed them.
    named: BTreeMap<RegionName, Vec<SocketAddr>>,
    near_hosts: Option<Vec<HostName>>,
    /// Reports that could not be read, and were logged.
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
            conditions: ObservedState::default(),
            roll: HostTable::new(&common.settings.host),
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

    /// Notes that the store gave this host no answer.
    pub fn store_failed(&mut self) {
        self.store.failed();
    }

    /// Notes an answer of the store to this host.
    pub fn store_answered(&mut self, now: Instant, usual_silence: Duration) {
        self.store.answered(now, usual_silence);
        let me = self.me.clone();
        self.note_return(&me);
    }

    /// Takes what another host tells of the store's answers.
    pub fn store_told(&mut self, now: Instant, from: &str, told: StoreUptime, usual: Duration) {
        self.store.merge(now, told, usual);
        self.note_return(from);
    }

    /// What this host tells others of the store's answers.
    pub fn store_answers(&self, now: Instant) -> StoreUptime {
        self.store.uptime(now)
    }

    fn note_return(&mut self, seen_by: &str) {
        let (before, back) = (self.catalog.store_returned_at(), self.store.returned_at());
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

    /// Whether reports that vanished are still listed, though they are not waited for any more.
    pub fn waits_no_more(&self, now: Instant) -> bool {
        self.catalog.grace_until(now).is_none() && self.catalog.has_missing()
    }

    /// When time alone changes next what is believed; none where it is not known to.
    pub fn changes_at(&self, now: Instant) -> Option<Instant> {
        self.catalog.grace_until(now)
    }

    /// Takes a part of a feed, or all of it; what is worth telling others, in order.
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

    /// All that was taken from a feed and still holds.
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

    /// Digest of all that was taken from a feed.
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

    /// Takes a document that is newer than the one in force; what others are told then.
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
                // Its writer may write it again with each of its heartbeats.
                if self.refused_reports.len() < REFUSED_MOST
                    && self.refused_reports.insert(key.clone())
                {
                    tracing::warn!(event = "report_refused", upstream = key, reason);
                }
            }
        }
        let taken = self.catalog.apply(now, changes);
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
        self.roll.apply(now, changes)
    }

    /// Drops what has run out; true where the next view will differ.
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

    /// The view that follows.
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
            upstreams_loaded: self.upstreams_known,
            refused_work_loaded: self.works_known,
            services: Arc::clone(pools),
            hosts: self.named.clone(),
            sharing_hosts: self.sharers,
            region_hosts: self.near_hosts.clone(),
        }
    }

    /// Hosts that share bounds, and the names of those in the own region; none where this host
    /// has no part of any.
    fn count(&self, now: Instant) -> (Option<usize>, Option<Vec<HostName>>) {
        let others = self.roll.sharing_hosts(now);
        let Some(others) = others.filter(|_| self.roll.has_share(now)) else {
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

    /// Other hosts' addresses for callers, by region.
    fn named(&self, now: Instant) -> BTreeMap<RegionName, Vec<SocketAddr>> {
        let mut named: BTreeMap<RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for host in self.roll.advertised(now) {
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
        CatalogChange::Removed { id, at_once } => {
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
