//! Handles messages of other hosts on the control thread.

use std::rc::Rc;

use peer::{Exchange, ExchangeReply, HeartbeatMessage, PeerHandler};
use steering::history::{Entry, HistoryError, Position};
use steering::ids::{HostName, Revision};
use steering::limiter::{LimitKey, LoanGrant, LoanRequest};
use steering::membership::HostEntry;
use tokio::task::spawn_local;

use super::control::Control;

/// Handler of messages of other hosts; all state is in [`Control`].
pub struct Handler(pub Rc<Control>);

impl PeerHandler for Handler {
    fn heartbeat(&self, beat: HeartbeatMessage) -> Revision {
        let host = beat.heartbeat.host.clone();
        let accepted = self
            .0
            .state
            .borrow_mut()
            .membership
            .receive(clock::now(), beat.heartbeat);
        let own_revision = self.0.state.borrow().history.revision();
        if !accepted {
            return own_revision;
        }
        self.0.record_loads(&host.name, beat.loads);
        if beat.revision > own_revision {
            let control = Rc::clone(&self.0);
            spawn_local(async move { control.exchange_with(host.peer_address).await });
        }
        own_revision
    }

    fn exchange(&self, from: &HostEntry, exchange: Exchange) -> ExchangeReply {
        for summary in exchange.summaries {
            self.0.merge_summary(summary);
        }
        let in_zone = from.zone == self.0.me.entry.zone;
        let summaries = self.0.choose_summaries(in_zone);
        let state = self.0.state.borrow();
        let their_revision = exchange.position.revision;
        let entries = state.history.entries_after(their_revision);
        let snapshot = match entries {
            None => Some(state.history.snapshot()),
            Some(_) => None,
        };
        let mut entries = entries.unwrap_or_default();
        entries.truncate(peer::ENTRIES_LIMIT);
        ExchangeReply {
            position: state.history.position().clone(),
            entries,
            snapshot,
            summaries,
        }
    }

    fn push(&self, from: &HostName, entry: Entry) -> Position {
        let accepted = self.0.state.borrow_mut().history.accept(&entry);
        match accepted {
            Ok(false) => {}
            Ok(true) => {
                self.0.apply_configuration();
                if !self.is_in_zone(from) {
                    self.0.push_in_zone(&entry);
                }
            }
            Err(HistoryError::Gap { .. }) => self.catch_up(from),
            Err(error) => tracing::warn!(event = "push_refused", from, %error),
        }
        self.0.state.borrow().history.position().clone()
    }

    fn borrow(&self, limit: LimitKey, request: LoanRequest) -> Option<LoanGrant> {
        self.0.shared.ledger().lend(clock::now(), &limit, &request)
    }
}

impl Handler {
    fn is_in_zone(&self, host: &str) -> bool {
        let state = self.0.state.borrow();
        let live_hosts = state.membership.live_hosts(clock::now());
        live_hosts.iter().any(|known| known.name == host)
    }

    fn catch_up(&self, from: &HostName) {
        let view = self.0.shared.view.load();
        let Some(host) = view.host(from) else {
            return;
        };
        let control = Rc::clone(&self.0);
        let address = host.peer_address;
        spawn_local(async move { control.exchange_with(address).await });
    }
}
