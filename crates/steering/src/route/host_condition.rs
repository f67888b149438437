//! What a host tells others about itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age from which a host's condition says nothing any more.
pub const MAX_CONDITION_AGE: Duration = Duration::from_millis(3_500);

/// Condition of a host, as it tells it on its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCondition {
    /// Whether the host reaches no upstream itself, so that other hosts relay all of its
    /// connections to them.
    pub is_cut_off: bool,
    /// Use of the host's scarcest resource, in thousandths; 0 if unknown. Above 1,000, the
    /// requests that it has taken wait for it.
    pub use_per_mille: u16,
    /// Connections that the host relays, in thousandths of those that it may relay.
    pub relay_use_per_mille: u16,
}
