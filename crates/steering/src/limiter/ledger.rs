//! All limits of a zone as one of its hosts keeps them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Escrow, InFlightCounter, LoanGrant, LoanRequest, RateCounter, Roster, Units};
use crate::ids::{HostName, Incarnation, RegionName, RuleName};

/// Which limit of a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum LimitKey {
    /// Requests in flight in the zone.
    #[display("zone")]
    Zone,
    /// The zone's part of its region's limit.
    #[display("region")]
    Region,
    /// The zone's part of the limit on the link from this region.
    #[display("link from {_0}")]
    Link(RegionName),
    /// The zone's part of the cap of a rule's place, in flight.
    #[display("rule {_0} place {_1} in flight")]
    RuleFlight(RuleName, usize),
    /// The zone's part of the cap of a rule's place, in any second.
    #[display("rule {_0} place {_1} per second")]
    RuleRate(RuleName, usize),
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests in flight.
    Flight,
    /// Requests in any second.
    Rate,
}

impl LimitKey {
    /// What the limit counts.
    pub fn kind(&self) -> LimitKind {
        match self {
            LimitKey::RuleRate(..) => LimitKind::Rate,
            _ => LimitKind::Flight,
        }
    }
}

#[derive(Debug)]
enum Count {
    Flight(InFlightCounter),
    Rate(RateCounter),
}

#[derive(Debug)]
struct Limit {
    units: Units,
    escrow: Escrow,
    count: Count,
    /// Refusals since the last look, for deciding what to borrow.
    refused: Units,
}

impl Limit {
    fn settle(&mut self, now: Instant) {
        let used = self.used(now);
        self.escrow.settle(now, used);
        let available = self.escrow.available(now).min(self.units);
        match &mut self.count {
            Count::Flight(flight) => flight.allow(available),
            Count::Rate(rate) => rate.allow(now, available),
        }
    }

    fn admit(&mut self, now: Instant) -> bool {
        // A loan may have lapsed since the last look.
        self.settle(now);
        let admitted = match &mut self.count {
            Count::Flight(flight) => flight.admit(),
            Count::Rate(rate) => rate.admit(now),
        };
        if !admitted {
            self.refused += 1;
        }
        admitted
    }

    fn used(&mut self, now: Instant) -> Units {
        match &mut self.count {
            Count::Flight(flight) => flight.in_flight(),
            Count::Rate(rate) => rate.used(now),
        }
    }
}

/// What is asked of a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanDemand {
    /// So many units more.
    More(Units),
    /// The same as before, for longer.
    Same,
    /// Only what is in use.
    Less,
}

/// A loan that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLoan {
    /// Which limit.
    pub limit: LimitKey,
    /// Who lent it.
    pub lender: HostName,
    /// Whether the limit is used enough to go on with it.
    pub needed: bool,
}

/// One limit, for dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LedgerEntry {
    /// Which limit.
    pub limit: String,
    /// Units of the whole zone.
    pub units: Units,
    /// Units that this host may use.
    pub available: Units,
    /// Units that it uses.
    pub used: Units,
    /// Units lent to other hosts.
    pub lent: Units,
    /// Units borrowed from other hosts.
    pub borrowed: Units,
}

/// All limits of a zone as one of its hosts keeps them.
#[derive(Debug)]
pub struct Ledger {
    me: HostName,
    incarnation: Incarnation,
    limits: BTreeMap<LimitKey, Limit>,
}

