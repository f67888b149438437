//! Follows what operators and upstreams write to the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use store::{Changes, Feed, FeedVersion, RecordError};
use tokio::time::sleep;

use super::Control;

/// Longest wait for news in one call. A call that a cut link has swallowed ends this
/// long after, so that a host is up to date before it counts as in touch again (3 s).
const WAIT: Duration = Duration::from_secs(2);
/// Least time between two calls of the routes' feed: a storm of changes costs no more.
const ROUTES_EVERY: Duration = Duration::from_millis(200);
/// Least time between two calls of the upstreams' feed. A leaving upstream must get
/// nothing 2 s after it said so; its report is seen within this time and a call's.
const UPSTREAMS_EVERY: Duration = Duration::from_millis(700);
/// Time before a call that failed is made again.
const AGAIN_AFTER: Duration = Duration::from_millis(400);

/// Where a reader of a feed stands.
struct Reader {
    feed: Feed,
    /// None before the first answer, and once the history is gone.
    version: Option<FeedVersion>,
    /// Since when nothing has been heard from the store.
    lost_since: Option<Instant>,
}

impl Control {
    /// Follows operators' documents and evacuations for ever.
    pub(super) async fn follow_routes(self: Rc<Self>) {
        let mut reader = Reader::new(Feed::Routes);
        loop {
            if let Some(changes) = self.next(&mut reader).await {
                let changed = self.beliefs.borrow_mut().take_routes(changes);
                if changed {
                    self.publish();
                }
                sleep(ROUTES_EVERY).await;
            }
        }
    }

    /// Follows upstreams' reports for ever.
    pub(super) async fn follow_upstreams(self: Rc<Self>) {
        let mut reader = Reader::new(Feed::Upstreams);
        loop {
            if let Some(changes) = self.next(&mut reader).await {
                let now = Instant::now();
                let changed = self.beliefs.borrow_mut().take_upstreams(now, changes);
                if changed {
                    self.publish();
                }
                sleep(UPSTREAMS_EVERY).await;
            }
        }
    }

    /// The next changes; none where the call failed, after a pause.
    async fn next(&self, reader: &mut Reader) -> Option<Changes> {
        let called = match reader.version {
            Some(after) => self.records.watch(reader.feed, after, WAIT).await,
            None => self.records.read(reader.feed).await,
        };
        match called {
            Ok(changes) => {
                if reader.answered(changes.version) {
                    self.beliefs.borrow_mut().store_returned(Instant::now());
                }
                Some(changes)
            }
            Err(error) => {
                reader.failed(&error);
                if error != RecordError::HistoryGone {
                    sleep(AGAIN_AFTER).await;
                }
                None
            }
        }
    }
}

impl Reader {
    fn new(feed: Feed) -> Self {
        Reader {
            feed,
            version: None,
            lost_since: None,
        }
    }

    /// Takes an answer; true where the store had been away before it.
    fn answered(&mut self, version: FeedVersion) -> bool {
        self.version = Some(version);
        let Some(since) = self.lost_since.take() else {
            return false;
        };
        let away_ms = since.elapsed().as_millis() as u64;
        tracing::info!(event = "store_regained", feed = %self.feed, away_ms);
        true
    }

    fn failed(&mut self, error: &RecordError) {
        if *error == RecordError::HistoryGone {
            tracing::info!(event = "history_gone", feed = %self.feed);
            self.version = None;
            return;
        }
        if self.lost_since.is_none() {
            tracing::warn!(event = "store_lost", feed = %self.feed, %error);
            self.lost_since = Some(Instant::now());
        }
    }
}
