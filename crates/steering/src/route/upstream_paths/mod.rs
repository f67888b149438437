//! How this host's connections to upstreams are made: directly, or through another host that
//! relays their bytes.

mod relay_admission;
mod relay_host;
mod relay_records;
mod zone_path;

use std::collections::HashMap;
use std::time::{Duration, Instant};

pub use relay_admission::{RelayAdmission, RelayDecision, max_relays};
pub use relay_host::{Place, RelayHost, relay_order};
pub use relay_records::{RelayRecords, relay_wait};
pub use zone_path::{CheckResult, ConnectPlan, PathChange, ZonePath};

use super::health::AnswerOutcome;
use crate::ids::ZoneName;

/// The paths to the upstreams of each zone.
#[derive(Debug, Default)]
pub struct UpstreamPaths {
    zones: HashMap<ZoneName, ZonePath>,
}

impl UpstreamPaths {
    /// Returns how to connect to an upstream of a zone.
    pub fn plan(&mut self, now: Instant, zone: &str) -> ConnectPlan {
        // A host that is cut off from one zone is often cut off from others too.
        let others = self.zones.iter().filter(|(name, _)| *name != zone);
        let is_other_relayed = others.into_iter().any(|(_, path)| path.is_relayed());
        self.zone(zone).plan(now, is_other_relayed)
    }

    /// Returns whether connections to a zone's upstreams go through other hosts.
    pub fn is_relayed(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(ZonePath::is_relayed)
    }

    /// Returns the path to a zone, which is direct at first.
    pub fn zone(&mut self, zone: &str) -> &mut ZonePath {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.to_owned(), ZonePath::default());
        }
        self.zones
            .get_mut(zone)
            .expect("the entry exists or was just inserted")
    }

    /// Returns the number of zones whose upstreams are reached through other hosts.
    pub fn relayed_zones(&self) -> usize {
        let zones = self.zones.values();
        zones.filter(|path| path.is_relayed()).count()
    }

    /// Returns whether the upstreams of all these zones are reached through other hosts only; false
    /// if there are none.
    pub fn are_all_relayed<'a>(&self, zones: impl IntoIterator<Item = &'a ZoneName>) -> bool {
        let mut zones = zones.into_iter().peekable();
        zones.peek().is_some() && zones.all(|zone| self.is_relayed(zone))
    }
}

/// A request on a direct connection that has ended or got its answer's head.
#[derive(Debug, Clone, Copy)]
pub struct DirectResult {
    /// When it was sent.
    pub sent_at: Instant,
    /// Whether it was the first request on its connection.
    pub is_first: bool,
    /// Longest expected work on it.
    pub work: Duration,
    /// What came of it.
    pub outcome: AnswerOutcome,
}
