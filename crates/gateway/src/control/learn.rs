//! Reads feeds from other hosts, so that few hosts have to poll the store.
//!
//! When all hosts of a large deployment start at once, reading a thousand rows for each of them
//! would be most of the load that the store ever gets.

use std::rc::Rc;
use std::time::Duration;

use peer::{FeedState, StateQuery, fetch_feed_state};
use steering::membership::HostEntry;
use steering::route::{Feed, FeedVersion, HOST_ANSWER_LIMIT};
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, MissingRecords};
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Multiple of the time after which a feed is stale. A starting host, which could read the store
/// instead, accepts no state from another host that is older than this.
const MAX_STATE_AGE_FACTOR: u32 = 2;
/// Pause before a host that has no state yet is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after which a starting host reads the store itself. When all hosts start at once, passing
/// the state on over three hosts takes less.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Control {
    /// Reads a whole feed from hosts of this host's group, if there are any.
    pub(super) async fn load_from_group(&self, feed: Feed) {
        // After a timeout the feed is read from the store.
        let _ = timeout(LOAD_TIMEOUT, self.load_feed(feed)).await;
    }

    async fn load_feed(&self, feed: Feed) {
        self.wait_until_hosts_requested().await;
        let max_age = self.with_follower(feed, |follower| follower.poll_schedule.stale_after())
            * MAX_STATE_AGE_FACTOR;
        let query = StateQuery {
            feed,
            after: None,
            max_age: Some(max_age),
        };
        for host in self.hosts_to_ask(feed) {
            while let Ok(answer) =
                fetch_feed_state(host.peer_address, query, HOST_ANSWER_LIMIT).await
            {
                match answer.filter(|state| self.is_current(feed, state)) {
                    Some(state) => return self.apply_loaded(feed, &host, state),
                    None => sleep(RETRY_DELAY).await,
                }
            }
        }
    }

    /// Hosts of the group to ask, in order. Empty if the deployment is a single group: its hosts
    /// start faster when each reads the few rows itself.
    fn hosts_to_ask(&self, feed: Feed) -> Vec<HostEntry> {
        if self.is_one_group() {
            return Vec::new();
        }
        let group = self.group();
        let names = group.iter().map(|host| host.name.as_str());
        let names_to_ask: Vec<String> = self.with_follower(feed, |follower| {
            let names_to_ask = follower.poll_schedule.bootstrap_hosts(names);
            names_to_ask.into_iter().map(str::to_owned).collect()
        });
        let find = |name: &String| group.iter().find(|host| host.name == *name).cloned();
        names_to_ask.iter().filter_map(find).collect()
    }

    fn is_current(&self, feed: Feed, state: &FeedState) -> bool {
        self.with_follower(feed, |follower| follower.newest) <= state.changes.version
    }

    fn apply_loaded(&self, feed: Feed, from: &HostEntry, state: FeedState) {
        let FeedState { changes, as_of } = state;
        let version = changes.version;
        tracing::info!(event = "learned_from_host", feed = %feed, from = from.name, version);
        let source = Source::State;
        let records = self.apply(feed, changes, Origin { source, as_of });
        self.with_follower(feed, |follower| {
            follower.loaded(version, as_of);
            follower.keep_recent(version, true, records);
        });
    }

    /// Requests missing records from the hosts that sent newer updates, until the task is aborted.
    ///
    /// This runs independently of calls to the store. Otherwise, while the store does not answer
    /// and another feed holds the turn to call it, a host would apply no updates from other hosts
    /// for as long as the outage lasts.
    pub(super) async fn fill_gaps(self: Rc<Self>, feed: Feed) {
        let gap_found = self.with_follower(feed, |follower| Rc::clone(&follower.gap_found));
        loop {
            gap_found.notified().await;
            if let Some(missing) = self.with_follower(feed, Follower::take_missing) {
                self.fill_gap(feed, &missing).await;
                self.with_follower(feed, Follower::end_filling);
            }
        }
    }

    /// Requests the missing records from the host that has them.
    async fn fill_gap(&self, feed: Feed, missing: &MissingRecords) {
        let (version, reaches_store) = self.with_follower(feed, |follower| {
            (follower.version, follower.poll_schedule.reaches_store())
        });
        let is_filled = self.fill_after(feed, missing, version).await;
        // The whole feed is many times larger, but a host that can't reach the store has no other
        // source.
        if !is_filled && version.is_some() && !reaches_store {
            self.fill_after(feed, missing, None).await;
        }
    }

    /// Requests the records after a version, or the whole feed. Returns whether the gap is closed.
    async fn fill_after(
        &self,
        feed: Feed,
        missing: &MissingRecords,
        after: Option<FeedVersion>,
    ) -> bool {
        let MissingRecords { sender, digest } = missing;
        let query = StateQuery {
            feed,
            after,
            max_age: None,
        };
        let started_at = clock::now();
        let answer = fetch_feed_state(sender.peer_address, query, HOST_ANSWER_LIMIT).await;
        self.with_follower(feed, |follower| {
            follower.record_wait(Wait::Host, started_at)
        });
        let state = match answer {
            Ok(Some(state)) if self.is_current(feed, &state) => state,
            Ok(_) => {
                count_gap(feed, "not_told");
                return false;
            }
            Err(error) => {
                tracing::debug!(event = "teller_not_heard", feed = %feed, teller = sender.name, %error);
                count_gap(feed, "not_heard");
                return false;
            }
        };
        let FeedState { changes, as_of } = state;
        let (version, whole) = (changes.version, changes.whole);
        let source = Source::State;
        let records = self.apply(feed, changes, Origin { source, as_of });
        // The other host may have advanced since. Its next update then shows whether anything is
        // missing.
        let is_filled = whole || self.known_state.borrow().digest(feed) == *digest;
        count_gap(feed, if is_filled { "filled" } else { "lacks_more" });
        if !is_filled {
            self.with_follower(feed, |follower| follower.hold_back(records));
            return false;
        }
        let records = self.with_follower(feed, |follower| {
            follower.gap_filled(version, as_of);
            follower.keep_recent(version, whole, records)
        });
        self.forward_to_group(&sender.name, feed, records);
        true
    }
}

fn count_gap(feed: Feed, outcome: &'static str) {
    metrics::counter!("stagedeck_gaps_total", "feed" => feed.to_string(), "outcome" => outcome)
        .increment(1);
}
