//! What a host that serves routes needs of a store: feeds of what operators and
//! upstreams say, and a few rows of its own.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use derive_more::{Display, Error};
use steering::route::{Changes, Feed, FeedVersion};

/// A call in progress; calls are made on one thread.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, RecordError>> + 'a>>;

/// A row of the system's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnRow {
    /// Its key within its table.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// Why a call brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The store can't be reached, or gave no answer in time; a write may have been done.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// It turned the call away and did nothing.
    #[display("turned away with status {_0}")]
    Rejected(#[error(not(source))] u16),
    /// The feed no longer goes back so far; it must be read whole.
    #[display("the history is gone")]
    HistoryGone,
    /// It answered with something that makes no sense.
    #[display("the answer makes no sense: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// Table behind [`Feed::Hosts`]: a row for each host under its name, its
/// [`steering::membership::HostEntry`] as JSON.
pub const HOSTS_TABLE: &str = "hosts";

/// Row of [`HOSTS_TABLE`] with the key that hosts prove to each other. It stands among the
/// hosts so that one read brings a host that starts both; no host may be named so.
pub const PEER_KEY_ROW: &str = "*peer-key";

/// The store, as hosts that serve routes see it.
pub trait RecordStore {
    /// Reads a feed whole.
    fn read(&self, feed: Feed) -> StoreFuture<'_, Changes>;
    /// Waits for what follows `after`, at most for `wait`; the records may be none.
    fn watch(&self, feed: Feed, after: FeedVersion, wait: Duration) -> StoreFuture<'_, Changes>;
    /// Writes a row, whatever was there.
    fn put(&self, table: &'static str, row: OwnRow) -> StoreFuture<'_, ()>;
    /// Writes a row where there is none; false where there is one.
    fn create(&self, table: &'static str, row: OwnRow) -> StoreFuture<'_, bool>;
    /// Takes a row away, whether or not it is there.
    fn remove(&self, table: &'static str, key: &str) -> StoreFuture<'_, ()>;
}
