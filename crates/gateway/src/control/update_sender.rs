//! Sends updates to other hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use peer::{EncodedUpdate, PeerClient};
use steering::ids::HostName;
use steering::route::Feed;
use tokio::task::spawn_local;

/// The receiver of an update, and its feed.
type Receiver = (HostName, Feed);

/// Updates being sent: one at a time for each receiver and feed.
///
/// While one is being sent, the newest later update waits and is sent right after. If updates to a
/// busy receiver were dropped, it would get the changes only with the next poll of the store, later
/// by up to 0.45 of the time within which changes must be applied.
#[derive(Clone, Default)]
pub(super) struct UpdateSender(Rc<RefCell<HashMap<Receiver, Option<Rc<EncodedUpdate>>>>>);

impl UpdateSender {
    /// Sends an update, after the one that is being sent has completed.
    pub fn enqueue(&self, receiver: Receiver, client: Rc<PeerClient>, update: Rc<EncodedUpdate>) {
        let mut in_flight = self.0.borrow_mut();
        if let Some(next) = in_flight.get_mut(&receiver) {
            count(receiver.1, "busy");
            *next = Some(update);
            return;
        }
        in_flight.insert(receiver.clone(), None);
        spawn_local(self.clone().send_all(receiver, client, update));
    }

    async fn send_all(self, receiver: Receiver, client: Rc<PeerClient>, first: Rc<EncodedUpdate>) {
        let mut next = Some(first);
        while let Some(update) = next {
            let result = client.send_update(&update).await;
            count(
                receiver.1,
                if result.is_ok() { "told" } else { "not_heard" },
            );
            if let Err(error) = result {
                tracing::debug!(event = "news_not_told", host = receiver.0, %error);
            }
            next = self.next(&receiver);
        }
    }

    /// The next update to send. Removes the entry if there is none.
    fn next(&self, receiver: &Receiver) -> Option<Rc<EncodedUpdate>> {
        let mut in_flight = self.0.borrow_mut();
        let next = in_flight.get_mut(receiver).and_then(Option::take);
        if next.is_none() {
            in_flight.remove(receiver);
        }
        next
    }
}

fn count(feed: Feed, outcome: &'static str) {
    metrics::counter!("stagedeck_news_total", "feed" => feed.to_string(), "outcome" => outcome)
        .increment(1);
}
