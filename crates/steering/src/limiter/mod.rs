//! Limits on a zone that its hosts keep together: caps, place and link limits.
//!
//! Each host holds a part. Parts never sum to more than the limit, whatever is
//! lost, late or repeated between the hosts.

mod escrow;
mod flight;
mod ledger;
mod rate;
mod roster;

pub use escrow::{Escrow, LOAN_LAPSE, LoanGrant, LoanRequest};
pub use flight::Flight;
pub use ledger::{HeldLoan, Ledger, LedgerEntry, LimitKey, LimitKind, Want};
pub use rate::Rate;
pub use roster::{Part, Roster, RosterError, WHOLE_PERMILLE};

/// Units of a limit: requests in flight, or requests in any second.
pub type Units = u32;
