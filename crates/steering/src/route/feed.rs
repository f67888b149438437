//! What operators and upstreams say, as it comes from a store or from another host.

use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::document::RouteDocument;
use super::document_change::DocumentChange;
use super::store_answers::Answering;
use super::upstream::{ReportedUpstream, UpstreamId};
use crate::ids::{HostName, ZoneName};
use crate::membership::HostEntry;

/// Place in a feed; rises with each change.
pub type FeedVersion = u64;

/// Hash of all that a host has taken from a feed. Two hosts with the same digest have
/// taken the same.
pub type FeedDigest = u64;

/// What a feed is about.
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

/// One thing that a feed says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A new document.
    Document(Box<RouteDocument>),
    /// What a new document changes; passed on by hosts, never in a store.
    DocumentChange(Box<DocumentChange>),
    /// A zone is to get no work, or may get it again.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether it is to get none.
        wanted: bool,
    },
    /// An upstream's report.
    Upstream(ReportedUpstream),
    /// An upstream's report is no longer there.
    UpstreamGone(UpstreamId),
    /// A host's row.
    Host(HostEntry),
    /// A host's row is no longer there.
    HostGone(HostName),
    /// The key that hosts prove to each other; never passed on by hosts.
    PeerKey(Vec<u8>),
    /// Something that can't be used; what it replaces stays in force.
    Unusable {
        /// Where it stands.
        key: String,
        /// Why.
        reason: String,
    },
}

/// Part of a feed, or all of it as of one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// Whether these are all records, so that what is lacking is gone.
    pub whole: bool,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Where to go on.
    pub version: FeedVersion,
}

/// What one host has learned from a feed and passes on, so that not all ask the store.
///
/// Only what has changed is told: most records repeat what is known. Whether nothing
/// is missing shows in the digest.
#[derive(Debug, Clone, PartialEq)]
pub struct News {
    /// The feed.
    pub feed: Feed,
    /// Place in the feed up to which the teller has come.
    pub version: FeedVersion,
    /// Digest of all that the teller has taken up to there.
    pub digest: FeedDigest,
    /// Since when the store has answered, as far as the teller knows.
    pub store: Answering,
    /// When the store's answer on which this rests was true, by the own clock; never later
    /// than that.
    pub as_of: Instant,
    /// What has changed, in order.
    pub records: Vec<Record>,
}
