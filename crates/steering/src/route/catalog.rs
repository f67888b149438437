//! The registered upstreams, as known to this host.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::feed::{Changes, FeedDigest, Record};
use super::feed_timing::LAPSE_PROPAGATION_LIMIT;
use super::reported_upstream::{ReportedUpstream, UpstreamId};

/// Time after the store's return within which live upstreams register again; operators give
/// about 2 s.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Maximum difference between two computed ends of the same warm-up: reports are read up to
/// a second after they were written.
const WARM_UP_END_TOLERANCE: Duration = Duration::from_secs(1);

/// A report with data derived from the feed.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// The upstream's report.
    pub report: Arc<ReportedUpstream>,
    /// End of the warm-up; `None` if the upstream did not report that it is cold.
    pub cold_until: Option<Instant>,
    /// Whether the report vanished around an outage of the store. It is dropped once the
    /// upstream has had time to register again.
    vanished: bool,
    /// Hash of the report without its time-dependent fields.
    fingerprint: u64,
    /// Hash of the upstream's identity and start time.
    pub start_hash: u64,
}

/// A change of the catalog.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogChange {
    /// A report is new or has changed.
    Reported(ReportedUpstream),
    /// A report is gone.
    Removed {
        /// Identity of the upstream.
        id: UpstreamId,
        /// Whether the upstream is dropped at once. Otherwise it is dropped only if it does
        /// not register again.
        at_once: bool,
    },
}

/// All registered upstreams by identity.
///
/// A report that vanishes while the store is unavailable may have expired only because its
/// upstream could not renew it. Such an upstream stays until it has had time to register
/// again.
#[derive(Debug, Default)]
pub struct Catalog {
    listed: BTreeMap<UpstreamId, Listed>,
    /// Digest of the reports that have not vanished, updated with each change.
    digest: FeedDigest,
    /// Number of reports that have vanished.
    vanished: usize,
    is_read: bool,
    /// Time at which the store answered again after an outage.
    store_returned_at: Option<Instant>,
}

impl From<&CatalogChange> for Record {
    fn from(change: &CatalogChange) -> Self {
        match change {
            CatalogChange::Reported(report) => Record::Upstream(report.clone()),
            CatalogChange::Removed { id, .. } => Record::UpstreamGone(id.clone()),
        }
    }
}

impl Catalog {
    /// Records when the store answered again after an outage; `None` if there was no
    /// outage, even if one was recorded before.
    pub fn store_returned(&mut self, at: impl Into<Option<Instant>>) {
        self.store_returned_at = at.into();
    }

    /// Returns when the store answered again; `None` without an outage.
    pub fn store_returned_at(&self) -> Option<Instant> {
        self.store_returned_at
    }

