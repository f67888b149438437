//! Progress of a starting host in reading the list of hosts.

/// What a starting host has read of the list of hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ListProgress {
    /// Nothing; the first request is in progress.
    #[default]
    Nothing,
    /// The hosts of its own zone, without the other hosts.
    OwnZone,
    /// The whole list, unless the request for it has failed.
    Complete,
}
