//! Learns from other hosts what the store says, so that few hosts ask it.
//!
//! Where all hosts of a large deployment start at once, a thousand rows for each of them
//! would be most of what the store ever has to tell.

use std::rc::Rc;
use std::time::Duration;

use peer::{FeedState, StateQuery, ask_state};
use steering::membership::HostEntry;
use steering::route::{Feed, FeedVersion, HOST_ANSWER_LIMIT};
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, Missing};
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Times the longest time without news up to which a host's knowledge is of use to one that
/// could ask the store instead.
const STATE_AGE_MOST: u32 = 2;
/// Pause before a host that has nothing to tell yet is asked again.
const AGAIN_AFTER: Duration = Duration::from_millis(100);
/// Time after which a host that has started asks the store itself. Where all start at once
/// three steps from host to host take less.
const PATIENCE: Duration = Duration::from_millis(1_500);

impl Control {
    /// Learns all that a feed says from hosts of the own group, where any is there.
    pub(super) async fn learn_at_start(&self, feed: Feed) {
        // It ends without an answer too: then the store is asked, and tells it.
        let _ = timeout(PATIENCE, self.learn(feed)).await;
    }

    async fn learn(&self, feed: Feed) {
        self.until_list_asked().await;
        let most_age = self.follower(feed, |own| own.lead.stale_after()) * STATE_AGE_MOST;
        let query = StateQuery {
            feed,
            after: None,
            most_age: Some(most_age),
        };
        for elder in self.elders(feed) {
            while let Ok(answer) = ask_state(elder.peer_address, query, HOST_ANSWER_LIMIT).await {
                match answer.filter(|state| self.is_new(feed, state)) {
                    Some(state) => return self.learned(feed, &elder, state),
                    None => sleep(AGAIN_AFTER).await,
                }
            }
        }
    }

    /// Hosts of the group to ask, in order; none in a deployment of one group, whose hosts
    /// start faster where each reads the few rows itself.
    fn elders(&self, feed: Feed) -> Vec<HostEntry> {
        if self.is_one_group() {
            return Vec::new();
        }
        let group = self.group();
        let names = group.iter().map(|host| host.name.as_str());
        let elders: Vec<String> = self.follower(feed, |own| {
            let elders = own.lead.bootstrap_hosts(names);
            elders.into_iter().map(str::to_owned).collect()
        });
        let find = |name: &String| group.iter().find(|host| host.name == *name).cloned();
        elders.iter().filter_map(find).collect()
    }

    fn is_new(&self, feed: Feed, state: &FeedState) -> bool {
        self.follower(feed, |own| own.newest) <= state.changes.version
    }

    fn learned(&self, feed: Feed, from: &HostEntry, state: FeedState) {
        let FeedState { changes, as_of } = state;
        let version = changes.version;
        tracing::info!(event = "learned_from_host", feed = %feed, from = from.name, version);
        let source = Source::State;
        let records = self.take(feed, changes, Origin { source, as_of });
        self.follower(feed, |own| {
            own.learned(version, as_of);
            own.keep(version, true, records);
        });
    }

    /// Learns from those who tell of it what this host lacks, for ever.
    ///
    /// It waits for no call to the store: while the store gave one host no answer and another
    /// feed held the turn, that host took nothing of what it was told, for as long as it lasted.
    pub(super) async fn fill_gaps(self: Rc<Self>, feed: Feed) {
        let gap = self.follower(feed, |own| Rc::clone(&own.gap));
        loop {
            gap.notified().await;
            if let Some(missing) = self.follower(feed, Follower::take_missing) {
                self.fill(feed, &missing).await;
                self.follower(feed, Follower::end_filling);
            }
        }
    }

    /// Asks the host that has told of something for what is missing here.
    async fn fill(&self, feed: Feed, missing: &Missing) {
        let (version, reaches_store) =
            self.follower(feed, |own| (own.version, own.lead.reaches_store()));
        let is_filled = self.fill_after(feed, missing, version).await;
        // All of it takes many times the bytes, but who can't ask the store has nobody else.
        if !is_filled && version.is_some() && !reaches_store {
            self.fill_after(feed, missing, None).await;
        }
    }

    /// Asks for what follows a version, or for all; true where nothing is missing any more.
    async fn fill_after(&self, feed: Feed, missing: &Missing, after: Option<FeedVersion>) -> bool {
        let Missing { teller, digest } = missing;
        let query = StateQuery {
            feed,
            after,
            most_age: None,
        };
        let begun = clock::now();
        let answer = ask_state(teller.peer_address, query, HOST_ANSWER_LIMIT).await;
        self.follower(feed, |own| own.waited(Wait::Host, begun));
        let state = match answer {
            Ok(Some(state)) if self.is_new(feed, &state) => state,
            Ok(_) => {
                count_gap(feed, "not_told");
                return false;
            }
            Err(error) => {
                tracing::debug!(event = "teller_not_heard", feed = %feed, teller = teller.name, %error);
                count_gap(feed, "not_heard");
                return false;
            }
        };
        let FeedState { changes, as_of } = state;
        let (version, whole) = (changes.version, changes.whole);
        let source = Source::State;
        let records = self.take(feed, changes, Origin { source, as_of });
        // The teller may have gone on since: then its next news show whether all is there.
        let is_filled = whole || self.beliefs.borrow().digest(feed) == *digest;
        count_gap(feed, if is_filled { "filled" } else { "lacks_more" });
        if !is_filled {
            self.follower(feed, |own| own.hold_back(records));
            return false;
        }
        let records = self.follower(feed, |own| {
            own.filled(version, as_of);
            own.keep(version, whole, records)
        });
        self.pass_on(&teller.name, feed, records);
        true
    }
}

fn count_gap(feed: Feed, outcome: &'static str) {
    metrics::counter!("stagedeck_gaps_total", "feed" => feed.to_string(), "outcome" => outcome)
        .increment(1);
}
