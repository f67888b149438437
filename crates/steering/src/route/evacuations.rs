//! Zones that must get no work.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::feed::{FeedDigest, Record};
use crate::ids::ZoneName;

/// Zones that are or were evacuated.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Evacuations {
    /// Zones that must get no work now.
    pub wanted: BTreeSet<ZoneName>,
    /// Time at which each evacuation ended. Upstreams may have turned cold shortly before
    /// and say so only in their next report, so they count as cold until a warm-up from
    /// that time would be over.
    pub ended: BTreeMap<ZoneName, Instant>,
}

impl Evacuations {
    /// Replaces the set of evacuated zones and returns the changes.
    pub fn take(&mut self, now: Instant, wanted: BTreeSet<ZoneName>) -> Vec<Record> {
        let ended: Vec<ZoneName> = self.wanted.difference(&wanted).cloned().collect();
        let changes = wanted.symmetric_difference(&self.wanted);
        let changes = changes.map(|zone| Record::Evacuation {
            zone: zone.clone(),
            wanted: wanted.contains(zone),
        });
        let changes = changes.collect();
        self.ended.extend(ended.into_iter().map(|zone| (zone, now)));
        self.wanted = wanted;
        changes
    }

    /// Returns the digest of the zones that must get no work now.
    pub fn digest(&self) -> FeedDigest {
        let zones = self.wanted.iter();
        zones.fold(0, |digest, zone| {
            digest ^ crate::rendezvous::hash(zone.as_bytes())
        })
    }
}
