//! Capacity of a host's machine.

use serde::{Deserialize, Serialize};

/// Smallest link that is distinguished from slower ones, in Mbit/s.
const LINK_UNIT_MBPS: u32 = 10;
/// Smallest processor share that is distinguished from smaller ones, in thousandths of a core.
const CPU_UNIT_MILLICORES: u32 = 100;
/// Parts of a unit of capacity that are distinguished.
const UNIT_PARTS: u32 = 100;
/// Link bandwidth reserved for each host that loads a feed from this one, in Mbit/s. The
/// reports of 10,000 upstreams take some 6 Mbit.
const LINK_MBPS_PER_CHILD: u32 = 5;
/// Bounds of the number of hosts that load a feed from one host.
const CHILDREN_BOUNDS: (usize, usize) = (2, 32);
/// Number of hosts that load a feed from a host of unknown capacity.
const DEFAULT_CHILDREN: usize = 4;

/// Capacity of a machine, as an amount of its scarcer resource.
pub type CapacityUnits = u32;

/// Capacity of a host's machine, from its settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCapacity {
    /// Bandwidth of the link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Processor time in thousandths of a core; 0 if unknown.
    pub cpu_millicores: u32,
}

impl HostCapacity {
    /// Returns the level of the scarcer resource; each level stands for twice the capacity
    /// of the one below. 0 if a resource is unknown or tiny.
    pub fn level(self) -> u32 {
        let link_units = self.link_mbps / LINK_UNIT_MBPS;
        let cpu_units = self.cpu_millicores / CPU_UNIT_MILLICORES;
        let units = link_units.min(cpu_units);
        units.checked_ilog2().map_or(0, |level| level + 1)
    }

    /// Returns the amount of the scarcer resource, in units that suit each other; `None` if a
    /// resource is unknown.
    pub fn units(self) -> Option<CapacityUnits> {
        let link_units = self.link_mbps.saturating_mul(UNIT_PARTS) / LINK_UNIT_MBPS;
        let cpu_units = self.cpu_millicores.saturating_mul(UNIT_PARTS) / CPU_UNIT_MILLICORES;
        let units = link_units.min(cpu_units);
        (units > 0).then_some(units)
    }

    /// Returns the number of hosts to which the host sends a whole feed at the same time.
    pub fn max_children(self) -> usize {
        let (min, max) = CHILDREN_BOUNDS;
        match self.link_mbps {
            0 => DEFAULT_CHILDREN,
            mbps => ((mbps / LINK_MBPS_PER_CHILD) as usize).clamp(min, max),
        }
    }
}
