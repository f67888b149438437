//! Limits on a zone that its hosts enforce together: caps of rules, limits of zones, regions and
//! links.
//!
//! Each host holds a share. The shares never add up to more than the limit, even if messages
//! between hosts are lost, late or duplicated.

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
