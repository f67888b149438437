//! Interface to the store for hosts that serve routes: feeds of operators' and upstreams' records,
//! and rows that stagedeck itself writes.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, Error};
use steering::ids::ZoneName;
use steering::route::{Changes, Feed, FeedVersion, Incumbent, Record, RolloutStatus};

/// Future of a call to the store; not `Send`, since all calls are made on one thread.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, RecordError>> + 'a>>;

/// A row that stagedeck itself writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRow {
    /// Key of the row within its table.
    pub key: String,
    /// Encoded value of the row.
    pub value: Vec<u8>,
}

/// Version of a row; 0 if there is no row.
pub type RowVersion = u64;

/// The row of a roll-out, as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutRow {
    /// Version of the row; 0 if there is none.
    pub version: RowVersion,
    /// Status in the row; none if there is no row or it can't be decoded.
    pub status: Option<RolloutStatus>,
    /// Time by the store's clock at which the row was read.
    pub store_time: Duration,
}

/// What stagedeck has written about versions of services.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct VersionRows {
    /// Statuses of the last roll-outs.
    pub statuses: Vec<RolloutStatus>,
    /// Versions in use, with the versions of their rows.
    pub incumbents: Vec<(Incumbent, RowVersion)>,
    /// Keys of rows that can't be decoded, and why.
    pub refused: Vec<(String, String)>,
}

impl VersionRows {
    /// Returns the rows as records, as hosts send them to each other.
    pub fn records(&self) -> impl Iterator<Item = Record> {
        let statuses = self.statuses.iter().cloned().map(Record::Rollout);
        let incumbents = self.incumbents.iter();
        let incumbents = incumbents.map(|(incumbent, _)| Record::Incumbent(incumbent.clone()));
        statuses.chain(incumbents)
    }
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The store can't be reached or did not answer in time; a write may have taken effect.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The store rejected the call with this HTTP status; nothing was written.
    #[display("rejected with status {_0}")]
    Rejected(#[error(not(source))] u16),
    /// The store no longer has the changes after the version; the whole feed must be read.
    #[display("the history is no longer available")]
    HistoryGone,
    /// The answer could not be decoded.
    #[display("invalid answer: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// Table of [`Feed::Hosts`]. Contains a row for each host: the key is that of
/// [`host_row_key`](crate::host_row_key), the value its [`steering::membership::HostEntry`] as JSON.
pub const HOSTS_TABLE: &str = "hosts";

/// Row of [`HOSTS_TABLE`] with the shared key by which hosts authenticate each other. The row is in
/// the same table as the hosts, so that a starting host reads both at once. No host may have
/// this name.
pub const PEER_KEY_ROW: &str = "*peer-key";

/// Table with the statuses of roll-outs. The key is the name of the service, the value a
/// [`steering::route::RolloutStatus`] as JSON.
pub const ROLLOUTS_TABLE: &str = "rollouts";

/// Table with the versions of services that are in use. The key is the name of the service,
/// the value a [`steering::route::Incumbent`] as JSON.
pub const INCUMBENTS_TABLE: &str = "incumbents";

/// The store, as used by hosts that serve routes.
pub trait RecordStore {
    /// Reads all records of a feed.
    fn read(&self, feed: Feed) -> StoreFuture<'_, Changes>;
    /// Reads the list of hosts if it is short. Otherwise reads the rows of a zone and the shared
    /// key, which are not a complete snapshot.
    fn read_hosts(&self, zone: &ZoneName) -> StoreFuture<'_, Changes>;
    /// Waits up to `wait` for changes after the version `after`; returns no records if there are
    /// none.
    fn watch(&self, feed: Feed, after: FeedVersion, wait: Duration) -> StoreFuture<'_, Changes>;
    /// Writes a row; replaces an existing one.
    fn put(&self, table: &'static str, row: OwnRow) -> StoreFuture<'_, ()>;
    /// Inserts a row; returns false if the row exists.
    fn create(&self, table: &'static str, row: OwnRow) -> StoreFuture<'_, bool>;
    /// Reads the row of a service's last roll-out.
    fn read_rollout(&self, service: &str) -> StoreFuture<'_, RolloutRow>;
    /// Writes the status of a roll-out, also for operators, if its row still has the version
    /// `expected`. Returns the new version of the row; none if the row has another version.
    fn write_rollout(
        &self,
        status: &RolloutStatus,
        expected: RowVersion,
    ) -> StoreFuture<'_, Option<RowVersion>>;
    /// Reads the statuses of all roll-outs and all versions in use. A row that
    /// can't be decoded does not keep the others from being read.
    fn read_versions(&self) -> StoreFuture<'_, VersionRows>;
    /// Writes the version of a service that is in use, if its row still has the version
    /// `expected`. Returns the new version of the row; none if the row has another version.
    fn write_incumbent(
        &self,
        incumbent: &Incumbent,
        expected: RowVersion,
    ) -> StoreFuture<'_, Option<RowVersion>>;
    /// Removes a row; succeeds if there is no such row.
    fn remove(&self, table: &'static str, key: &str) -> StoreFuture<'_, ()>;
}
