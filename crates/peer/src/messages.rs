//! What hosts tell each other.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use steering::history::{Entry, Position, Snapshot};
use steering::ids::{Incarnation, Revision};
use steering::load_estimate::{ServiceLoad, ZoneSummary};
use steering::membership::{Heartbeat, HostEntry};
use steering::route::{Changes, Feed, FeedDigest, FeedUpdate, FeedVersion, Record, StoreUptime};

use crate::codec::write_records;
use crate::names::ServiceNames;
use crate::traffic::PeerTraffic;

/// This host, as all its connections to others share it.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// Where it can be reached.
    pub host: HostEntry,
    /// Its start.
    pub incarnation: Incarnation,
    /// Key that the deployment's hosts share.
    pub key: Rc<[u8]>,
    /// Services that it knows.
    pub names: Rc<ServiceNames>,
    /// Bytes to and from other hosts.
    pub traffic: Rc<PeerTraffic>,
}

/// A heartbeat with what rides on it.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatMessage {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Revision in force at the sender.
    pub revision: Revision,
    /// Load of the pools that the sender owns, summed by service.
    pub loads: Vec<ServiceLoad>,
}

impl HeartbeatMessage {
    /// Size of the message that carries it, in bytes.
    pub fn wire_bytes(&self) -> usize {
        let mut message = capnp::message::Builder::new_default();
        crate::codec::write_beat(message.init_root(), self);
        capnp::serialize::compute_serialized_size_in_words(&message) * 8
    }
}

/// An exchange of configuration and summaries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Exchange {
    /// Where the sender stands.
    pub position: Position,
    /// What it knows of zones.
    pub summaries: Vec<ZoneSummary>,
}

/// The answer to an exchange.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExchangeReply {
    /// Where the answerer stands.
    pub position: Position,
    /// Entries that the sender lacks, in order.
    pub entries: Vec<Entry>,
    /// A whole document, where the entries are no longer held.
    pub snapshot: Option<Snapshot>,
    /// What the answerer knows of zones.
    pub summaries: Vec<ZoneSummary>,
}

/// A part of a feed, encoded once for all who are told.
#[derive(Debug, Clone, PartialEq)]
pub struct EncodedUpdate {
    pub(crate) feed: Feed,
    pub(crate) version: FeedVersion,
    pub(crate) digest: FeedDigest,
    pub(crate) records: Vec<u8>,
    /// When the store's answer was true; its age is told when the message is sent.
    pub(crate) as_of: Instant,
    store: StoreUptime,
    /// When `store` was so.
    made: Instant,
}

impl EncodedUpdate {
    /// Encodes news that were so at `made`. Where the records take more than `most_bytes`
    /// they are left out: whoever lacks them sees it by the digest, and asks for them.
    pub fn new(news: &FeedUpdate, most_bytes: usize, made: Instant) -> Self {
        let none = || write_records(&Vec::<Record>::new(), usize::MAX);
        let records = write_records(&news.records, most_bytes).or_else(none);
        EncodedUpdate {
            feed: news.feed,
            version: news.version,
            digest: news.digest,
            records: records.expect("records can be written"),
            as_of: news.as_of,
            store: news.store_uptime,
            made,
        }
    }

    /// Since when the store has answered, as it is told at `now`.
    pub(crate) fn store(&self, now: Instant) -> StoreUptime {
        let waited = now.saturating_duration_since(self.made);
        StoreUptime {
            answering_for: self.store.answering_for + waited,
            ..self.store
        }
    }
}

/// What a host has taken from a feed of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct FeedState {
    /// All of it, or what it took since a version.
    pub changes: Changes,
    /// When the store's answer on which it rests was true, by the own clock; never later than
    /// that.
    pub as_of: Instant,
}

/// Asks a host what it has taken from a feed of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateQuery {
    /// The feed.
    pub feed: Feed,
    /// Version that is known already; all is wanted where none is.
    pub after: Option<FeedVersion>,
    /// Time since the store was last heard beyond which an answer is of no use; none where
    /// any answer is better than none.
    #[serde(rename = "most_age")]
    pub max_age: Option<Duration>,
}
