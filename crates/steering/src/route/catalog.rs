//! The upstreams that report themselves, as this host knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::feed::{Changes, FeedDigest, Record};
use super::news_timing::LAPSES_TOLD_WITHIN;
use super::upstream::{ReportedUpstream, UpstreamId};

/// Time after the store's return in which live upstreams report themselves again;
/// the operators give about 2 s.
const REPORT_AGAIN_WITHIN: Duration = Duration::from_millis(2_200);

/// Difference between two ends of the same warm-up: reports are read up to a second
/// after they were written.
const COLD_JITTER: Duration = Duration::from_secs(1);

/// A report with what was learned around it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// The upstream's report.
    pub report: ReportedUpstream,
    /// End of its warm-up, where it has said that it is cold.
    pub cold_until: Option<Instant>,
    /// Whether its report has vanished around an outage of the store; it is dropped when its
    /// upstream has had time to report itself again.
    vanished: bool,
    /// Hash of the report, without what changes with time.
    fingerprint: u64,
}

/// What a part of the feed has changed.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogChange {
    /// A report is new, or says something new.
    Reported(ReportedUpstream),
    /// A report is no longer there.
    Gone {
        /// Whose it was.
        id: UpstreamId,
        /// Whether the upstream is dropped at once, not only if it stays silent.
        at_once: bool,
    },
}

/// All listed upstreams by identity.
///
/// A report that vanishes while the store is away may have lapsed only because its
/// upstream could not renew it. Such an upstream stays until the time in which it
/// can report itself again has passed.
#[derive(Debug, Default)]
pub struct Catalog {
    listed: BTreeMap<UpstreamId, Listed>,
    is_read: bool,
    /// When the store answered again after it had been away.
    store_back: Option<Instant>,
}

impl From<&CatalogChange> for Record {
    fn from(change: &CatalogChange) -> Self {
        match change {
            CatalogChange::Reported(report) => Record::Upstream(report.clone()),
            CatalogChange::Gone { id, .. } => Record::UpstreamGone(id.clone()),
        }
    }
}

impl Catalog {
    /// Notes when the store answered again after an outage; none where there was no outage,
    /// whatever was taken for one before.
    pub fn store_returned(&mut self, at: impl Into<Option<Instant>>) {
        self.store_back = at.into();
    }

    /// When the store answered again, if it was ever away.
    pub fn store_back(&self) -> Option<Instant> {
        self.store_back
    }

    /// Until when reports that vanished around an outage are waited for; none where they are
    /// not any more.
    pub fn waits_until(&self, now: Instant) -> Option<Instant> {
        let until = self.store_back.map(|back| back + REPORT_AGAIN_WITHIN);
        until.filter(|until| *until > now)
    }

    /// Whether the report of any listed upstream has vanished.
    pub fn has_vanished(&self) -> bool {
        self.listed.values().any(|listed| listed.vanished)
    }

    /// Takes a part of the feed in its order, or all of it; says what has changed.
    pub fn take(&mut self, now: Instant, changes: &Changes) -> Vec<CatalogChange> {
        self.is_read |= changes.whole;
        let mut taken = Vec::new();
        for id in self.lacking(changes) {
            let at_once = self.remove(now, &id);
            taken.push(CatalogChange::Gone { id, at_once });
        }
        for record in &changes.records {
            match record {
                Record::Upstream(report) if self.put(now, report.clone()) => {
                    taken.push(CatalogChange::Reported(report.clone()));
                }
                // Whoever wrote it, it names no upstream any more.
                Record::Unusable { key, .. } if self.listed.remove(key).is_some() => {
                    let id = key.clone();
                    taken.push(CatalogChange::Gone { id, at_once: true });
                }
                Record::UpstreamGone(id) if self.listed.contains_key(id) => {
                    let at_once = self.remove(now, id);
                    let id = id.clone();
                    taken.push(CatalogChange::Gone { id, at_once });
                }
                _ => {}
            }
        }
        taken
    }

    /// Upstreams that a whole feed no longer has.
    fn lacking(&self, changes: &Changes) -> Vec<UpstreamId> {
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

    /// Takes a report; true where anything but its age has changed.
    fn put(&mut self, now: Instant, report: ReportedUpstream) -> bool {
        let cold_until = (!report.cold_for.is_zero()).then(|| now + report.cold_for);
        let fingerprint = report.fingerprint();
        let known = self.listed.get(&report.id);
        if known.is_some_and(|known| report.is_before(&known.report)) {
            return false;
        }
        let changed = known.is_none_or(|known| {
            known.fingerprint != fingerprint
                || known.vanished
                || has_turned(known.cold_until, cold_until)
        });
        let listed = Listed {
            cold_until,
            vanished: false,
            fingerprint,
            report,
        };
        self.listed.insert(listed.report.id.clone(), listed);
        changed
    }

    /// Takes a report away, at once or when its upstream has had time to renew it;
    /// true where it is gone at once.
    fn remove(&mut self, now: Instant, id: &str) -> bool {
        let may_have_lapsed = self.store_back.is_some_and(|back| {
            let told_until = back + LAPSES_TOLD_WITHIN;
            back <= now && now <= told_until
        });
        match self.listed.get_mut(id) {
            Some(listed) if listed.vanished || may_have_lapsed => {
                listed.vanished = true;
                false
            }
            Some(_) => self.listed.remove(id).is_some(),
            None => false,
        }
    }

    /// Drops what was not renewed in time; true where any was dropped.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.listed.len();
        let waits = self.waits_until(now).is_some();
        self.listed.retain(|_, listed| waits || !listed.vanished);
        before != self.listed.len()
    }

    /// Whether all reports have been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// The reports that are there now, as if they were made now.
    pub fn state(&self, now: Instant) -> Vec<Record> {
        let there = self.listed.values().filter(|l| !l.vanished);
        let reports = there.map(|listed| ReportedUpstream {
            cold_for: listed
                .cold_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
            ..listed.report.clone()
        });
        reports.map(Record::Upstream).collect()
    }

    /// Digest of the reports that are there now, the same wherever they were learned.
    pub fn digest(&self) -> FeedDigest {
        let there = self.listed.values().filter(|l| !l.vanished);
        // The order in which they were learned must not matter.
        there.fold(0, |digest, listed| digest ^ listed.fingerprint)
    }

    /// Every listed upstream.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }
}

/// Whether a warm-up has begun, ended, or begun again since it was last known.
fn has_turned(known: Option<Instant>, reported: Option<Instant>) -> bool {
    match (known, reported) {
        (Some(known), Some(reported)) => reported > known + COLD_JITTER,
        (known, reported) => known.is_some() != reported.is_some(),
    }
}
