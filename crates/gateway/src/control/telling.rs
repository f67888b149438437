//! Sends updates to other hosts.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use peer::{EncodedNews, PeerClient};
use steering::ids::HostName;
use steering::route::Feed;
use tokio::task::spawn_local;

/// The receiver of an update, and its feed.
type Line = (HostName, Feed);

/// Updates being sent: one at a time for each receiver and feed.
///
/// While one is being sent, the newest later update waits and is sent right after. If updates to a
/// busy receiver were dropped, it would get the changes only with the next poll of the store, later
/// by up to 0.45 of the time within which changes must be applied.
#[derive(Clone, Default)]
pub(super) struct Telling(Rc<RefCell<HashMap<Line, Option<Rc<EncodedNews>>>>>);

impl Telling {
    /// Sends an update, after the one that is being sent has completed.
    pub fn tell(&self, line: Line, client: Rc<PeerClient>, news: Rc<EncodedNews>) {
        let mut under_way = self.0.borrow_mut();
        if let Some(next) = under_way.get_mut(&line) {
            count(line.1, "busy");
            *next = Some(news);
            return;
        }
        under_way.insert(line.clone(), None);
        spawn_local(self.clone().send(line, client, news));
    }

    async fn send(self, line: Line, client: Rc<PeerClient>, first: Rc<EncodedNews>) {
        let mut next = Some(first);
        while let Some(news) = next {
            let told = client.news(&news).await;
            count(line.1, if told.is_ok() { "told" } else { "not_heard" });
            if let Err(error) = told {
                tracing::debug!(event = "news_not_told", host = line.0, %error);
            }
            next = self.next(&line);
        }
    }

    /// The next update to send. Removes the entry if there is none.
    fn next(&self, line: &Line) -> Option<Rc<EncodedNews>> {
        let mut under_way = self.0.borrow_mut();
        let next = under_way.get_mut(line).and_then(Option::take);
        if next.is_none() {
            under_way.remove(line);
        }
        next
    }
}

fn count(feed: Feed, outcome: &'static str) {
    metrics::counter!("stagedeck_news_total", "feed" => feed.to_string(), "outcome" => outcome)
        .increment(1);
}
