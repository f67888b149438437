//! News on their way to the hosts that listen.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use peer::{EncodedNews, PeerClient};
use steering::ids::HostName;
use steering::route::Feed;
use tokio::task::spawn_local;

/// A feed, and who is told of it.
type Line = (HostName, Feed);

/// Messages under way, one for each listener and feed.
///
/// A listener that is busy with one gets the newest news right after it. Passed over, it would
/// hear of them with the next question to the store, up to 0.45 of the time in which news are
/// to be heeded later.
#[derive(Clone, Default)]
pub(super) struct Telling(Rc<RefCell<HashMap<Line, Option<Rc<EncodedNews>>>>>);

impl Telling {
    /// Tells a listener news, as soon as the message before has ended.
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

    /// What is to be told now; the line ends where there is nothing.
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
