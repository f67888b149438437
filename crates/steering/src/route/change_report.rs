//! Decides how changes of upstreams are logged.

use super::catalog::CatalogChange;

/// Maximum number of changes of one update that are logged one by one. When a host starts,
/// one update has all upstreams of the deployment.
const MAX_LOGGED_CHANGES: usize = 16;

/// Log entries for the changes that one update has made.
#[derive(Debug, Clone, PartialEq)]
pub enum ChangeReport<'a> {
    /// One entry for each change.
    Each(&'a [CatalogChange]),
    /// One entry for all changes.
    Counts {
        /// Number of reports that are new or have changed, draining ones included.
        reported: usize,
        /// Number of those whose upstreams accept no more work.
        draining: usize,
        /// Number of reports that are gone.
        removed: usize,
    },
}

impl<'a> ChangeReport<'a> {
    /// Returns the entries for the changes of one update.
    pub fn new(changes: &'a [CatalogChange]) -> Self {
        if changes.len() <= MAX_LOGGED_CHANGES {
            return ChangeReport::Each(changes);
        }
        let reports = changes.iter().filter_map(|change| match change {
            CatalogChange::Reported(report) => Some(report),
            CatalogChange::Removed { .. } => None,
        });
        let reported = reports.clone().count();
        ChangeReport::Counts {
            reported,
            draining: reports.filter(|report| report.draining).count(),
            removed: changes.len() - reported,
        }
    }
}
