//! Decides whether hosts have left the old version, from their reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::status::RolloutStatus;
use crate::ids::HostName;

/// Age up to which a report holds. A host that receives nothing for longer goes back to the old
/// version by itself.
const REPORT_VALID_FOR: Duration = Duration::from_secs(2);
/// Time without any message of a host after which it counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct MoveReport {
    /// Number of the status that the host applies.
    sequence: u64,
    /// Whether requests of the host run at the old version.
    uses_old_version: bool,
    reported_at: Instant,
    /// Time of the host's last message of whatever kind.
    heard_at: Instant,
}

/// Reports of hosts on the version that they use.
#[derive(Debug, Default)]
pub(super) struct MovedHosts {
    reports: BTreeMap<HostName, MoveReport>,
}

impl MovedHosts {
    /// Records a report.
    pub fn report(&mut self, now: Instant, host: &str, sequence: u64, uses_old_version: bool) {
        let report = MoveReport {
            sequence,
            uses_old_version,
            reported_at: now,
            heard_at: now,
        };
        self.reports.insert(host.to_owned(), report);
    }

    /// Records that a host sent something else.
    pub fn heard(&mut self, at: Instant, host: &str) {
        if let Some(report) = self.reports.get_mut(host) {
            report.heard_at = report.heard_at.max(at);
        }
    }

    /// Returns whether a host sends to the new version only, or is gone. A host that sends
    /// heartbeats but no reports is slow, not gone; one that has not reported is not known.
    pub fn has_moved(&self, host: &str, status: &RolloutStatus, now: Instant) -> bool {
        let Some(report) = self.reports.get(host) else {
            return false;
        };
        let age = |at: Instant| now.saturating_duration_since(at);
        let applies = report.sequence >= status.sequence && !report.uses_old_version;
        let is_gone = age(report.heard_at) > GONE_AFTER;
        is_gone || (applies && age(report.reported_at) <= REPORT_VALID_FOR)
    }
}