impl Ledger {
    /// No limits.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Ledger {
            me,
            incarnation,
            limits: BTreeMap::new(),
        }
    }

    /// Takes the zone's limits of a configuration and the parts of a roster.
    pub fn configure(&mut self, now: Instant, units: &BTreeMap<LimitKey, Units>, roster: &Roster) {
        self.limits.retain(|key, _| units.contains_key(key));
        for (key, units) in units {
            let owned = roster.owned_units(&self.me, self.incarnation, *units);
            let limit = self.limits.entry(key.clone()).or_insert_with(|| Limit {
                units: *units,
                escrow: Escrow::new(self.me.clone(), self.incarnation),
                count: match key.kind() {
                    LimitKind::Flight => Count::Flight(InFlightCounter::default()),
                    LimitKind::Rate => Count::Rate(RateCounter::new(now)),
                },
                refused: 0,
            });
            limit.units = *units;
            limit.escrow.set_owned(owned);
            limit.settle(now);
        }
    }

    /// Whether the zone has this limit.
    pub fn has(&self, key: &LimitKey) -> bool {
        self.limits.contains_key(key)
    }

    /// Admits a request under all of `keys`, or names the limit that has no room.
    pub fn admit(&mut self, now: Instant, keys: &[LimitKey]) -> Result<(), LimitKey> {
        for (i, key) in keys.iter().enumerate() {
            let Some(limit) = self.limits.get_mut(key) else {
                continue;
            };
            if limit.admit(now) {
                continue;
            }
            self.give_back(now, &keys[..i]);
            return Err(key.clone());
        }
        Ok(())
    }

    /// A request that was admitted has ended.
    pub fn release(&mut self, keys: &[LimitKey]) {
        for key in keys {
            if let Some(Limit {
                count: Count::Flight(flight),
                ..
            }) = self.limits.get_mut(key)
            {
                flight.release();
            }
        }
    }

    /// A request that was admitted came to nothing.
    pub fn give_back(&mut self, now: Instant, keys: &[LimitKey]) {
        self.release(keys);
        for key in keys {
            if let Some(Limit {
                count: Count::Rate(rate),
                ..
            }) = self.limits.get_mut(key)
            {
                rate.give_back(now);
            }
        }
    }

    /// Limits that refused requests since the last call, with how many.
    pub fn take_refusals(&mut self) -> Vec<(LimitKey, Units)> {
        let mut refusals = Vec::new();
        for (key, limit) in &mut self.limits {
            let refused = std::mem::take(&mut limit.refused);
            if refused > 0 {
                refusals.push((key.clone(), refused));
            }
        }
        refusals
    }

    /// Loans that are held, each with whether it is still of use.
    pub fn loans(&mut self, now: Instant) -> Vec<HeldLoan> {
        let mut loans = Vec::new();
        for (key, limit) in &mut self.limits {
            limit.settle(now);
            let needed = limit.used(now) > limit.escrow.own() / 2;
            loans.extend(limit.escrow.lenders().map(|lender| HeldLoan {
                limit: key.clone(),
                lender: lender.clone(),
                needed,
            }));
        }
        loans
    }

    /// Hosts of which something is borrowed.
    pub fn lenders(&mut self, now: Instant) -> BTreeSet<HostName> {
        self.loans(now)
            .into_iter()
            .map(|loan| loan.lender)
            .collect()
    }

    /// Makes a request to a lender.
    pub fn request(
        &mut self,
        now: Instant,
        key: &LimitKey,
        lender: &str,
        want: LoanDemand,
    ) -> Option<LoanRequest> {
        let limit = self.limits.get_mut(key)?;
        let keep = match want {
            LoanDemand::Less => limit.used(now).saturating_sub(limit.escrow.own()),
            LoanDemand::Same | LoanDemand::More(_) => limit.escrow.borrowed_of(lender),
        };
        let want = match want {
            LoanDemand::More(units) => units,
            LoanDemand::Same | LoanDemand::Less => 0,
        };
        let request = limit.escrow.request(now, lender, keep, want);
        limit.settle(now);
        Some(request)
    }

    /// Answers another host's request with at most half of what is not in use, the
    /// last unit included: a host that admits nothing needs none.
    pub fn lend(
        &mut self,
        now: Instant,
        key: &LimitKey,
        request: &LoanRequest,
    ) -> Option<LoanGrant> {
        let limit = self.limits.get_mut(key)?;
        let available = limit.escrow.available(now);
        let spare = available.saturating_sub(limit.used(now)).div_ceil(2);
        let grant = limit.escrow.lend(request, spare);
        limit.settle(now);
        grant
    }

    /// Takes a lender's answer.
    pub fn take(&mut self, now: Instant, key: &LimitKey, lender: &str, grant: &LoanGrant) -> bool {
        let Some(limit) = self.limits.get_mut(key) else {
            return false;
        };
        let taken = limit.escrow.take(lender, grant);
        limit.settle(now);
        taken
    }

    /// A start of a host is certainly gone.
    pub fn confirm_gone(&mut self, now: Instant, host: &str, incarnation: Incarnation) {
        for limit in self.limits.values_mut() {
            limit.escrow.confirm_gone(host, incarnation);
            limit.settle(now);
        }
    }

    /// The largest part of any limit that is in use, in thousandths of the limit.
    pub fn used_permille(&mut self, now: Instant) -> u32 {
        let used = |limit: &mut Limit| {
            let used = u64::from(limit.used(now) + limit.escrow.lent());
            (used * 1_000).div_ceil(u64::from(limit.units.max(1))) as u32
        };
        self.limits.values_mut().map(used).max().unwrap_or(0)
    }

    /// All limits, for dumps.
    pub fn entries(&mut self, now: Instant) -> Vec<LedgerEntry> {
        let entry = |(key, limit): (&LimitKey, &mut Limit)| LedgerEntry {
            limit: key.to_string(),
            units: limit.units,
            available: limit.escrow.available(now).min(limit.units),
            used: limit.used(now),
            lent: limit.escrow.lent(),
            borrowed: limit.escrow.borrowed(),
        };
        self.limits.iter_mut().map(entry).collect()
    }
}
