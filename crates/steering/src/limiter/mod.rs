//! Limits on a zone that its hosts keep together: caps, place and link limits.
//!
//! Each host holds a part. Parts never sum to more than the limit, whatever is
//! lost, late or repeated between the hosts.

mod escrow;
mod in_flight_counter;
mod ledger;
mod rate_counter;
mod roster;

pub use escrow::{Escrow, LOAN_LAPSE, LoanGrant, LoanRequest};
pub use in_flight_counter::InFlightCounter;
pub use ledger::{HeldLoan, Ledger, LedgerEntry, LimitKey, LimitKind, LoanDemand};
pub use rate_counter::RateCounter;
pub use roster::{HostShare, Roster, RosterError, WHOLE_PERMILLE};

/// Units of a limit: requests in flight, or requests in any second.
pub type Units = u32;
