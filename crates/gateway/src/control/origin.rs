//! Where a part of a feed comes from.

use std::time::Instant;

use derive_more::Display;

/// Who told what a feed says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Source {
    /// The store.
    #[display("store")]
    Store,
    /// Another host, unasked.
    #[display("news")]
    News,
    /// Another host that was asked for what is missing, or for all.
    #[display("state")]
    State,
}

/// Where a part of a feed comes from, and how old it is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Origin {
    pub source: Source,
    /// When it was true in the store; never later than that.
    pub as_of: Instant,
}
