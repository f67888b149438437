//! Origin of a feed's records.

use std::time::Instant;

use derive_more::Display;

/// Which kind of source the records came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Source {
    /// An answer of the store.
    #[display("store")]
    Store,
    /// An update that another host sent unasked.
    #[display("news")]
    Update,
    /// Another host's answer to a request for missing records or for the whole feed.
    #[display("state")]
    State,
}

/// Source and age of a feed's records.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub source: Source,
    /// Lower bound of the time at which the records matched the store.
    pub as_of: Instant,
}
