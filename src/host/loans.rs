//! The zone's limits: the roster that splits them, and loans between hosts.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use steering::ids::{HostName, Incarnation};
use steering::limiter::{LOAN_LAPSE, LimitKey, LoanDemand, Roster, Units};
use steering::membership::HostEntry;
use tokio::task::spawn_local;

use super::control::{Control, timer, with_roster};

const LOANS_EVERY: Duration = Duration::from_millis(100);
/// Well within the time in which a loan lapses.
const RENEW_EVERY_TICKS: u32 = 10;
const ROSTER_EVERY: Duration = Duration::from_secs(1);
/// Thousandths that a host may have over its fair part before it gives them back.
const SLACK_PERMILLE: u32 = 10;
const LEAST_WANTED: Units = 4;

impl Control {
    /// Borrows where requests are refused, renews what is needed, gives back the rest.
    pub async fn loans(self: Rc<Self>) {
        let mut timer = timer(LOANS_EVERY);
        let mut tick: u32 = 0;
        loop {
            timer.tick().await;
            tick = tick.wrapping_add(1);
            let short = self.shared.ledger().take_refusals();
            for (key, refused) in short {
                let others = self.zone_others();
                if let Some(lender) = others.choose(&mut rand::rng()) {
                    let want = LoanDemand::More(refused.max(LEAST_WANTED));
                    self.spawn_ask(key, &lender.name, want);
                }
            }
            if tick.is_multiple_of(RENEW_EVERY_TICKS) {
                self.renew();
            }
        }
    }

    fn renew(self: &Rc<Self>) {
        let loans = self.shared.ledger().loans(clock::now());
        for loan in loans {
            let want = if loan.needed {
                LoanDemand::Same
            } else {
                LoanDemand::Less
            };
            self.spawn_ask(loan.limit, &loan.lender, want);
        }
    }

    fn spawn_ask(self: &Rc<Self>, key: LimitKey, lender: &str, want: LoanDemand) {
        let others = self.zone_others();
        if let Some(lender) = others.into_iter().find(|host| host.name == lender) {
            let control = Rc::clone(self);
            spawn_local(async move { control.ask(&key, &lender, want).await });
        }
    }

    async fn ask(&self, key: &LimitKey, lender: &HostEntry, want: LoanDemand) {
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

    /// Keeps this host's part of the zone's limits, by the platform's roster.
    pub async fn rosters(self: Rc<Self>) {
        let mut timer = timer(ROSTER_EVERY);
        loop {
            timer.tick().await;
            let zone = &self.me.entry.zone;
            let has_limits = !self.state.borrow().plan.zone_limits(zone).is_empty();
            if has_limits {
                self.keep_part().await;
            }
        }
    }

    async fn keep_part(&self) {
        let (name, incarnation) = (self.me.entry.name.clone(), self.incarnation);
        let staying = self.state.borrow().membership.accepting_hosts(clock::now());
        let leaving = !staying.iter().any(|host| host.name == name);
        let fair = match leaving {
            true => 0,
            false => Roster::fair_permille(staying.len()),
        };
        let keep = self.lower(fair);
        let gone = self.gone_parts();
        let updated = with_roster(&self.worker, self.me.entry.zone.clone(), move |roster| {
            for (host, incarnation) in &gone {
                roster.free(host, *incarnation);
            }
            if let Some(keep) = keep {
                // Not this start's any more: there is nothing to give.
                let _ = roster.give(&name, incarnation, keep);
            }
            // An earlier start's part is freed once the platform's list says so.
            let _ = roster.take(&name, incarnation, fair);
        });
        match updated.await {
            Ok(roster) => {
                self.state.borrow_mut().roster = roster;
                self.use_roster();
            }
            Err(error) => tracing::debug!(event = "roster_failed", error),
        }
    }

    /// Stops using what is over the fair part, before it is given back.
    ///
    /// Returns what is kept: never less than is in use or lent.
    fn lower(&self, fair: u32) -> Option<u32> {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let name = &self.me.entry.name;
        let held = state.roster.permille(name, self.incarnation);
        if held <= fair + SLACK_PERMILLE && fair > 0 || held == 0 {
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

    fn use_roster(&self) {
        let state = self.state.borrow();
        let limits = state.plan.zone_limits(&self.me.entry.zone);
        let mut ledger = self.shared.ledger();
        ledger.configure(clock::now(), &limits, &state.roster);
    }

    /// Parts of starts that are certainly gone, and of which nobody holds anything.
    ///
    /// Gone: the platform's list has not shown the start for longer than it lags,
    /// and for longer than its loans are good for new work.
    fn gone_parts(&self) -> Vec<(HostName, Incarnation)> {
        let lag = Duration::from_millis(self.config.host_list_lag_ms).max(LOAN_LAPSE * 2);
        let now = clock::now();
        let state = self.state.borrow();
        let list_age = state
            .store_answered
            .map(|at| now.saturating_duration_since(at));
        // What this start has not watched for long enough can't be judged.
        let watched = clock::elapsed(self.shared.started) > lag;
        if !watched || list_age.is_none_or(|age| age > lag) {
            return Vec::new();
        }
        let is_listed = |host: &HostName, incarnation: Incarnation| {
            let seen = state.last_listed.get(&(host.clone(), incarnation));
            seen.is_some_and(|seen| now.saturating_duration_since(*seen) <= lag)
        };
        let starts = state
            .roster
            .parts
            .iter()
            .map(|(host, part)| (host, part.incarnation));
        let (here, gone): (Vec<_>, Vec<_>) =
            starts.partition(|(host, incarnation)| is_listed(host, *incarnation));
        let mine = self.shared.ledger().lenders(now);
        let nobody_holds = |lender: &HostName| {
            let others = here.iter().filter(|(host, _)| **host != self.me.entry.name);
            let mut others = others.map(|(host, _)| host);
            !mine.contains(lender)
                && others.all(|host| state.membership.holds_no_share_of(now, host, lender))
        };
        gone.into_iter()
            .filter(|(host, _)| nobody_holds(host))
            .map(|(host, incarnation)| (host.clone(), incarnation))
            .collect()
    }
}
