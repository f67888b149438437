//! What a host reports to others about itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age from which a host's condition says nothing any more.
pub const MAX_CONDITION_AGE: Duration = Duration::from_millis(3_500);

/// Condition of a host, as it reports it on its heartbeats.
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

/// Use of a host whose resources suffice, in thousandths.
pub(super) const FULL_USE_PER_MILLE: u16 = 1_000;

impl HostCondition {
    /// Returns the condition with a use of 0 if the host's resources suffice, so that only changes
    /// by which other hosts decide differently make it differ.
    pub(super) fn significant(self) -> Self {
        let is_busy = self.use_per_mille > FULL_USE_PER_MILLE;
        HostCondition {
            use_per_mille: if is_busy { self.use_per_mille } else { 0 },
            ..self
        }
    }
}
