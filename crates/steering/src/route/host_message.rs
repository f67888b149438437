//! What one host asks or tells another about what all hosts keep together.

use serde::{Deserialize, Serialize};

use super::allowance::{TokenReply, TokenRequest};
use super::limit::{LimitReply, LimitTokenRequest};
use super::suspect::{WorkDigest, WorkState, WorkUpdate};
use crate::ids::CustomerName;

/// A question, or news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HostMessage {
    /// To the host of a pool of allowances.
    Tokens(TokenRequest),
    /// To a host nearby: tokens that requests wait for, by customer. They are spent at once.
    Spare(Vec<(CustomerName, u32)>),
    /// To a host that holds a part of an upstream's limit.
    Limit(LimitTokenRequest),
    /// To all hosts: what is learned of work under which upstreams end.
    Works(Vec<WorkUpdate>),
    /// To another host: what this one may have missed of such work, by the digest of what it
    /// knows.
    MissedWorks(WorkDigest),
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostReply {
    /// To a question about tokens.
    Tokens(TokenReply),
    /// Whether a request may be sent to an upstream that names a limit.
    Limit(LimitReply),
    /// What the host knows of work that is refused, or was; empty where it knows the same.
    Works(Vec<WorkState>),
    /// News were taken.
    Taken,
}
