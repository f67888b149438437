//! Rate limits of customers (allowances), enforced by all hosts together without a coordinator.
//!
//! Each listed host has an equal share of every allowance. A customer's requests come through few
//! hosts at a time, so hosts pool their shares: for each group of customers they join the pool of
//! one host, which lends tokens to the hosts that have requests. A host's share counts in one pool
//! at a time, and a lent token that cannot be accounted for is lost, so the sum stays within the
//! allowance when hosts are cut off, killed or restarted. A zone or host that is cut off continues
//! with the shares of its own hosts.
//!
//! Requests that find no token first ask a host of their own zone, which holds tokens for the
//! whole zone. Most of them wait 1 ms for a token instead of 70 ms for one from a far region.

mod bound;
mod lease;
mod leases;
mod membership;
mod message;
mod pool;

pub use bound::{AllowanceTolerance, TokenBound};
pub use lease::TakeResult;
pub use leases::{LeaseStep, TokenLeases, group_of};
pub use message::{
    PoolTime, TokenDemand, TokenGrant, TokenGroup, TokenReply, TokenRequest, ZoneLoan,
};
pub use pool::TokenPool;

use std::time::Duration;

/// Number of pools in a deployment; a hash of its name assigns each customer to one. This is
/// enough for no host to serve more than a few hundred requests per second from others, and few
/// enough for a host to have few pools to ask.
pub const GROUPS: TokenGroup = 8;

/// Time for which a host stays a member after the last pool answer that it confirmed. Hosts send a
/// request every [`KEEP_ALIVE`], and one request may get lost.
const MEMBERSHIP_DURATION: Duration = Duration::from_millis(2_500);

/// Maximum interval between two requests of a host that stays in a pool.
pub const KEEP_ALIVE: Duration = Duration::from_millis(800);
