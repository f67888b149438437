//! Table service, object store and host list of the platform.
//!
//! All that must last or be agreed goes through here. An answer that is lost
//! after its write took effect is settled by reading back, never by a guess.

mod claims;
mod config;
mod hosts;
mod http;
mod records;
mod roster;
mod table;
mod worker;

pub use claims::{ClaimRequest, ClaimStore, ReceiptWrite};
pub use config::{ConfigStore, PollError};
pub use hosts::{HostList, ListedHost};
pub use http::{HttpPlatform, wire};
pub use records::{HOSTS_TABLE, OwnRow, PEER_KEY_ROW, RecordError, RecordStore, StoreFuture};
pub use roster::RosterStore;
pub use table::{
    ABSENT, Commit, Condition, Key, ObjectStore, Platform, Row, StoreError, Table, Transaction,
    Version, Write,
};
pub use worker::{Worker, WorkerError};
