//! The zone's limits: the roster that splits them, and loans between hosts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use steering::limiter::{LimitKey, Roster, Units};
use steering::membership::HostEntry;
use tokio::task::spawn_local;

use super::control::{Control, timer, with_roster};

const LOANS_EVERY: Duration = Duration::from_millis(100);
const RETURNS_EVERY: u32 = 50;
const ROSTER_EVERY: Duration = Duration::from_secs(1);
/// Thousandths that a host may have over its fair part before it gives them back.
const SLACK_PERMILLE: u32 = 10;
const LEAST_WANTED: Units = 4;

impl Control {
    /// Borrows where requests are refused, gives back what is idle.
    pub async fn loans(self: Rc<Self>) {
        let mut timer = timer(LOANS_EVERY);
        let mut tick: u32 = 0;
        loop {
            timer.tick().await;
            tick = tick.wrapping_add(1);
            let short = self.shared.ledger().short();
            for (key, refused) in short {
                spawn_local(Rc::clone(&self).borrow(key, refused.max(LEAST_WANTED)));
            }
            if tick.is_multiple_of(RETURNS_EVERY) {
                let idle = self.shared.ledger().idle_loans(Instant::now());
                for key in idle {
                    spawn_local(Rc::clone(&self).give_back(key));
                }
            }
        }
    }

    async fn borrow(self: Rc<Self>, key: LimitKey, want: Units) {
        let others = self.zone_others();
        let lender = others.choose(&mut rand::rng()).cloned();
        if let Some(lender) = lender {
            self.ask(&key, &lender, want).await;
        }
    }

    async fn give_back(self: Rc<Self>, key: LimitKey) {
        for lender in self.zone_others() {
            self.ask(&key, &lender, 0).await;
        }
    }

    async fn ask(&self, key: &LimitKey, lender: &HostEntry, want: Units) {
        let now = Instant::now();
        let request = self.shared.ledger().request(now, key, &lender.name, want);
        let Some(request) = request else {
            return;
        };
        let client = self.client(lender.peer_address);
        match client.borrow(key, &request).await {
            Ok(Some(grant)) => {
                let now = Instant::now();
                self.shared.ledger().take(now, key, &lender.name, &grant);
            }
            Ok(None) => {}
            Err(error) => tracing::debug!(event = "loan_failed", lender = lender.name, %error),
        }
    }

    fn zone_others(&self) -> Vec<HostEntry> {
        let present = self.state.borrow().membership.present(Instant::now());
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
        let staying = self.state.borrow().membership.staying(Instant::now());
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
        let now = Instant::now();
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
        ledger.configure(Instant::now(), &limits, &state.roster);
    }

    /// Parts of starts that the platform's list has not shown for longer than it lags.
    fn gone_parts(&self) -> Vec<(String, u64)> {
        let lag = Duration::from_millis(self.config.host_list_lag_ms);
        let now = Instant::now();
        // What this start has not watched for long enough can't be judged.
        if self.shared.started.elapsed() <= lag {
            return Vec::new();
        }
        let state = self.state.borrow();
        let fresh = state
            .store_answered
            .is_some_and(|at| now.saturating_duration_since(at) < lag);
        if !fresh {
            return Vec::new();
        }
        let is_gone = |host: &String, incarnation: u64| {
            !state.last_listed.contains_key(&(host.clone(), incarnation))
                && *host != self.me.entry.name
                || (*host == self.me.entry.name && incarnation != self.incarnation)
                    && !state.last_listed.contains_key(&(host.clone(), incarnation))
        };
        let parts = state.roster.parts.iter();
        parts
            .filter(|(host, part)| is_gone(host, part.incarnation))
            .map(|(host, part)| (host.clone(), part.incarnation))
            .collect()
    }
}
