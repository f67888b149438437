//! The operators' configuration: regions, zones, links, services, upstreams, rules and
//! client blocks.

mod check;
mod edit;
mod identity;
mod objects;
mod proposal;

pub use check::{Problem, Problems};
pub use edit::{Change, Edit, EditError, Kind, ObjectId};
pub use identity::{HeaderLookup, Identity};
pub use objects::{
    Block, Link, Operation, Place, Region, Rule, Service, TicketMode, Traffic, Upstream, Zone,
};

pub use proposal::{Proposal, ProposalOutcome};

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A whole configuration as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Regions, with unique names.
    pub regions: Vec<Region>,
    /// Availability zones, with unique names; their regions must exist.
    pub zones: Vec<Zone>,
    /// Links between regions; at most one for each pair.
    pub links: Vec<Link>,
    /// Services, with unique names.
    pub services: Vec<Service>,
    /// Upstreams, with unique names and addresses.
    pub upstreams: Vec<Upstream>,
    /// Rules; the first one whose traffic selectors match a request applies.
    pub rules: Vec<Rule>,
    /// Client address blocks and the zone nearest to each.
    ///
    /// Shared between revisions, since most changes do not touch the blocks.
    pub blocks: Arc<Vec<Block>>,
}

impl Document {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds a zone by name.
    pub fn zone(&self, name: &str) -> Option<&Zone> {
        self.zones.iter().find(|zone| zone.name == name)
    }

    /// Finds an upstream by name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.name == name)
    }

    /// Returns the one-way network latency between two zones, in milliseconds.
    ///
    /// Within a region it is the larger of the two zones' `one_way_ms`, between regions
    /// the link's. Unknown zones and regions without a link count as 50 ms.
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
