//! A host that look-ups may name.

use std::net::SocketAddr;

use super::host_condition::{FULL_USE_PER_MILLE, HostCondition};
use crate::host_capacity::HostCapacity;
use crate::ids::ZoneName;

/// Part of a host's use above its capacity by which its weight falls. With the whole of it, callers
/// that follow seconds later would move back and forth.
const EXCESS_FRACTION: f64 = 0.5;
/// Use that weighs no less than this, so that a host that is very busy still gets callers by which
/// it notices that it is no longer busy, in thousandths.
const MAX_USE_PER_MILLE: u16 = 4_000;

/// A host that callers may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LookUpHost {
    /// Address for callers' requests.
    pub address: SocketAddr,
    /// Zone of the host.
    pub zone: ZoneName,
    /// Capacity of its machine.
    pub capacity: HostCapacity,
    /// What the host last reported about itself; the default value if that is unknown or too old.
    pub condition: HostCondition,
}

impl LookUpHost {
    /// Returns by what the host's use divides its weight; 1 for a host whose resources suffice.
    pub(super) fn use_divisor(&self) -> f64 {
        let used = self.condition.use_per_mille.min(MAX_USE_PER_MILLE);
        let excess = used.saturating_sub(FULL_USE_PER_MILLE);
        1.0 + f64::from(excess) / f64::from(FULL_USE_PER_MILLE) * EXCESS_FRACTION
    }
}
