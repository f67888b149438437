//! Configurations: polled from the platform, proposed to it, and exchanged with other hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use steering::document::{Proposal, ProposalOutcome};
use steering::history::{Entry, History};
use steering::rendezvous;
use store::ConfigStore;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::control::{Control, POLLERS_PER_ZONE, timer};

const POLL_INTERVAL: Duration = Duration::from_secs(1);

impl Control {
    /// Polls the platform at regular intervals while this host is one of the zone's pollers.
    pub async fn poll_loop(self: Rc<Self>) {
        let mut timer = timer(POLL_INTERVAL);
        loop {
            timer.tick().await;
            if self.is_among_first("poll", POLLERS_PER_ZONE) {
                self.poll().await;
            }
        }
    }

    /// Reads new configuration changes from the platform.
    pub async fn poll(self: &Rc<Self>) {
        let mut history = self.state.borrow().history.clone();
        let polled = self.worker.run(move |platform| {
            let result = ConfigStore::new(platform).poll(&mut history);
            (history, result)
        });
        let Ok((history, result)) = polled.await else {
            return;
        };
        match result {
            Ok(()) => self.state.borrow_mut().store_answered_at = Some(clock::now()),
            Err(error) => tracing::debug!(event = "poll_failed", %error),
        }
        self.adopt(history);
    }

    /// Adopts a history that is newer than the own one, and sends its changes to other hosts.
    pub fn adopt(self: &Rc<Self>, history: History) {
        let before = self.state.borrow().history.revision();
        if history.revision() <= before {
            return;
        }
        let entries = history.entries_after(before);
        self.state.borrow_mut().history = history;
        self.apply_configuration();
        for entry in entries.unwrap_or_default() {
            self.push(&entry);
        }
    }

    /// Publishes a view of the changed configuration at once.
    pub fn apply_configuration(&self) {
        self.publish();
        let position = self.state.borrow().history.position().clone();
        tracing::info!(
            event = "in_force",
            host = self.me.entry.name,
            revision = position.revision,
            digest = position.digest
        );
    }

    /// Proposes a change to the platform and sends the outcome to `answer`.
    pub async fn propose(
        self: Rc<Self>,
        proposal: Proposal,
        answer: oneshot::Sender<ProposalOutcome>,
    ) {
        let mut history = self.state.borrow().history.clone();
        let id = proposal.change.id.clone();
        let proposed = self.worker.run(move |platform| {
            let outcome = ConfigStore::new(platform).propose(&mut history, &proposal);
            (history, outcome)
        });
        let outcome = match proposed.await {
            Ok((history, outcome)) => {
                self.adopt(history);
                outcome
            }
            Err(error) => ProposalOutcome::Unavailable(error.to_string()),
        };
        tracing::info!(event = "proposal", change = id, verdict = ?outcome);
        // The operator's request may have timed out. A repetition with the same change
        // identity returns the outcome.
        drop(answer.send(outcome));
    }

    /// Sends an accepted change to the hosts of the zone, and to one host of each other zone.
    pub fn push(self: &Rc<Self>, entry: &Entry) {
        for address in self.push_targets() {
            let client = self.client(address);
            let entry = entry.clone();
            spawn_local(async move {
                if let Err(error) = client.push(&entry).await {
                    tracing::debug!(event = "push_failed", %address, %error);
                }
            });
        }
    }

    /// Sends a change that came from another zone to the hosts of this zone.
    pub fn push_in_zone(self: &Rc<Self>, entry: &Entry) {
        for address in self.zone_peers() {
            let client = self.client(address);
            let entry = entry.clone();
            spawn_local(async move { drop(client.push(&entry).await) });
        }
    }

    /// Peer addresses of the hosts of the zone, and of one host of each other zone.
    pub fn push_targets(&self) -> Vec<SocketAddr> {
        let others = self.other_zones();
        let key = format!("push/{}", self.me.entry.name);
        let one_each = others.values().filter_map(|hosts| {
            let names = hosts.iter().map(|host| host.name.as_str());
            let chosen = rendezvous::owner(&key, names)?;
            hosts.iter().find(|host| host.name == chosen)
        });
        let mut targets = self.zone_peers();
        targets.extend(one_each.map(|host| host.peer_address));
        targets
    }
}
