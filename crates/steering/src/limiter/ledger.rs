//! All limits of a zone as enforced by one of its hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Escrow, InFlightCounter, LoanGrant, LoanRequest, RateCounter, Roster, Units};
use crate::ids::{HostName, Incarnation, RegionName, RuleName};

/// Identifies a limit of a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum LimitKey {
    /// Requests in flight in the zone.
    #[display("zone")]
    Zone,
    /// The zone's share of its region's limit.
    #[display("region")]
    Region,
    /// The zone's share of the limit on the link from this region.
    #[display("link from {_0}")]
    Link(RegionName),
    /// The zone's share of the cap on requests in flight, by rule and index of the rule's place.
    #[display("rule {_0} place {_1} in flight")]
    RuleFlight(RuleName, usize),
    /// The zone's share of the cap on requests per second, by rule and index of the rule's place.
    #[display("rule {_0} place {_1} per second")]
    RuleRate(RuleName, usize),
}

/// The quantity that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitKind {
    /// Requests in flight.
    Flight,
    /// Requests in any second.
    Rate,
}

impl LimitKey {
    /// The quantity that the limit counts.
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
    /// Refusals since the last [`Ledger::take_refusals`], which decide how much to borrow.
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
        // A loan may have expired since the last call.
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

/// What to request from a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanDemand {
    /// This many additional units.
    More(Units),
    /// The current loan for longer.
    Same,
    /// Only the units in use.
    Less,
}

/// A loan that a host holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLoan {
    /// The limit.
    pub limit: LimitKey,
    /// Name of the lending host.
    pub lender: HostName,
    /// Whether the limit is used enough to keep the loan.
    pub needed: bool,
}

/// State of one limit, for dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LedgerEntry {
    /// Display form of the [`LimitKey`].
    pub limit: String,
    /// Units of the whole zone.
    pub units: Units,
    /// Units that this host may use.
    pub available: Units,
    /// Units that this host uses.
    pub used: Units,
    /// Units lent to other hosts.
    pub lent: Units,
    /// Units borrowed from other hosts.
    pub borrowed: Units,
}

/// All limits of a zone as enforced by one of its hosts.
#[derive(Debug)]
pub struct Ledger {
    me: HostName,
    incarnation: Incarnation,
    limits: BTreeMap<LimitKey, Limit>,
}

impl Ledger {
    /// Creates a ledger without limits.
    pub fn new(me: HostName, incarnation: Incarnation) -> Self {
        Ledger {
            me,
            incarnation,
            limits: BTreeMap::new(),
        }
    }

    /// Applies the zone's limits of a configuration, and the shares of a roster.
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

    /// Admits a request if all limits in `keys` have room; otherwise returns the first limit
    /// without room.
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

    /// Records the end of an admitted request.
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

    /// Reverts the admission of a request that was not sent.
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

    /// Returns the limits that refused requests since the last call, with the number of refusals.
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

    /// The loans that this host holds, and whether each is still needed.
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

    /// Hosts from which units are borrowed.
    pub fn lenders(&mut self, now: Instant) -> BTreeSet<HostName> {
        self.loans(now)
            .into_iter()
            .map(|loan| loan.lender)
            .collect()
    }

    /// Creates a request to a lender; `None` if the limit does not exist.
    pub fn request(
        &mut self,
        now: Instant,
        key: &LimitKey,
        lender: &str,
        demand: LoanDemand,
    ) -> Option<LoanRequest> {
        let limit = self.limits.get_mut(key)?;
        let keep = match demand {
            LoanDemand::Less => limit.used(now).saturating_sub(limit.escrow.own()),
            LoanDemand::Same | LoanDemand::More(_) => limit.escrow.borrowed_of(lender),
        };
        let units = match demand {
            LoanDemand::More(units) => units,
            LoanDemand::Same | LoanDemand::Less => 0,
        };
        let request = limit.escrow.request(now, lender, keep, units);
        limit.settle(now);
        Some(request)
    }

    /// Answers another host's request by lending at most half of the unused units, rounded up. A
    /// single unused unit is lent too, since a host that admits nothing does not need it.
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

    /// Applies a lender's answer; false if it does not answer the latest request.
    pub fn take(&mut self, now: Instant, key: &LimitKey, lender: &str, grant: &LoanGrant) -> bool {
        let Some(limit) = self.limits.get_mut(key) else {
            return false;
        };
        let taken = limit.escrow.take(lender, grant);
        limit.settle(now);
        taken
    }

    /// Records that a start of a host is certainly gone.
    pub fn confirm_gone(&mut self, now: Instant, host: &str, incarnation: Incarnation) {
        for limit in self.limits.values_mut() {
            limit.escrow.confirm_gone(host, incarnation);
            limit.settle(now);
        }
    }

    /// The highest utilisation of any limit, in thousandths of the limit.
    pub fn used_permille(&mut self, now: Instant) -> u32 {
        let used = |limit: &mut Limit| {
            let used = u64::from(limit.used(now) + limit.escrow.lent());
            (used * 1_000).div_ceil(u64::from(limit.units.max(1))) as u32
        };
        self.limits.values_mut().map(used).max().unwrap_or(0)
    }

    /// State of all limits, for dumps.
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
