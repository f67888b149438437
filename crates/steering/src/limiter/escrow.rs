//! Loans of shares of a limit between hosts.
//!
//! A lender subtracts units before it answers, a borrower subtracts units before it returns them,
//! and each pair of hosts numbers its requests. So a lost, late or duplicated message can only
//! make units unavailable for a while, never create any. A loan is valid for new requests only for
//! a limited time after it was requested. A lender that is gone renews no loans, so its share can
//! be given to other hosts once no borrower holds units of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Units;
use crate::ids::{HostName, Incarnation};

/// Time for which a loan is valid for new requests, counted from the loan request.
pub const LOAN_LAPSE: Duration = Duration::from_secs(4);

/// Loan request, which also states what the borrower still holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Name of the borrowing host.
    pub borrower: HostName,
    /// Incarnation of the borrowing host.
    pub incarnation: Incarnation,
    /// Increases with each request to this lender.
    pub sequence: u64,
    /// Units of the current loan that the borrower continues to use.
    pub keep: Units,
    /// Additional units requested.
    #[serde(rename = "want")]
    pub demand: Units,
}

/// Answer to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Sequence number of the request.
    pub sequence: u64,
    /// Total units that the borrower may use from now on.
    pub total: Units,
}

#[derive(Debug, Clone, Copy, Default)]
struct LentUnits {
    sequence: u64,
    /// Never lower than what the borrower assumes to hold.
    units: Units,
}

#[derive(Debug, Clone, Copy)]
struct BorrowedUnits {
    sequence: u64,
    /// Units held; valid for new requests only until `valid_until`.
    units: Units,
    valid_until: Instant,
    /// Time of the latest request, until its answer arrives.
    requested_at: Option<Instant>,
}

/// One host's share of one limit.
#[derive(Debug, Clone)]
pub struct Escrow {
    me: HostName,
    incarnation: Incarnation,
    /// Units of the limit that this host owns according to the zone's roster.
    owned: Units,
    lent: BTreeMap<(HostName, Incarnation), LentUnits>,
    borrowed: BTreeMap<HostName, BorrowedUnits>,
}

impl Escrow {
    /// Creates a share without units.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Escrow {
            me,
            incarnation,
            owned: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        }
    }

    /// Sets the units that this host owns.
    pub fn set_owned(&mut self, owned: Units) {
        self.owned = owned;
    }

    /// Owned units that are not lent.
    pub fn own(&self) -> Units {
        self.owned.saturating_sub(self.lent())
    }

    /// Units lent to other hosts.
    pub fn lent(&self) -> Units {
        self.lent.values().map(|lent| lent.units).sum()
    }

    /// Units borrowed, including those of expired loans.
    pub fn borrowed(&self) -> Units {
        self.borrowed.values().map(|borrowed| borrowed.units).sum()
    }

    /// Units borrowed from one lender, including those of an expired loan.
    pub fn borrowed_of(&self, lender: &str) -> Units {
        self.borrowed
            .get(lender)
            .map_or(0, |borrowed| borrowed.units)
    }

    /// Hosts from which units are borrowed, including those of expired loans.
    pub fn lenders(&self) -> impl Iterator<Item = &HostName> {
        let held = self
            .borrowed
            .iter()
            .filter(|(_, borrowed)| borrowed.units > 0);
        held.map(|(lender, _)| lender)
    }

    /// Units that this host may use for new requests now.
    pub fn available(&self, now: Instant) -> Units {
        let valid = self
            .borrowed
            .values()
            .filter(|borrowed| now < borrowed.valid_until);
        self.own() + valid.map(|borrowed| borrowed.units).sum::<Units>()
    }

    /// Gives up expired loans once `in_use` fits into the owned units.
    pub fn settle(&mut self, now: Instant, in_use: Units) {
        if in_use > self.own() {
            return;
        }
        for borrowed in self.borrowed.values_mut() {
            if now >= borrowed.valid_until {
                borrowed.units = 0;
            }
        }
    }

    /// Creates a request to a lender that returns all units but `keep`.
    ///
    /// From now on this host holds at most `keep` units of that lender.
    pub fn request(
        &mut self,
        now: Instant,
        lender: &str,
        keep: Units,
        demand: Units,
    ) -> LoanRequest {
        let borrowed = self
            .borrowed
            .entry(lender.to_owned())
            .or_insert(BorrowedUnits {
                sequence: 0,
                units: 0,
                valid_until: now,
                requested_at: None,
            });
        borrowed.sequence += 1;
        borrowed.units = borrowed.units.min(keep);
        borrowed.requested_at = Some(now);
        LoanRequest {
            borrower: self.me.clone(),
            incarnation: self.incarnation,
            sequence: borrowed.sequence,
            keep: borrowed.units,
            demand,
        }
    }

    /// Answers a request by lending at most `spare` additional units; `None` if the request is
    /// late or duplicated.
    pub fn lend(&mut self, request: &LoanRequest, spare: Units) -> Option<LoanGrant> {
        let key = (request.borrower.clone(), request.incarnation);
        let previous = self.lent.get(&key).copied().unwrap_or_default();
        if request.sequence <= previous.sequence {
            return None;
        }
        let keep = request.keep.min(previous.units);
        let others = self.lent() - previous.units;
        let free = self.owned.saturating_sub(others + keep);
        let units = keep + request.demand.min(spare).min(free);
        let lent = LentUnits {
            sequence: request.sequence,
            units,
        };
        self.lent.insert(key, lent);
        Some(LoanGrant {
            sequence: request.sequence,
            total: units,
        })
    }

    /// Applies an answer; false if it does not answer the latest request.
    ///
    /// Units kept by the request remain held even if a later start of the lender does not know of
    /// them, since the share of the earlier start may not be given away meanwhile.
    pub fn take(&mut self, lender: &str, grant: &LoanGrant) -> bool {
        let Some(borrowed) = self.borrowed.get_mut(lender) else {
            return false;
        };
        let Some(requested_at) = borrowed.requested_at else {
            return false;
        };
        if borrowed.sequence != grant.sequence {
            return false;
        }
        borrowed.requested_at = None;
        if grant.total >= borrowed.units {
            borrowed.units = grant.total;
            borrowed.valid_until = requested_at + LOAN_LAPSE;
        }
        true
    }

    /// Records that a start of a host is certainly gone, which frees the units lent to it.
    pub fn confirm_gone(&mut self, host: &str, incarnation: Incarnation) {
        let lent = self.lent.entry((host.to_owned(), incarnation)).or_default();
        lent.units = 0;
        // Late requests of this start must be refused.
        lent.sequence = u64::MAX;
    }
}
