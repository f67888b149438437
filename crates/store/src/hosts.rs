//! The platform's list of live and leaving hosts, which lags behind reality.

use serde::{Deserialize, Serialize};
use steering::ids::Incarnation;
use steering::membership::HostEntry;

use crate::StoreError;

/// A host as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name and addresses.
    pub entry: HostEntry,
    /// Its start, where the platform knows it.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Whether the platform will take it away soon.
    #[serde(default)]
    pub leaving: bool,
}

/// The list of hosts.
pub trait HostList: Send {
    /// The hosts as the platform believes now.
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
    /// Tells the platform of this host's start.
    fn register(&self, host: &ListedHost) -> Result<(), StoreError>;
}
