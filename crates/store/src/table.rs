//! What the system needs of the platform's table service and object store.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::HostList;

/// Key of a row.
pub type Key = String;
/// Version of a row; each write adds 1.
pub type Version = u64;

/// Version of a row that is not there.
pub const ABSENT: Version = 0;

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Its version; [`ABSENT`] where it is not there.
    pub version: Version,
    /// Its value; empty where it is not there.
    pub value: String,
}

/// What must hold for a transaction to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Row that it is about.
    pub key: Key,
    /// Version that the row must have.
    pub version: Version,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Row to write.
    pub key: Key,
    /// New value; none takes the row away.
    pub value: Option<String>,
}

/// Writes that take effect together where all conditions hold, or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition and a write of the same row.
    pub fn replace(mut self, key: impl Into<Key>, version: Version, value: String) -> Self {
        let key = key.into();
        self.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        self.writes.push(Write {
            key,
            value: Some(value),
        });
        self
    }

    /// Adds a row that must not be there yet.
    pub fn insert(self, key: impl Into<Key>, value: String) -> Self {
        self.replace(key, ABSENT, value)
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// It took effect.
    Done,
    /// It did not; these rows as they are, whose conditions did not hold.
    Conflict(Vec<Row>),
}

/// Why the platform gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// It can't be reached; nothing was sent.
    #[display("the platform can't be reached: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The request was sent; whether it took effect is not known.
    #[display("the platform's answer was lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
    /// It answered with something that makes no sense.
    #[display("the platform's answer makes no sense: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// The transactional table service.
pub trait Table: Send {
    /// Reads rows by key; absent ones have version [`ABSENT`].
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, StoreError>;
    /// Reads rows whose key starts with `prefix` and comes after `after`, in order.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;
    /// Commits a transaction.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError>;
}

/// The object store.
pub trait ObjectStore: Send {
    /// Puts an object, whole.
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError>;
    /// Gets an object; none where it is not there.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// All of the platform.
pub trait Platform: Table + ObjectStore + HostList {}

impl<T: Table + ObjectStore + HostList> Platform for T {}

/// Reads one row.
pub(crate) fn read_one(table: &dyn Platform, key: &str) -> Result<Row, StoreError> {
    let rows = table.read(&[key.to_owned()])?;
    rows.into_iter()
        .next()
        .ok_or_else(|| StoreError::InvalidAnswer(format!("no row for `{key}`")))
}

/// Reads a value that is stored as JSON.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::InvalidAnswer(format!("row `{}`: {error}", row.key)))
}

/// A value as it is stored.
pub(crate) fn text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are always valid JSON")
}
