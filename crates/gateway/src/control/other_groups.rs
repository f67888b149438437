//! Loads a whole feed from other groups of hosts.

use std::future::pending;
use std::pin::pin;
use std::time::Duration;

use futures::future::select_all;
use peer::{FeedState, StateQuery, fetch_feed_state};
use steering::membership::HostEntry;
use steering::route::{Feed, HOST_ANSWER_LIMIT};
use tokio::time::{sleep, timeout};

use super::Control;
use super::feeds::PollOutcome;
use super::list_progress::ListProgress;

/// Time after which other groups are asked for a feed that is being read from the store. A feed of
/// one page has been read by then, also from a store in another region.
const ASK_DELAY: Duration = Duration::from_millis(150);
/// Pause between two questions to a host that is still reading.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which other groups are still asked after the store did not give the feed.
const LOAD_TIMEOUT: Duration = HOST_ANSWER_LIMIT.saturating_mul(2);

impl Control {
    /// Polls the store if it is this feed's turn. While this host has no state of the feed, it
    /// asks the other groups for theirs at the same time: reading the feed takes a call for each
    /// page, and a group near the store is done many times sooner than one in another region.
    pub(super) async fn poll_or_load(&self, feed: Feed) -> PollOutcome {
        let has_state = || self.with_follower(feed, |follower| follower.version.is_some());
        if feed == Feed::Hosts || has_state() {
            return self.poll_in_turn(feed).await;
        }
        let mut loading = pin!(self.load_from_other_groups(feed));
        let outcome = tokio::select! {
            outcome = self.poll_in_turn(feed) => outcome,
            () = &mut loading => return PollOutcome::NoUpdate,
        };
        let is_unread = matches!(outcome, PollOutcome::NoUpdate) && !has_state();
        if is_unread && !self.neighbors().is_one_group {
            // After a timeout the store is polled again.
            let _ = timeout(LOAD_TIMEOUT, loading).await;
        }
        outcome
    }

    /// Asks the first hosts of the other groups until one of them has given its state.
    async fn load_from_other_groups(&self, feed: Feed) {
        sleep(ASK_DELAY).await;
        self.wait_for_list(ListProgress::Complete).await;
        let max_age = self.with_follower(feed, |follower| follower.poll_schedule.stale_after());
        let query = StateQuery {
            feed,
            after: None,
            max_age: Some(max_age),
            cursor: None,
        };
        let neighbors = self.neighbors();
        let hosts = neighbors.first_hosts(feed).iter();
        let asking: Vec<_> = hosts
            .map(|host| Box::pin(self.ask_until_loaded(host, &query)))
            .collect();
        if asking.is_empty() {
            return pending().await;
        }
        let ((host, state), _, _) = select_all(asking).await;
        self.apply_loaded(feed, host, state);
    }

    /// Asks a host for the state of a feed until it has given one.
    async fn ask_until_loaded<'a>(
        &self,
        host: &'a HostEntry,
        query: &StateQuery,
    ) -> (&'a HostEntry, FeedState) {
        loop {
            let answer =
                fetch_feed_state(host.peer_address, query.clone(), HOST_ANSWER_LIMIT).await;
            match answer {
                Ok(Some(state)) if self.is_current(query.feed, &state) => return (host, state),
                Ok(_) => {}
                Err(error) => {
                    let feed = query.feed;
                    tracing::debug!(event = "group_not_heard", feed = %feed, host = host.name, %error);
                }
            }
            sleep(ASK_INTERVAL).await;
        }
    }
}
