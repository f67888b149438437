//! Reads feeds from other hosts, so that few hosts have to poll the store.
//!
//! When all hosts of a large deployment start at once, reading a thousand rows for each of them
//! would be most of the load that the store ever gets.

use std::rc::Rc;
use std::time::Duration;

use peer::{FeedState, StateQuery, fetch_feed_state};
use steering::membership::HostEntry;
use steering::route::{BootstrapTree, Feed, FeedVersion, HOST_ANSWER_LIMIT};
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, MissingRecords};
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Shortest and longest pause between two requests to a host that is still reading.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// Time after which a starting host reads the store itself, although the hosts that it asks still
/// answer that they are reading. The first of them reads 20,000 upstreams in some 8 s if the store
/// is in another region and gives 200 rows at a time.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);

impl Control {
    /// Reads a whole feed from hosts of this host's group, if there are any.
    pub(super) async fn load_from_group(&self, feed: Feed) {
        // After a timeout the feed is read from the store.
        let _ = timeout(LOAD_TIMEOUT, self.load_feed(feed)).await;
    }

    pub(super) async fn load_feed(&self, feed: Feed) {
        if feed != Feed::Hosts {
            self.wait_for_group().await;
            self.wait_for_first_rows().await;
        }
        let stale_after = self.with_follower(feed, |follower| follower.poll_schedule.stale_after());
        let query = StateQuery {
            feed,
            after: None,
            // With an older state this host would have to poll the store at once.
            max_age: Some(stale_after),
            cursor: None,
        };
        // A host that answers without a state is reading it; one that does not answer is skipped.
        for host in self.hosts_to_ask(feed) {
            let (mut delay, max_delay) = RETRY_DELAYS;
            while let Ok(answer) =
                fetch_feed_state(host.peer_address, query.clone(), HOST_ANSWER_LIMIT).await
            {
                match answer.filter(|state| self.is_current(feed, state)) {
                    Some(state) => return self.apply_loaded(feed, &host, state),
                    None => sleep(delay).await,
                }
                delay = (delay * 2).min(max_delay);
            }
        }
    }

    /// Brings an outdated feed up to date from this host's group, if there is time for it before
    /// the store has to be polled. Returns whether it is up to date.
    ///
    /// The poller of a group may be lost, or not know yet that this host has started. If all its
    /// listeners polled the store then, each would read every upstream's heartbeat since the last
    /// update.
    pub(super) async fn refresh_from_group(&self, feed: Feed) -> bool {
        let may_refresh = |follower: &mut Follower| {
            let schedule = &follower.poll_schedule;
            schedule.allows_host_first() && schedule.as_of().is_some()
        };
        if !self.with_follower(feed, may_refresh) {
            return false;
        }
        if self.with_follower(feed, |follower| follower.version.is_none()) {
            // The store has dropped its history, and the whole feed has to be loaded again.
            self.load_from_group(feed).await;
            return self.with_follower(feed, |follower| follower.version.is_some());
        }
        let refreshing = self.refresh_feed(feed);
        let refreshed = timeout(HOST_ANSWER_LIMIT, refreshing).await;
        let is_refreshed = refreshed.unwrap_or(false);
        count_gap(
            feed,
            if is_refreshed {
                "refreshed"
            } else {
                "not_refreshed"
            },
        );
        is_refreshed
    }

    async fn refresh_feed(&self, feed: Feed) -> bool {
        let version = self.with_follower(feed, |follower| follower.version);
        let Some(parent) = self.hosts_to_ask(feed).into_iter().next() else {
            return false;
        };
        let query = StateQuery {
            feed,
            after: version,
            max_age: Some(
                self.with_follower(feed, |follower| follower.poll_schedule.poll_interval()),
            ),
            cursor: None,
        };
        loop {
            let answer =
                fetch_feed_state(parent.peer_address, query.clone(), HOST_ANSWER_LIMIT).await;
            match answer {
                Ok(Some(state)) if self.is_current(feed, &state) => {
                    self.apply_loaded(feed, &parent, state);
                    return true;
                }
                // The parent is about to be up to date itself.
                Ok(_) => sleep(RETRY_DELAYS.0).await,
                Err(_) => return false,
            }
        }
    }

    /// Hosts of the group to ask, in order. Empty if the deployment is a single group: its hosts
    /// start faster when each reads the few rows itself.
    fn hosts_to_ask(&self, feed: Feed) -> Vec<HostEntry> {
        let group = match self.knows_list() {
            true => self.neighbors().group_to_ask().to_vec(),
            // Groups are formed by the list.
            false => self.zone_hosts(),
        };
        let group = group.iter().chain([&self.this_host]);
        let tree = BootstrapTree::new(&feed.to_string(), group);
        let ancestors = tree.ancestors(&self.this_host.name);
        ancestors.into_iter().cloned().collect()
    }

    pub(super) fn is_current(&self, feed: Feed, state: &FeedState) -> bool {
        self.with_follower(feed, |follower| follower.newest) <= state.changes.version
    }

    pub(super) fn apply_loaded(&self, feed: Feed, from: &HostEntry, state: FeedState) {
        let FeedState { changes, as_of, .. } = state;
        let version = changes.version;
        let age_ms = clock::elapsed(as_of).as_millis() as u64;
        tracing::info!(event = "learned_from_host", feed = %feed, from = from.name, version, age_ms);
        let source = Source::State;
        let whole = changes.whole;
        let records = self.apply(feed, changes, Origin { source, as_of });
        self.with_follower(feed, |follower| follower.loaded(version, as_of));
        self.keep_recent(feed, version, whole, records);
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
        // The whole feed is many times larger. A host that can't reach the store has no other
        // source, and all hosts of a large deployment would make the store send many times more.
        let prefers_hosts = !reaches_store || !self.neighbors().is_one_group;
        if !is_filled && version.is_some() && prefers_hosts {
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
            cursor: None,
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
        let FeedState { changes, as_of, .. } = state;
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
        self.with_follower(feed, |follower| follower.gap_filled(version, as_of));
        let records = self.keep_recent(feed, version, whole, records);
        self.forward_to_group(&sender.name, feed, records);
        true
    }
}

fn count_gap(feed: Feed, outcome: &'static str) {
    metrics::counter!("stagedeck_gaps_total", "feed" => feed.to_string(), "outcome" => outcome)
        .increment(1);
}
