//! Clients of the platform's table service, object store and host list.
//!
//! All durable data, and all data that hosts must agree on, is stored here. If the answer to a
//! write is lost, the outcome is determined by reading the rows again, never assumed.

mod claims;
mod config;
mod host_rows;
mod hosts;
mod http;
mod records;
mod roster;
mod table;
mod worker;

pub use claims::{ClaimRequest, ClaimStore, ReceiptWrite};
pub use config::{ConfigStore, PollError};
pub use host_rows::{host_of_row, host_row_key, zone_row_keys};
pub use hosts::{HostList, ListedHost};
pub use http::{HttpPlatform, wire};
pub use records::{
    HOSTS_TABLE, INCUMBENTS_TABLE, OwnRow, PEER_KEY_ROW, ROLLOUTS_TABLE, RecordError, RecordStore,
    RolloutRow, RowVersion, StoreFuture, VersionRows,
};
pub use roster::RosterStore;
pub use table::{
    ABSENT, Commit, Condition, Key, ObjectStore, Platform, Row, StoreError, Table, Transaction,
    Version, Write,
};
pub use worker::{Worker, WorkerError};
