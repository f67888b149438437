//! Messages that hosts send each other.

use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use steering::history::{Entry, Position, Snapshot};
use steering::ids::{Incarnation, Revision};
use steering::load_estimate::{ServiceLoad, ZoneSummary};
use steering::membership::{Heartbeat, HostEntry};
use steering::route::{
    Changes, Feed, FeedDigest, FeedUpdate, FeedVersion, HostCondition, Record, StoreUptime,
};

use crate::codec::write_records;
use crate::names::ServiceNames;
use crate::traffic::PeerTraffic;

/// Data about this host that all its connections to other hosts share.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// Name, zone and addresses of this host.
    pub host: HostEntry,
    /// Incarnation of this host: one run of its process.
    pub incarnation: Incarnation,
    /// Secret key shared by all hosts of the deployment.
    pub key: Rc<[u8]>,
    /// Services known to this host.
    pub names: Rc<ServiceNames>,
    /// Counters of bytes sent to and received from other hosts.
    pub traffic: Rc<PeerTraffic>,
}

/// A heartbeat with the data sent along with it.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatMessage {
    /// Liveness of the sender and its view of other hosts.
    pub heartbeat: Heartbeat,
    /// Configuration revision in force on the sender.
    pub revision: Revision,
    /// Load of the sender's own pools, summed by service.
    pub loads: Vec<ServiceLoad>,
    /// What the sender reports about itself.
    pub condition: Option<HostCondition>,
}

impl HeartbeatMessage {
    /// Returns the size of the encoded message, in bytes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        crate::codec::write_heartbeat(message.init_root(), self);
        capnp::serialize::compute_serialized_size_in_words(&message) * 8
    }
}

/// Request to exchange configuration entries and zone summaries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Exchange {
    /// Configuration revision of the sender.
    pub position: Position,
    /// Zone summaries known to the sender.
    pub summaries: Vec<ZoneSummary>,
}

/// The answer to an exchange.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExchangeReply {
    /// Configuration revision of the responder.
    pub position: Position,
    /// Entries that the sender of the request lacks, by ascending revision.
    pub entries: Vec<Entry>,
    /// The whole document, if the responder no longer has the entries.
    pub snapshot: Option<Snapshot>,
    /// Zone summaries known to the responder.
    pub summaries: Vec<ZoneSummary>,
}

/// A feed update, encoded once for all receivers.
#[derive(Debug, Clone, PartialEq)]
pub struct EncodedUpdate {
    pub(crate) feed: Feed,
    pub(crate) version: FeedVersion,
    pub(crate) digest: FeedDigest,
    pub(crate) records: Vec<u8>,
    /// Instant at which the store's answer was valid; its age is computed when the message is sent.
    pub(crate) as_of: Instant,
    store_uptime: StoreUptime,
    /// Instant at which `store_uptime` was measured.
    encoded_at: Instant,
}

impl EncodedUpdate {
    /// Encodes an update whose store uptime was measured at `encoded_at`.
    ///
    /// Records that take more than `max_bytes` are omitted. A receiver that lacks them detects
    /// this by the digest and requests them.
    pub fn new(update: &FeedUpdate, max_bytes: usize, encoded_at: Instant) -> Self {
        let empty = || write_records(&Vec::<Record>::new(), usize::MAX);
        let records = write_records(&update.records, max_bytes).or_else(empty);
        EncodedUpdate {
            feed: update.feed,
            version: update.version,
            digest: update.digest,
            records: records.expect("records can be encoded"),
            as_of: update.as_of,
            store_uptime: update.store_uptime,
            encoded_at,
        }
    }

    /// Returns the store uptime including the time since the update was encoded.
    pub(crate) fn store_uptime(&self, now: Instant) -> StoreUptime {
        let waited = now.saturating_duration_since(self.encoded_at);
        StoreUptime {
            answering_for: self.store_uptime.answering_for + waited,
            ..self.store_uptime
        }
    }
}

/// The records that a host has applied from a feed of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedState {
    /// All records, or those applied after a version.
    pub changes: Changes,
    /// Instant, by this host's clock, at which the underlying answer of the store was valid. May
    /// be too early, never too late.
    pub as_of: Instant,
    /// Cursor to query the rest with; none if this is the last page.
    pub next: Option<StateCursor>,
}

impl FeedState {
    /// Appends the next page.
    pub(crate) fn append(&mut self, page: FeedState) {
        self.changes.records.extend(page.changes.records);
        // A list of changes includes those made while it was fetched.
        if !self.changes.whole {
            self.changes.version = page.changes.version;
        }
        self.as_of = self.as_of.min(page.as_of);
        self.next = page.next;
    }
}

/// Why a host does not answer a query for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StateError {
    /// The host has just started and is reading the feed. It will have the state soon.
    #[display("the feed is being read")]
    Loading,
    /// The host does not have what is queried, and may never have it.
    #[display("no such state")]
    Unavailable,
}

/// Position in the answer to a query that takes several pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateCursor {
    /// The next page begins after the record with this key.
    Key(String),
    /// The next page begins after this number of changes.
    Offset(usize),
}

/// Query for the records that a host has applied from a feed of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateQuery {
    /// The queried feed.
    pub feed: Feed,
    /// Latest version known to the sender; none requests all records.
    pub after: Option<FeedVersion>,
    /// Maximum age of the underlying answer of the store; none accepts any age.
    #[serde(rename = "most_age")]
    pub max_age: Option<Duration>,
    /// Start of the queried page; none queries the first page.
    #[serde(default)]
    pub cursor: Option<StateCursor>,
}
