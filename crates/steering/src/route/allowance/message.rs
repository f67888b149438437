//! Messages between hosts about allowances.

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerName, Incarnation};

/// Number of a group of customers.
pub type TokenGroup = u16;

/// An instant on the monotonic clock of a pool's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolTime {
    /// Incarnation of the pool's host.
    pub incarnation: Incarnation,
    /// Time since the pool was created, in microseconds.
    pub at_us: u64,
}

/// Request of a host to the host that keeps a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The group of customers.
    pub group: TokenGroup,
    /// Time stamp of the last answer, if it is recent. With a stamp the sender's share counts in
    /// this pool; without one the sender only asks whether there is a pool.
    pub confirms: Option<PoolTime>,
    /// Whether the sender's share stops counting in this pool.
    pub leaves: bool,
    /// The customers for whom tokens are needed or returned.
    #[serde(rename = "wants")]
    pub demands: Vec<TokenDemand>,
}

/// Tokens lent by a host of the same zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoan {
    /// Number of tokens.
    pub tokens: u32,
    /// Time for which the tokens are valid, in milliseconds.
    #[serde(rename = "good_for_ms")]
    pub valid_for_ms: u32,
}

/// A host's demand for tokens of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Unused tokens that the host still holds; all others that it was lent are spent.
    pub held: u32,
    /// Tokens for requests that wait.
    pub need: u32,
    /// Tokens for requests expected soon.
    pub ahead: u32,
}

impl TokenDemand {
    /// The same demand without tokens for expected requests.
    pub(super) fn without_ahead(&self) -> TokenDemand {
        TokenDemand {
            ahead: 0,
            ..self.clone()
        }
    }
}

/// Answer to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenReply {
    /// The host keeps a pool for the group.
    Granted {
        /// Time of the answer.
        stamp: PoolTime,
        /// One grant per demand, in the same order.
        grants: Vec<TokenGrant>,
    },
    /// The host keeps no pool, and the sender's share does not count there.
    NoPool,
    /// Tokens lent by a host of the same zone, in the order of the request.
    #[serde(rename = "Spared")]
    ZoneLoans(Vec<ZoneLoan>),
}

/// Tokens lent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Tokens for requests that wait; each is spent at once or lost.
    pub needed: u32,
    /// Tokens to hold for expected requests.
    pub ahead: u32,
    /// Time until there is a token for each waiting request, in milliseconds; 0 if all needed
    /// tokens were lent.
    #[serde(rename = "dry_ms")]
    pub retry_after_ms: u32,
}
