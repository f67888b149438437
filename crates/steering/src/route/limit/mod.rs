//! Limits that upstreams name, kept in sum by hosts that don't see each other's requests.
//!
//! A few hosts of the upstream's region hold a part of its limit each: the first ones of the
//! store's list by rank, so that all hosts know them without a message. Whoever sends there
//! asks a holder for a token first. A part is spent by its holder's own clock alone, so the sum
//! holds whoever is cut off, killed or started anew; and with one host more or fewer in the
//! list that some hosts have, it is still within what upstreams are ready to bear.

mod asks;
mod holders;
mod message;
mod part;
mod tokens;

pub use asks::HolderSelector;
pub use holders::{MAX_HOLDERS, holders};
pub use message::{LimitReply, LimitTokenRequest};
pub use part::{LimitTolerance, holder_share};
pub use tokens::{LimitTokens, ShareChange};
