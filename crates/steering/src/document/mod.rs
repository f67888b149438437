//! The operators' configuration: services, upstreams, places, links and rules.

mod check;
mod edit;
mod identity;
mod objects;
mod proposal;

pub use check::{Problem, Problems};
pub use edit::{Change, Edit, EditError, Kind, ObjectId};
pub use identity::{HeaderValueOf, Identity};
pub use objects::{
    Block, Link, Operation, Place, Region, Rule, Service, TicketMode, Traffic, Upstream, Zone,
};

pub use proposal::{Proposal, Verdict};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A whole configuration, as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Regions; names are unique.
    pub regions: Vec<Region>,
    /// Availability zones; names are unique, regions must exist.
    pub zones: Vec<Zone>,
    /// Links between regions; each pair at most once.
    pub links: Vec<Link>,
    /// Services; names are unique.
    pub services: Vec<Service>,
    /// Upstreams; names and addresses are unique.
    pub upstreams: Vec<Upstream>,
    /// Rules; the first whose traffic matches decides.
    pub rules: Vec<Rule>,
    /// Client blocks and the zone nearest to each.
    ///
    /// Shared between revisions, since most changes leave them as they are.
    pub blocks: Arc<Vec<Block>>,
}

impl Document {
    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The zone with this name.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// The upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.name == name)
    }

    /// One way between two zones in milliseconds: within a region the larger
    /// of the zones' own figure, between regions that of the link.
    pub fn one_way_ms(&self, from: &str, to: &str) -> f64 {
        const UNKNOWN_LINK_MS: f64 = 50.0;
        if from == to {
            return 0.0;
        }
        let (Some(a), Some(b)) = (self.zone(from), self.zone(to)) else {
            return UNKNOWN_LINK_MS;
        };
        if a.region == b.region {
            return a.one_way_ms.max(b.one_way_ms);
        }
        self.links
            .iter()
            .find(|link| link.joins(&a.region, &b.region))
            .map_or(UNKNOWN_LINK_MS, |link| link.one_way_ms)
    }
}
