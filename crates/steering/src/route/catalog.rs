//! The upstreams that report themselves, as this host knows them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::upstream::{ReportedUpstream, UpstreamId};

/// Time after the store's return in which live upstreams report themselves again;
/// the operators give about 2 s.
const REPORT_AGAIN_WITHIN: Duration = Duration::from_millis(2_200);

/// A report with what was learned around it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// The upstream's report.
    pub report: ReportedUpstream,
    /// End of its warm-up, where it has said that it is cold.
    pub cold_until: Option<Instant>,
    /// When it is dropped, where its report has vanished around an outage of the store.
    drop_at: Option<Instant>,
}

/// All listed upstreams by identity.
///
/// A report that vanishes while the store is away may have lapsed only because its
/// upstream could not renew it. Such an upstream stays until the time in which it
/// can report itself again has passed.
#[derive(Debug, Default)]
pub struct Catalog {
    listed: BTreeMap<UpstreamId, Listed>,
    /// When the store answered again after it had been away.
    store_back: Option<Instant>,
}

impl Catalog {
    /// Notes that the store answers again after an outage, since `at`.
    pub fn store_returned(&mut self, at: Instant) {
        self.store_back = self.store_back.max(Some(at));
    }

    /// When the store answered again, if it was ever away.
    pub fn store_back(&self) -> Option<Instant> {
        self.store_back
    }

    /// Takes a report; true where anything but its age has changed.
    pub fn put(&mut self, now: Instant, report: ReportedUpstream) -> bool {
        let cold_until = (!report.cold_for.is_zero()).then(|| now + report.cold_for);
        let known = self.listed.get(&report.id);
        let changed = known.is_none_or(|known| {
            known.report.draining != report.draining
                || known.report.address != report.address
                || known.report.slots != report.slots
                || known.cold_until.is_some() != cold_until.is_some()
        });
        let listed = Listed {
            cold_until,
            drop_at: None,
            report,
        };
        self.listed.insert(listed.report.id.clone(), listed);
        changed
    }

    /// Takes a report away, at once or when its upstream has had time to renew it;
    /// true where it is gone at once.
    pub fn remove(&mut self, now: Instant, id: &str) -> bool {
        let keep_until = self.store_back.map(|back| back + REPORT_AGAIN_WITHIN);
        match (self.listed.get_mut(id), keep_until) {
            (Some(listed), Some(until)) if until > now => {
                listed.drop_at.get_or_insert(until);
                false
            }
            (Some(_), _) => self.listed.remove(id).is_some(),
            (None, _) => false,
        }
    }

    /// Takes a whole list; reports that it lacks are removed. True where any is gone
    /// or has changed.
    pub fn replace(&mut self, now: Instant, reports: Vec<ReportedUpstream>) -> bool {
        let lacking: Vec<UpstreamId> = {
            let named: std::collections::BTreeSet<&str> =
                reports.iter().map(|report| report.id.as_str()).collect();
            let ids = self.listed.keys();
            ids.filter(|id| !named.contains(id.as_str()))
                .cloned()
                .collect()
        };
        let mut changed = false;
        for id in lacking {
            changed |= self.remove(now, &id);
        }
        for report in reports {
            changed |= self.put(now, report);
        }
        changed
    }

    /// Drops what was not renewed in time; true where any was dropped.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.listed.len();
        self.listed
            .retain(|_, listed| listed.drop_at.is_none_or(|at| at > now));
        before != self.listed.len()
    }

    /// Every listed upstream.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.listed.values()
    }
}
