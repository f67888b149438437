//! Heartbeats in the zone, and exchanges with random hosts in it and beyond.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use peer::{Beat, Exchange, ExchangeReply};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use steering::ids::ZoneName;
use steering::load_estimate::ZoneSummary;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::control::Control;
use super::state::HeldSummary;

const EXCHANGE_AT_LEAST_EVERY: Duration = Duration::from_secs(1);
/// Time between exchanges grows with the zones, so that their summaries stay cheap.
const EXCHANGE_EVERY_BY_ZONE: Duration = Duration::from_millis(25);
/// One exchange in so many goes to another zone, where the own has other hosts.
const ACROSS_ONE_IN: u32 = 3;
/// Summaries in one exchange: fewer where there are many zones.
const SUMMARIES: RangeInclusive<usize> = 2..=8;
/// Summaries in one exchange times zones, between those bounds.
const SUMMARIES_BY_ZONES: usize = 64;

impl Control {
    /// Sends heartbeats to the zone's hosts for ever.
    pub async fn heartbeats(self: Rc<Self>) {
        loop {
            self.beat_now();
            let every = self.state.borrow().membership.timing().heartbeat_interval;
            sleep(every).await;
        }
    }

    /// Sends one heartbeat to each of the zone's hosts, and to seeds.
    pub fn beat_now(self: &Rc<Self>) {
        let now = clock::now();
        let mut targets = self.zone_peers();
        let seeds = self.config.seeds.iter().copied();
        targets.extend(seeds.filter(|seed| *seed != self.me.entry.peer_address));
        targets.sort();
        targets.dedup();
        let loads = self.own_loads();
        let lenders = self.shared.ledger().lenders(now);
        let beat = {
            let mut state = self.state.borrow_mut();
            Rc::new(Beat {
                heartbeat: state.membership.heartbeat(now, lenders),
                revision: state.history.revision(),
                loads,
            })
        };
        for address in targets {
            let client = self.client(address);
            let busy = Rc::strong_count(&client) > MOST_CALLS;
            if !busy {
                spawn_local(Rc::clone(self).beat(address, Rc::clone(&beat)));
            }
        }
    }

    async fn beat(self: Rc<Self>, address: SocketAddr, beat: Rc<Beat>) {
        let client = self.client(address);
        match client.heartbeat(&beat).await {
            Ok(theirs) => {
                let mine = self.state.borrow().history.revision();
                if theirs > mine {
                    self.exchange_with(address).await;
                }
            }
            Err(error) => tracing::debug!(event = "heartbeat_failed", %address, %error),
        }
    }

    /// Exchanges with random hosts for ever.
    pub async fn exchanges(self: Rc<Self>) {
        loop {
            if let Some(address) = self.draw_partner() {
                spawn_local(Rc::clone(&self).exchange_once(address));
            }
            let mut used = self.zone_peers();
            used.extend(self.config.seeds.iter().copied());
            self.drop_clients(&used);
            sleep(self.exchange_every()).await;
        }
    }

    fn exchange_every(&self) -> Duration {
        let zones = self.state.borrow().plan.document.zones.len() as u32;
        EXCHANGE_AT_LEAST_EVERY.max(EXCHANGE_EVERY_BY_ZONE * zones)
    }

    async fn exchange_once(self: Rc<Self>, address: SocketAddr) {
        self.exchange_with(address).await;
    }

    fn draw_partner(&self) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        let in_zone = self.zone_peers();
        let across: Vec<SocketAddr> = self
            .other_zones()
            .values()
            .filter_map(|hosts| hosts.choose(&mut rng))
            .map(|host| host.peer_address)
            .collect();
        let seeds = || self.config.seeds.iter().copied();
        let go_across = in_zone.is_empty() || rng.random_ratio(1, ACROSS_ONE_IN);
        let first = if go_across { &across } else { &in_zone };
        first
            .choose(&mut rng)
            .or_else(|| in_zone.choose(&mut rng))
            .copied()
            .or_else(|| {
                seeds()
                    .filter(|seed| *seed != self.me.entry.peer_address)
                    .choose(&mut rng)
            })
    }

    /// Exchanges with one host until this one is no longer behind it.
    pub async fn exchange_with(self: &Rc<Self>, address: SocketAddr) {
        let client = self.client(address);
        let in_zone = self.zone_peers().contains(&address);
        loop {
            let exchange = Exchange {
                position: self.state.borrow().history.position().clone(),
                summaries: self.some_summaries(in_zone),
            };
            let reply = match client.exchange(&exchange).await {
                Ok(reply) => reply,
                Err(error) => {
                    tracing::debug!(event = "exchange_failed", %address, %error);
                    return;
                }
            };
            let before = self.state.borrow().history.revision();
            let theirs = reply.position.clone();
            self.take_reply(reply);
            let position = self.state.borrow().history.position().clone();
            if theirs.revision == position.revision && theirs.digest != position.digest {
                tracing::error!(event = "histories_differ", %address, revision = theirs.revision);
            }
            if position.revision == before || position.revision >= theirs.revision {
                return;
            }
        }
    }

    fn take_reply(&self, reply: ExchangeReply) {
        for summary in reply.summaries {
            self.take_summary(summary);
        }
        let before = self.state.borrow().history.revision();
        {
            let history = &mut self.state.borrow_mut().history;
            let mut taken = reply
                .snapshot
                .iter()
                .try_for_each(|snapshot| history.install(snapshot).map(|_| ()));
            for entry in &reply.entries {
                taken = taken.and_then(|()| history.accept(entry).map(|_| ()));
            }
            if let Err(error) = taken {
                tracing::warn!(event = "exchange_refused", %error);
            }
        }
        if self.state.borrow().history.revision() > before {
            self.in_force_now();
        }
    }

    /// Summaries of zones drawn at random, the first with its hosts; before them the
    /// own zone's, which the hosts of the own zone need not be told.
    pub fn some_summaries(&self, in_zone: bool) -> Vec<ZoneSummary> {
        let mut summaries = Vec::new();
        if !in_zone {
            summaries.push(self.own_summary());
        }
        let now = clock::now();
        let state = self.state.borrow();
        let zones = state.plan.document.zones.len().max(1);
        let most = (SUMMARIES_BY_ZONES / zones).clamp(*SUMMARIES.start(), *SUMMARIES.end());
        let others = state
            .summaries
            .iter()
            .choose_multiple(&mut rand::rng(), most - summaries.len());
        let others = others.into_iter().enumerate();
        let passed_on = |(number, (zone, held)): (usize, (&ZoneName, &HeldSummary))| {
            held.pass_on(zone, now, number == 0)
        };
        summaries.extend(others.filter_map(passed_on));
        summaries
    }
}

/// Calls to one host at the same time, with the handles that are kept besides.
const MOST_CALLS: usize = 6;
