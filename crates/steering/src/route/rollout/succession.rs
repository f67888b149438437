//! Decides which version of a service is recorded as the one in use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::incumbent::{Incumbent, IncumbentReason};
use super::rollouts::Rollouts;
use super::service_versions::ServiceVersions;
use crate::ids::ServiceName;

/// Time for which no upstream of a version is listed before another one takes its place.
const ABSENCE: Duration = Duration::from_secs(10);

/// What a host knows of the list of upstreams.
#[derive(Debug, Clone)]
pub struct ListCondition<'a> {
    /// Whether the list has been read whole and is current, the store answers, and no report
    /// has vanished because its upstream could not renew it.
    pub is_complete: bool,
    /// Zones with listed upstreams, of whatever service.
    pub zones: BTreeSet<&'a str>,
}

/// Decides for the host that polls the operators' rows; the store keeps what it decides.
#[derive(Debug, Default)]
pub struct Succession {
    /// Since when a complete list has had no upstream of the version in use.
    absent_since: BTreeMap<ServiceName, Instant>,
}

impl Succession {
    /// Returns the record that is due for a service. `versions` are those of its upstreams.
    ///
    /// A version in use is replaced only if none of its upstreams is left, while the list is
    /// complete, no roll-out of the service is undecided, and each zone in which it had
    /// upstreams still lists others: a zone that is cut off ends no version.
    pub fn next(
        &mut self,
        now: Instant,
        service: &str,
        rollouts: &Rollouts,
        versions: &ServiceVersions,
        list: &ListCondition<'_>,
    ) -> Option<Incumbent> {
        let record = |version: &str, order_revision, record, reason| Incumbent {
            service: service.to_owned(),
            version: version.to_owned(),
            order_revision,
            record,
            reason,
            zones: versions.zones(version),
        };
        let known = rollouts.incumbent(service);
        let Some(known) = known else {
            let first = rollouts.first_version(service, versions);
            let first = first.filter(|_| list.is_complete)?;
            return Some(record(first, 0, 1, IncumbentReason::First));
        };
        let is_listed = versions.0.contains_key(&known.version);
        if !known.is_recorded() {
            let is_due = list.is_complete && (is_listed || known.order_revision > 0);
            let next = record(&known.version, known.order_revision, 1, known.reason);
            return is_due.then_some(next);
        }
        let is_zone_silent = known
            .zones
            .iter()
            .any(|zone| !list.zones.contains(zone.as_str()));
        let may_end = list.is_complete && !is_zone_silent && !rollouts.is_undecided(service);
        if is_listed || !may_end {
            self.absent_since.remove(service);
            return None;
        }
        let since = self.absent_since.entry(service.to_owned()).or_insert(now);
        if now.saturating_duration_since(*since) < ABSENCE {
            return None;
        }
        let rolled_back = rollouts.rolled_back_version(service);
        let next = versions.oldest(rolled_back)?;
        let number = known.record + 1;
        let reason = IncumbentReason::NoneLeft;
        Some(record(next, known.order_revision, number, reason))
    }
}
