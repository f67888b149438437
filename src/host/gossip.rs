//! Heartbeats to the hosts of the zone, and gossip exchanges with random hosts of the own
//! and of other zones.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use peer::{Exchange, ExchangeReply, HeartbeatMessage};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use steering::ids::ZoneName;
use steering::load_estimate::ZoneSummary;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::control::Control;
use super::state::KnownZone;

const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between exchanges grows with the number of zones, since there are more
/// summaries to send.
const EXCHANGE_INTERVAL_PER_ZONE: Duration = Duration::from_millis(25);
/// One exchange in this many goes to another zone. A host that is alone in its zone exchanges
/// with other zones only.
const CROSS_ZONE_ONE_IN: u32 = 3;
/// Bounds on the summaries in one exchange; the more zones there are, the fewer are sent.
const SUMMARIES_PER_EXCHANGE: RangeInclusive<usize> = 2..=8;
/// Summaries in one exchange times number of zones, within [`SUMMARIES_PER_EXCHANGE`].
const SUMMARIES_TIMES_ZONES: usize = 64;

impl Control {
    /// Sends heartbeats to the hosts of the zone at regular intervals.
    pub async fn heartbeat_loop(self: Rc<Self>) {
        loop {
            self.send_heartbeats();
            let interval = self.state.borrow().membership.timing().heartbeat_interval;
            sleep(interval).await;
        }
    }

    /// Sends one heartbeat to each host of the zone and to each seed address.
    pub fn send_heartbeats(self: &Rc<Self>) {
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
            Rc::new(HeartbeatMessage {
                heartbeat: state.membership.heartbeat(now, lenders),
                revision: state.history.revision(),
                loads,
                condition: None,
            })
        };
        for address in targets {
            let client = self.client(address);
            let busy = Rc::strong_count(&client) > MAX_CLIENT_HANDLES;
            if !busy {
                spawn_local(Rc::clone(self).send_heartbeat(address, Rc::clone(&beat)));
            }
        }
    }

    async fn send_heartbeat(self: Rc<Self>, address: SocketAddr, beat: Rc<HeartbeatMessage>) {
        let client = self.client(address);
        match client.heartbeat(&beat).await {
            Ok(their_revision) => {
                let own_revision = self.state.borrow().history.revision();
                if their_revision > own_revision {
                    self.exchange_with(address).await;
                }
            }
            Err(error) => tracing::debug!(event = "heartbeat_failed", %address, %error),
        }
    }

    /// Exchanges configuration and summaries with a random host at regular intervals.
    pub async fn exchange_loop(self: Rc<Self>) {
        loop {
            if let Some(address) = self.choose_exchange_peer() {
                spawn_local(Rc::clone(&self).exchange_once(address));
            }
            let mut used = self.zone_peers();
            used.extend(self.config.seeds.iter().copied());
            self.drop_clients(&used);
            sleep(self.exchange_interval()).await;
        }
    }

    fn exchange_interval(&self) -> Duration {
        let zones = self.state.borrow().plan.document.zones.len() as u32;
        MIN_EXCHANGE_INTERVAL.max(EXCHANGE_INTERVAL_PER_ZONE * zones)
    }

    async fn exchange_once(self: Rc<Self>, address: SocketAddr) {
        self.exchange_with(address).await;
    }

    /// Draws the host for the next exchange; a seed address if no host is known.
    fn choose_exchange_peer(&self) -> Option<SocketAddr> {
        let mut rng = rand::rng();
        let in_zone = self.zone_peers();
        let in_other_zones: Vec<SocketAddr> = self
            .other_zones()
            .values()
            .filter_map(|hosts| hosts.choose(&mut rng))
            .map(|host| host.peer_address)
            .collect();
        let seeds = || self.config.seeds.iter().copied();
        let cross_zone = in_zone.is_empty() || rng.random_ratio(1, CROSS_ZONE_ONE_IN);
        let preferred = if cross_zone {
            &in_other_zones
        } else {
            &in_zone
        };
        preferred
            .choose(&mut rng)
            .or_else(|| in_zone.choose(&mut rng))
            .copied()
            .or_else(|| {
                seeds()
                    .filter(|seed| *seed != self.me.entry.peer_address)
                    .choose(&mut rng)
            })
    }

    /// Exchanges with one host until this host has its configuration revision, or makes no
    /// more progress.
    pub async fn exchange_with(self: &Rc<Self>, address: SocketAddr) {
        let client = self.client(address);
        let in_zone = self.zone_peers().contains(&address);
        loop {
            let exchange = Exchange {
                position: self.state.borrow().history.position().clone(),
                summaries: self.choose_summaries(in_zone),
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
            self.apply_reply(reply);
            let position = self.state.borrow().history.position().clone();
            if theirs.revision == position.revision && theirs.digest != position.digest {
                tracing::error!(event = "histories_differ", %address, revision = theirs.revision);
            }
            if position.revision == before || position.revision >= theirs.revision {
                return;
            }
        }
    }

    fn apply_reply(&self, reply: ExchangeReply) {
        for summary in reply.summaries {
            self.merge_summary(summary);
        }
        let before = self.state.borrow().history.revision();
        {
            let history = &mut self.state.borrow_mut().history;
            let mut applied = reply
                .snapshot
                .iter()
                .try_for_each(|snapshot| history.install(snapshot).map(|_| ()));
            for entry in &reply.entries {
                applied = applied.and_then(|()| history.accept(entry).map(|_| ()));
            }
            if let Err(error) = applied {
                tracing::warn!(event = "exchange_refused", %error);
            }
        }
        if self.state.borrow().history.revision() > before {
            self.apply_configuration();
        }
    }

    /// Summaries for one exchange, of zones drawn at random.
    ///
    /// Only the first of these contains the zone's hosts. A host of another zone also gets
    /// the summary of this host's zone, which the hosts within the zone know already.
    pub fn choose_summaries(&self, in_zone: bool) -> Vec<ZoneSummary> {
        let mut summaries = Vec::new();
        if !in_zone {
            summaries.push(self.own_summary());
        }
        let now = clock::now();
        let state = self.state.borrow();
        let zones = state.plan.document.zones.len().max(1);
        let max_summaries = (SUMMARIES_TIMES_ZONES / zones).clamp(
            *SUMMARIES_PER_EXCHANGE.start(),
            *SUMMARIES_PER_EXCHANGE.end(),
        );
        let others = state
            .known_zones
            .iter()
            .choose_multiple(&mut rand::rng(), max_summaries - summaries.len());
        let others = others.into_iter().enumerate();
        let to_summary = |(index, (zone, known)): (usize, (&ZoneName, &KnownZone))| {
            known.to_summary(zone, now, index == 0)
        };
        summaries.extend(others.filter_map(to_summary));
        summaries
    }
}

/// Most handles of the client for one host while heartbeats are still sent to it. Each call
/// in progress has one; the map of clients and the current task have one each.
const MAX_CLIENT_HANDLES: usize = 6;
