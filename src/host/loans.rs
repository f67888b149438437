//! The zone's limits: the roster that divides them into shares, and loans between hosts.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use steering::ids::{HostName, Incarnation};
use steering::limiter::{LOAN_LAPSE, LimitKey, LoanDemand, Roster, Units};
use steering::membership::HostEntry;
use tokio::task::spawn_local;

use super::control::{Control, timer, with_roster};

const LOAN_INTERVAL: Duration = Duration::from_millis(100);
/// Loan intervals between two renewals of the loans; well within the time after which a loan
/// expires.
const RENEWAL_TICKS: u32 = 10;
const ROSTER_INTERVAL: Duration = Duration::from_secs(1);
/// Thousandths of the limits that a host may hold over its fair share before it returns them.
const SHARE_SLACK_PERMILLE: u32 = 10;
/// Smallest loan that a host asks for.
const MIN_LOAN: Units = 4;

impl Control {
    /// Borrows from other hosts where requests are refused, renews the loans that are still
    /// needed, and returns the others.
    pub async fn loan_loop(self: Rc<Self>) {
        let mut timer = timer(LOAN_INTERVAL);
        let mut tick: u32 = 0;
        loop {
            timer.tick().await;
            tick = tick.wrapping_add(1);
            let shortages = self.shared.ledger().take_refusals();
            for (key, refused) in shortages {
                let others = self.zone_others();
                if let Some(lender) = others.choose(&mut rand::rng()) {
                    let want = LoanDemand::More(refused.max(MIN_LOAN));
                    self.spawn_loan_request(key, &lender.name, want);
                }
            }
            if tick.is_multiple_of(RENEWAL_TICKS) {
                self.renew_loans();
            }
        }
    }

    fn renew_loans(self: &Rc<Self>) {
        let loans = self.shared.ledger().loans(clock::now());
        for loan in loans {
            let want = if loan.needed {
                LoanDemand::Same
            } else {
                LoanDemand::Less
            };
            self.spawn_loan_request(loan.limit, &loan.lender, want);
        }
    }

    fn spawn_loan_request(self: &Rc<Self>, key: LimitKey, lender: &str, want: LoanDemand) {
        let others = self.zone_others();
        if let Some(lender) = others.into_iter().find(|host| host.name == lender) {
            let control = Rc::clone(self);
            spawn_local(async move { control.request_loan(&key, &lender, want).await });
        }
    }

    async fn request_loan(&self, key: &LimitKey, lender: &HostEntry, want: LoanDemand) {
        let now = clock::now();
        let request = self.shared.ledger().request(now, key, &lender.name, want);
        let Some(request) = request else {
            return;
        };
        let client = self.client(lender.peer_address);
        match client.borrow(key, &request).await {
            Ok(Some(grant)) => {
                let now = clock::now();
                self.shared.ledger().take(now, key, &lender.name, &grant);
            }
            Ok(None) => {}
            Err(error) => tracing::debug!(event = "loan_failed", lender = lender.name, %error),
        }
    }

    fn zone_others(&self) -> Vec<HostEntry> {
        let present = self.state.borrow().membership.live_hosts(clock::now());
        let others = present
            .into_iter()
            .filter(|host| host.name != self.me.entry.name);
        others.collect()
    }

    /// Updates this host's share of the zone's limits in the platform's roster at regular
    /// intervals.
    pub async fn roster_loop(self: Rc<Self>) {
        let mut timer = timer(ROSTER_INTERVAL);
        loop {
            timer.tick().await;
            let zone = &self.me.entry.zone;
            let has_limits = !self.state.borrow().plan.zone_limits(zone).is_empty();
            if has_limits {
                self.update_share().await;
            }
        }
    }

