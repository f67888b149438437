//! Messages between hosts about state that all hosts share.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::allowance::{TokenReply, TokenRequest};
use super::limit::{LimitReply, LimitTokenRequest};
use super::rollout::HostProgress;
use super::suspect::{WorkDigest, WorkState, WorkUpdate};
use crate::ids::{CustomerName, ServiceName};

/// A request or an update to another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HostMessage {
    /// Request to the host that holds a pool of allowances.
    Tokens(TokenRequest),
    /// Request to a nearby host for the tokens that requests wait for, by customer. They
    /// are spent at once.
    Spare(Vec<(CustomerName, u32)>),
    /// Request to a host that holds a share of an upstream's rate limit.
    Limit(LimitTokenRequest),
    /// Update to all hosts about requests that crash upstreams.
    Works(Vec<WorkUpdate>),
    /// Request for the updates about such requests that the sender may have missed, with a
    /// digest of what it knows.
    MissedWorks(WorkDigest),
    /// Report to the host that coordinates a roll-out.
    Rollout {
        /// The service.
        service: ServiceName,
        /// Revision of the order.
        order_revision: u64,
        /// Progress of the sender.
        progress: HostProgress,
    },
}

/// Answer to a [`HostMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostReply {
    /// Answer to a request for tokens.
    Tokens(TokenReply),
    /// Whether a request may be sent to an upstream that declares a rate limit.
    Limit(LimitReply),
    /// What the host knows about requests that are or were refused; empty if the sender
    /// knows the same.
    Works(Vec<WorkState>),
    /// The update was applied.
    Taken,
    /// The report on a roll-out was applied. Holds the time by the store's clock.
    StoreTime(Duration),
}
