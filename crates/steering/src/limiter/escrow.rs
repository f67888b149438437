//! Parts of a limit that hosts lend each other.
//!
//! A lender subtracts before it answers, a borrower subtracts before it sends
//! units back, and each pair of hosts numbers its requests, so that a lost, late
//! or doubled message loses room for a while and never makes any. A loan is good
//! for new work only for a while after it was asked for; a lender that is gone
//! renews none, so its part can be given to others once nobody holds of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Units;
use crate::ids::{HostName, Incarnation};

/// Time that a loan is good for new work, from when it was asked for.
pub const LOAN_LAPSE: Duration = Duration::from_secs(4);

/// A borrower's request; it also says what the borrower still holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Who borrows.
    pub borrower: HostName,
    /// Its start.
    pub incarnation: Incarnation,
    /// Counts up with each request to this lender.
    pub sequence: u64,
    /// Units that the borrower goes on using meanwhile.
    pub keep: Units,
    /// Units that it would like besides.
    pub want: Units,
}

/// A lender's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The request that it answers.
    pub sequence: u64,
    /// All that the borrower may use from now on.
    pub total: Units,
}

#[derive(Debug, Clone, Copy, Default)]
struct Lent {
    sequence: u64,
    /// Never below what the borrower believes that it holds.
    units: Units,
}

#[derive(Debug, Clone, Copy)]
struct Borrowed {
    sequence: u64,
    /// Held, though for new work only until `good_until`.
    units: Units,
    good_until: Instant,
    /// When the request was made whose answer is waited for.
    asked: Option<Instant>,
}

/// One host's part of one limit.
#[derive(Debug, Clone)]
pub struct Escrow {
    me: HostName,
    incarnation: Incarnation,
    /// Units of the limit that are this host's own, by the zone's roster.
    owned: Units,
    lent: BTreeMap<(HostName, Incarnation), Lent>,
    borrowed: BTreeMap<HostName, Borrowed>,
}

impl Escrow {
    /// A part of nothing.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Escrow {
            me,
            incarnation,
            owned: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        }
    }

    /// Sets what is this host's own.
    pub fn set_owned(&mut self, owned: Units) {
        self.owned = owned;
    }

    /// Units of its own that are not lent.
    pub fn own(&self) -> Units {
        self.owned.saturating_sub(self.lent())
    }

    /// Units lent out.
    pub fn lent(&self) -> Units {
        self.lent.values().map(|lent| lent.units).sum()
    }

    /// Units borrowed, lapsed ones included.
    pub fn borrowed(&self) -> Units {
        self.borrowed.values().map(|borrowed| borrowed.units).sum()
    }

    /// Units borrowed of one lender, lapsed ones included.
    pub fn borrowed_of(&self, lender: &str) -> Units {
        self.borrowed
            .get(lender)
            .map_or(0, |borrowed| borrowed.units)
    }

    /// Hosts of which something is borrowed, lapsed loans included.
    pub fn lenders(&self) -> impl Iterator<Item = &HostName> {
        let held = self
            .borrowed
            .iter()
            .filter(|(_, borrowed)| borrowed.units > 0);
        held.map(|(lender, _)| lender)
    }

    /// Units that this host may use for new work now.
    pub fn available(&self, now: Instant) -> Units {
        let good = self
            .borrowed
            .values()
            .filter(|borrowed| now < borrowed.good_until);
        self.own() + good.map(|borrowed| borrowed.units).sum::<Units>()
    }

    /// Lets go of lapsed loans once `in_use` fits into what is the host's own.
    pub fn settle(&mut self, now: Instant, in_use: Units) {
        if in_use > self.own() {
            return;
        }
        for borrowed in self.borrowed.values_mut() {
            if now >= borrowed.good_until {
                borrowed.units = 0;
            }
        }
    }

    /// Makes a request to a lender, giving back all but `keep`.
    ///
    /// From this moment the host holds no more than `keep` of that lender.
    pub fn request(&mut self, now: Instant, lender: &str, keep: Units, want: Units) -> LoanRequest {
        let borrowed = self.borrowed.entry(lender.to_owned()).or_insert(Borrowed {
            sequence: 0,
            units: 0,
            good_until: now,
            asked: None,
        });
        borrowed.sequence += 1;
        borrowed.units = borrowed.units.min(keep);
        borrowed.asked = Some(now);
        LoanRequest {
            borrower: self.me.clone(),
            incarnation: self.incarnation,
            sequence: borrowed.sequence,
            keep: borrowed.units,
            want,
        }
    }

    /// Answers a request, lending at most `spare` more; none where it is late or doubled.
    pub fn lend(&mut self, request: &LoanRequest, spare: Units) -> Option<LoanGrant> {
        let key = (request.borrower.clone(), request.incarnation);
        let last = self.lent.get(&key).copied().unwrap_or_default();
        if request.sequence <= last.sequence {
            return None;
        }
        let keep = request.keep.min(last.units);
        let others = self.lent() - last.units;
        let free = self.owned.saturating_sub(others + keep);
        let units = keep + request.want.min(spare).min(free);
        let lent = Lent {
            sequence: request.sequence,
            units,
        };
        self.lent.insert(key, lent);
        Some(LoanGrant {
            sequence: request.sequence,
            total: units,
        })
    }

    /// Takes an answer; false where it is not to the last request.
    ///
    /// What was kept stays held even where a later start of the lender knows
    /// nothing of it: the earlier start's part may not be given away meanwhile.
    pub fn take(&mut self, lender: &str, grant: &LoanGrant) -> bool {
        let Some(borrowed) = self.borrowed.get_mut(lender) else {
            return false;
        };
        let Some(asked) = borrowed.asked else {
            return false;
        };
        if borrowed.sequence != grant.sequence {
            return false;
        }
        borrowed.asked = None;
        if grant.total >= borrowed.units {
            borrowed.units = grant.total;
            borrowed.good_until = asked + LOAN_LAPSE;
        }
        true
    }

    /// A start of a host is certainly gone: what it borrowed is free again.
    pub fn confirm_gone(&mut self, host: &str, incarnation: Incarnation) {
        let lent = self.lent.entry((host.to_owned(), incarnation)).or_default();
        lent.units = 0;
        // Its late requests must find no room.
        lent.sequence = u64::MAX;
    }
}
