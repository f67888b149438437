//! Interfaces of the platform's table service and object store.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::HostList;

/// Key of a row.
pub type Key = String;
/// Version of a row; increases by 1 with each write.
pub type Version = u64;

/// Version of a row that does not exist.
pub const ABSENT: Version = 0;

/// The result of reading a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Version of the row; [`ABSENT`] if the row does not exist.
    pub version: Version,
    /// Value of the row; empty if the row does not exist.
    pub value: String,
}

/// A condition that must hold for a transaction to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row to check.
    pub key: Key,
    /// Version that the row must have.
    pub version: Version,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row to write.
    pub key: Key,
    /// New value; none removes the row.
    pub value: Option<String>,
}

/// Writes that take effect atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Required versions of rows, all of which must match.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of a row that must have the given version.
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

    /// Adds a write of a row that must not exist.
    pub fn insert(self, key: impl Into<Key>, value: String) -> Self {
        self.replace(key, ABSENT, value)
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Commit {
    /// The transaction took effect.
    Done,
    /// The transaction had no effect. Contains the current rows whose conditions did not hold.
    Conflict(Vec<Row>),
}

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The platform can't be reached; the request had no effect.
    #[display("the platform can't be reached: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The request was sent, but it is unknown whether the request took effect.
    #[display("the platform's answer was lost: {_0}")]
    AnswerLost(#[error(not(source))] String),
    /// The answer could not be decoded.
    #[display("the platform's answer is invalid: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// The transactional table service.
pub trait Table: Send {
    /// Reads rows by key, in the order of `keys`; missing rows have version [`ABSENT`].
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, StoreError>;
    /// Reads up to `limit` rows whose key starts with `prefix` and is greater than `after`, sorted
    /// by key.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;
    /// Commits a transaction, unless a condition does not hold.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError>;
}

/// The object store.
pub trait ObjectStore: Send {
    /// Writes an object; replaces an existing one.
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError>;
    /// Reads an object; none if the object does not exist.
    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// All services of the platform.
pub trait Platform: Table + ObjectStore + HostList {}

impl<T: Table + ObjectStore + HostList> Platform for T {}

/// Reads one row, which may not exist.
pub(crate) fn read_one(table: &dyn Platform, key: &str) -> Result<Row, StoreError> {
    let rows = table.read(&[key.to_owned()])?;
    rows.into_iter()
        .next()
        .ok_or_else(|| StoreError::InvalidAnswer(format!("no row for `{key}`")))
}

/// Decodes the value of a row, which is stored as JSON.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, StoreError> {
    serde_json::from_str(&row.value)
        .map_err(|error| StoreError::InvalidAnswer(format!("row `{}`: {error}", row.key)))
}

/// Encodes a value as JSON, as stored in rows.
pub(crate) fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows are always valid JSON")
}
