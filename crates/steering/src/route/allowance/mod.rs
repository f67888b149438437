//! Allowances of customers, kept by all hosts together without a coordinator.
//!
//! Requests that find no token ask a host of their own zone first, which holds some for all of
//! them: most wait 1 ms for one in place of 70 ms for a far region.
//!
//! Each listed host has an equal part of every allowance. A customer's requests come through
//! few hosts at a time, so hosts pool their parts: for each group of customers they join the
//! pool of one host, which lends tokens to whoever has requests. A host's part counts in one
//! pool at a time and a lent token is lost where it can't be accounted for, so the sum holds
//! whoever is cut off, killed or started anew; a zone or a host that is cut off goes on with
//! the parts of the hosts in it.

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

/// Pools of a deployment; each customer is in one, by its name. Enough that no host serves
/// more than some hundred others' questions a second, few enough that a host asks few.
pub const GROUPS: TokenGroup = 8;

/// Time for which a host counts in a pool after the pool's last answer that it confirms.
/// Hosts ask each [`KEEP_ALIVE`]; one question may get lost.
const MEMBER_FOR: Duration = Duration::from_millis(2_500);

/// Longest time between two questions of a host that stays in a pool.
pub const KEEP_ALIVE: Duration = Duration::from_millis(800);