    async fn update_share(&self) {
        let (name, incarnation) = (self.me.entry.name.clone(), self.incarnation);
        let staying = self.state.borrow().membership.accepting_hosts(clock::now());
        let leaving = !staying.iter().any(|host| host.name == name);
        let fair = match leaving {
            true => 0,
            false => Roster::fair_permille(staying.len()),
        };
        let keep = self.lower_share(fair);
        let gone = self.reclaimable_shares();
        let updated = with_roster(&self.worker, self.me.entry.zone.clone(), move |roster| {
            for (host, incarnation) in &gone {
                roster.free(host, *incarnation);
            }
            if let Some(keep) = keep {
                // The share may belong to another incarnation by now. Then there is nothing
                // to return.
                let _ = roster.give(&name, incarnation, keep);
            }
            // This fails while an earlier incarnation still holds a share, which is freed once
            // the platform no longer lists that incarnation.
            let _ = roster.take(&name, incarnation, fair);
        });
        match updated.await {
            Ok(roster) => {
                self.state.borrow_mut().roster = roster;
                self.apply_roster();
            }
            Err(error) => tracing::debug!(event = "roster_failed", error),
        }
    }

    /// Stops using the excess over the fair share, before it is returned to the roster.
    ///
    /// Returns the new share in thousandths, which is never less than is in use or lent; `None`
    /// if the share does not change.
    fn lower_share(&self, fair: u32) -> Option<u32> {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let name = &self.me.entry.name;
        let held = state.roster.permille(name, self.incarnation);
        if held <= fair + SHARE_SLACK_PERMILLE && fair > 0 || held == 0 {
            return None;
        }
        let mut ledger = self.shared.ledger();
        let keep = fair.max(ledger.used_permille(now)).min(held);
        let mut lowered = state.roster.clone();
        lowered.give(name, self.incarnation, keep).ok()?;
        let limits = state.plan.zone_limits(&self.me.entry.zone);
        ledger.configure(now, &limits, &lowered);
        state.roster = lowered;
        Some(keep)
    }

    fn apply_roster(&self) {
        let state = self.state.borrow();
        let limits = state.plan.zone_limits(&self.me.entry.zone);
        let mut ledger = self.shared.ledger();
        ledger.configure(clock::now(), &limits, &state.roster);
    }

    /// Incarnations that are certainly gone, and whose shares no host holds a loan of.
    ///
    /// An incarnation is gone if the platform has not listed it for longer than the list may
    /// lag, and for longer than its loans allow new requests.
    fn reclaimable_shares(&self) -> Vec<(HostName, Incarnation)> {
        let lag = Duration::from_millis(self.config.host_list_lag_ms).max(LOAN_LAPSE * 2);
        let now = clock::now();
        let state = self.state.borrow();
        let list_age = state
            .store_answered_at
            .map(|at| now.saturating_duration_since(at));
        // This incarnation must have watched the list for long enough itself.
        let watched_long_enough = clock::elapsed(self.shared.started) > lag;
        if !watched_long_enough || list_age.is_none_or(|age| age > lag) {
            return Vec::new();
        }
        let is_listed = |host: &HostName, incarnation: Incarnation| {
            let seen = state.last_listed.get(&(host.clone(), incarnation));
            seen.is_some_and(|seen| now.saturating_duration_since(*seen) <= lag)
        };
        let holders = state
            .roster
            .shares
            .iter()
            .map(|(host, part)| (host, part.incarnation));
        let (present, gone): (Vec<_>, Vec<_>) =
            holders.partition(|(host, incarnation)| is_listed(host, *incarnation));
        let own_lenders = self.shared.ledger().lenders(now);
        let is_unborrowed = |lender: &HostName| {
            let others = present
                .iter()
                .filter(|(host, _)| **host != self.me.entry.name);
            let mut others = others.map(|(host, _)| host);
            !own_lenders.contains(lender)
                && others.all(|host| state.membership.holds_no_share_of(now, host, lender))
        };
        gone.into_iter()
            .filter(|(host, _)| is_unborrowed(host))
            .map(|(host, incarnation)| (host.clone(), incarnation))
            .collect()
    }
}