    /// Returns the end of the grace time for reports that vanished around an outage; `None`
    /// outside of it.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        let until = self.store_returned_at.map(|back| back + REGISTRATION_GRACE);
        until.filter(|until| *until > now)
    }

    /// Returns whether the report of any listed upstream has vanished.
    pub fn has_missing(&self) -> bool {
        self.vanished > 0
    }

    /// Applies changes of the feed in order, or a complete snapshot, and returns what has
    /// changed.
    pub fn apply(&mut self, now: Instant, changes: &Changes) -> Vec<CatalogChange> {
        self.is_read |= changes.whole;
        let mut applied_changes = Vec::new();
        for id in self.missing_from(changes) {
            let at_once = self.remove(now, &id);
            applied_changes.push(CatalogChange::Removed { id, at_once });
        }
        for record in &changes.records {
            match record {
                Record::Upstream(report) if self.put(now, report.clone()) => {
                    applied_changes.push(CatalogChange::Reported(report.clone()));
                }
                // An invalid report names no upstream any more, whoever wrote it.
                Record::Unusable { key, .. } if self.take(key).is_some() => {
                    let id = key.clone();
                    applied_changes.push(CatalogChange::Removed { id, at_once: true });
                }
                Record::UpstreamGone(id) if self.listed.contains_key(id) => {
                    let at_once = self.remove(now, id);
                    let id = id.clone();
                    applied_changes.push(CatalogChange::Removed { id, at_once });
                }
                _ => {}
            }
        }
        applied_changes
    }

    /// Returns the upstreams that are missing in a complete snapshot.
    fn missing_from(&self, changes: &Changes) -> Vec<UpstreamId> {
        if !changes.whole {
            return Vec::new();
        }
        let reported = changes.records.iter().filter_map(|record| match record {
            Record::Upstream(report) => Some(report.id.as_str()),
            _ => None,
        });
        let reported: BTreeSet<&str> = reported.collect();
        let ids = self.listed.keys();
        ids.filter(|id| !reported.contains(id.as_str()))
            .cloned()
            .collect()
    }

    /// Stores a report. Returns true if more than its age has changed.
    fn put(&mut self, now: Instant, report: ReportedUpstream) -> bool {
        let cold_until = (!report.cold_for.is_zero()).then(|| now + report.cold_for);
        let fingerprint = report.fingerprint();
        let known = self.listed.get_mut(&report.id);
        if let Some(known) = known {
            if report.is_before(&known.report) {
                return false;
            }
            let is_same = known.fingerprint == fingerprint
                && !known.vanished
                && !warm_up_changed(known.cold_until, cold_until);
            if is_same {
                known.cold_until = cold_until;
                return false;
            }
        }
        self.take(&report.id);
        self.digest ^= fingerprint;
        let listed = Listed {
            cold_until,
            vanished: false,
            fingerprint,
            start_hash: report.start_hash(),
            report: Arc::new(report),
        };
        self.listed.insert(listed.report.id.clone(), listed);
        true
    }

    /// Takes a report out of the list.
    fn take(&mut self, id: &str) -> Option<Listed> {
        let listed = self.listed.remove(id)?;
        match listed.vanished {
            true => self.vanished -= 1,
            false => self.digest ^= listed.fingerprint,
        }
        Some(listed)
    }

    /// Removes a report, at once or when its upstream has had time to renew it. Returns
    /// true if it is removed at once.
    fn remove(&mut self, now: Instant, id: &str) -> bool {
        let may_have_expired = self.store_returned_at.is_some_and(|back| {
            let expired_until = back + LAPSE_PROPAGATION_LIMIT;
            back <= now && now <= expired_until
        });
        match self.listed.get_mut(id) {
            Some(listed) if listed.vanished => false,
            Some(listed) if may_have_expired => {
                listed.vanished = true;
                self.vanished += 1;
                self.digest ^= listed.fingerprint;
                false
            }
            _ => self.take(id).is_some(),
        }
    }

    /// Drops reports that were not renewed in time. Returns true if any was dropped.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.vanished == 0 || self.grace_until(now).is_some() {
            return false;
        }
        self.listed.retain(|_, listed| !listed.vanished);
        self.vanished = 0;
        true
    }

    /// Returns whether a complete snapshot has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns the current reports from an identity on, in order, with remaining warm-up
    /// times as of now.
    pub fn state_after(
        &self,
        now: Instant,
        from: Bound<&str>,
    ) -> impl Iterator<Item = (&str, Record)> {
        let listed = self.listed.range::<str, _>((from, Bound::Unbounded));
        let current = listed.filter(|(_, listed)| !listed.vanished);
        current.map(move |(id, listed)| {
            let report = ReportedUpstream {
                cold_for: listed
                    .cold_until
                    .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
                ..ReportedUpstream::clone(&listed.report)
            };
            (id.as_str(), Record::Upstream(report))
        })
    }

    /// Returns the number of listed upstreams.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Returns the digest of the current reports, the same whichever way they were learned.
    pub fn digest(&self) -> FeedDigest {
        // A sum by XOR does not depend on the order in which reports were learned.
        self.digest
    }

    /// Returns every registered upstream.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }
}

/// Returns whether a warm-up has begun, ended, or begun again since the known report.
fn warm_up_changed(known: Option<Instant>, reported: Option<Instant>) -> bool {
    match (known, reported) {
        (Some(known), Some(reported)) => reported > known + WARM_UP_END_TOLERANCE,
        (known, reported) => known.is_some() != reported.is_some(),
    }
}
