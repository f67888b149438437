//! Feeds of operators' documents, upstreams' reports and host rows, as received from the
//! store or from another host.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::document::RouteDocument;
use super::document_change::DocumentChange;
use super::reported_upstream::{ReportedUpstream, UpstreamId};
use super::rollout::{Incumbent, RolloutOrder, RolloutStatus, RolloutStop};
use super::store_answers::StoreUptime;
use crate::ids::{HostName, ServiceName, ZoneName};
use crate::membership::HostEntry;

/// Position in a feed; increases with each change.
pub type FeedVersion = u64;

/// Hash of all records that a host has applied from a feed. Two hosts with the same digest
/// have applied the same records.
pub type FeedDigest = u64;

/// Subject of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Feed {
    /// Operators' documents and evacuations.
    #[display("routes")]
    Routes,
    /// Upstreams' reports.
    #[display("upstreams")]
    Upstreams,
    /// The list of hosts.
    #[display("hosts")]
    Hosts,
}

impl Feed {
    /// All feeds, in the order of their numbers.
    pub const ALL: [Feed; 3] = [Feed::Routes, Feed::Upstreams, Feed::Hosts];
}

/// A record of a feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A new document.
    Document(Box<RouteDocument>),
    /// Differences of a new document from the previous one. Hosts send it to each other;
    /// the store never contains it.
    DocumentChange(Box<DocumentChange>),
    /// The evacuation of a zone begins or ends.
    Evacuation {
        /// Name of the zone.
        zone: ZoneName,
        /// Whether the zone must get no work.
        wanted: bool,
    },
    /// An operator's order to roll out a version.
    RolloutOrder(RolloutOrder),
    /// The order of a service was withdrawn.
    RolloutOrderGone(ServiceName),
    /// The status of a roll-out. Hosts send it to each other; the operator's rows never
    /// contain it.
    Rollout(RolloutStatus),
    /// The decision to roll back, which the store may not have yet. Hosts send it to each
    /// other; the operator's rows never contain it.
    RolloutStop(RolloutStop),
    /// The version of a service that is in use. Hosts send it to each other; the operator's
    /// rows never contain it.
    Incumbent(Incumbent),
    /// An upstream's report.
    Upstream(ReportedUpstream),
    /// An upstream's report was removed.
    UpstreamGone(UpstreamId),
    /// A host's row.
    Host(HostEntry),
    /// A host's row was removed.
    HostGone(HostName),
    /// The key with which hosts authenticate each other; hosts never send it to each other.
    PeerKey(Vec<u8>),
    /// A record that can't be used; the previous valid record stays in force.
    Unusable {
        /// Key of the record in the store.
        key: String,
        /// Why the record can't be used.
        reason: String,
    },
}

impl Record {
    /// Returns whether the record is none of the operators' or upstreams'. It may come without
    /// a new version of the feed, and the newest one holds in whatever order they come.
    pub fn is_of_hosts(&self) -> bool {
        matches!(
            self,
            Record::Rollout(_) | Record::RolloutStop(_) | Record::Incumbent(_)
        )
    }
}

/// Changes of a feed, or a complete snapshot at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// Whether these are all records, so that a missing record has been removed.
    pub whole: bool,
    /// Records in feed order.
    pub records: Vec<Record>,
    /// Version from which to continue.
    pub version: FeedVersion,
}

/// An update of a feed from one host to others, so that not every host polls the store.
///
/// Only changes are sent, because most records repeat known ones. The digest shows whether
/// the receiver misses any.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedUpdate {
    /// Feed that the update belongs to.
    pub feed: Feed,
    /// Version of the feed up to which the sender has applied changes.
    pub version: FeedVersion,
    /// Digest of all that the sender has applied up to `version`.
    pub digest: FeedDigest,
    /// Time for which the store has answered, as far as the sender knows.
    pub store_uptime: StoreUptime,
    /// Time at which the underlying answer of the store was current, by this host's clock.
    /// Never later than the actual time.
    pub as_of: Instant,
    /// Changed records in feed order.
    pub records: Vec<Record>,
}
