//! How many hosts of each capacity a region has.

use std::collections::BTreeMap;

use crate::host_capacity::{CapacityUnits, HostCapacity};

/// Largest factor by which a host stands for hosts of its capacity that are not known to be alive,
/// as a multiple of the average one: they may be gone.
const MAX_RELATIVE_FACTOR: f64 = 2.0;

/// Numbers of hosts by capacity.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionSizes {
    /// Never holds a zero.
    counts: BTreeMap<CapacityUnits, usize>,
}

impl RegionSizes {
    /// Counts hosts of known capacity.
    pub fn new(capacities: impl Iterator<Item = HostCapacity>) -> Self {
        RegionSizes::of_units(capacities.filter_map(HostCapacity::units))
    }

    /// Counts hosts by their capacities.
    pub(super) fn of_units(units: impl Iterator<Item = CapacityUnits>) -> Self {
        let mut sizes = RegionSizes::default();
        for units in units {
            *sizes.counts.entry(units).or_default() += 1;
        }
        sizes
    }

    /// Returns the smallest capacity.
    pub(super) fn smallest(&self) -> Option<CapacityUnits> {
        self.counts.keys().next().copied()
    }

    /// Returns how many of these hosts one of `known` stands for, if hosts that know others of the
    /// region answer look-ups. Some of them know no host of a rare capacity, so that those that do
    /// name them more often.
    pub(super) fn represented_by(&self, known: &RegionSizes, units: CapacityUnits) -> f64 {
        let all = known.counts.iter();
        let all: usize = all.map(|(units, _)| self.count(known, *units)).sum();
        let unknown = self.counts.iter();
        let unknown = unknown.filter(|(units, _)| !known.counts.contains_key(units));
        let all = all + unknown.map(|(_, count)| count).sum::<usize>();
        let known_all: usize = known.counts.values().sum();
        let of_units = self.count(known, units);
        let known_of_units = known.counts.get(&units).copied().unwrap_or(0).max(1);
        let others = all - of_units;
        let knows_none: f64 = (0..known_all)
            .map(|drawn| others.saturating_sub(drawn) as f64 / (all - drawn) as f64)
            .product();
        let factor = of_units as f64 / known_of_units as f64 / (1.0 - knows_none);
        let average = all as f64 / known_all.max(1) as f64;
        factor.min(average * MAX_RELATIVE_FACTOR)
    }

    /// Returns the number of hosts of a capacity, of which those that are known may not be listed.
    fn count(&self, known: &RegionSizes, units: CapacityUnits) -> usize {
        let count = |sizes: &RegionSizes| sizes.counts.get(&units).copied().unwrap_or(0);
        count(self).max(count(known))
    }
}
