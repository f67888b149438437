//! The platform's list of live and leaving hosts, which may be out of date.

use serde::{Deserialize, Serialize};
use steering::ids::Incarnation;
use steering::membership::HostEntry;

use crate::StoreError;

/// An entry of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name, zone and addresses of the host.
    pub entry: HostEntry,
    /// Incarnation of the host; none if the platform does not know the incarnation.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Whether the platform will remove the host soon.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of hosts.
pub trait HostList: Send {
    /// Returns all listed hosts.
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
    /// Adds this host and its incarnation to the list.
    fn register(&self, host: &ListedHost) -> Result<(), StoreError>;
}
