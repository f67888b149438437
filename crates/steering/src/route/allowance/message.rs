//! What hosts say to each other about allowances.

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, Incarnation};

/// Number of a group of customers.
pub type TokenGroup = u16;

/// A moment of a pool's own steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTime {
    /// Start of the pool's host.
    pub incarnation: Incarnation,
    /// Time since the pool began, in microseconds.
    pub at_us: u64,
}

/// A host's question to the host of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The group of customers.
    pub group: TokenGroup,
    /// Time of the last answer. With it the asker's part counts in this pool; without it
    /// the asker only wants to hear whether there is one.
    pub confirms: Option<PoolTime>,
    /// Whether the asker's part is to count here no more.
    pub leaves: bool,
    /// For whom tokens are wanted or given back.
    pub wants: Vec<TokenDemand>,
}

/// Tokens that a host nearby can spare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoan {
    /// How many.
    pub tokens: u32,
    /// Time for which they are good, in milliseconds.
    pub good_for_ms: u32,
}

/// Tokens that a host wants for a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// The customer.
    pub customer: CustomerName,
    /// Tokens that the host still holds; all others that were lent to it are spent.
    pub held: u32,
    /// Tokens that requests wait for.
    pub need: u32,
    /// Tokens that would be of use soon.
    pub ahead: u32,
}

impl TokenDemand {
    /// The same, without tokens that would be held for requests to come.
    pub(super) fn without_ahead(&self) -> TokenDemand {
        TokenDemand {
            ahead: 0,
            ..self.clone()
        }
    }
}

/// The answer to a question about tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenReply {
    /// The host keeps a pool for the group.
    Granted {
        /// Moment of the answer.
        stamp: PoolTime,
        /// In the order of the wants.
        grants: Vec<TokenGrant>,
    },
    /// The host keeps none, and counts the asker's part no more.
    NoPool,
    /// What it spares, in the order of the question.
    #[serde(rename = "Spared")]
    ZoneLoans(Vec<ZoneLoan>),
}

/// Tokens lent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// For requests that wait; they are spent at once or lost.
    pub needed: u32,
    /// To be held for requests to come.
    pub ahead: u32,
    /// Time after which there is one for each request that waits, in milliseconds; 0 where
    /// all that was needed was lent.
    #[serde(rename = "dry_ms")]
    pub retry_after_ms: u32,
}
