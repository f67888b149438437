//! Exchanges whole feeds and missing changes with other hosts.

use std::time::Duration;

use peer::{FeedState, StateCursor, StateError, StateQuery, fetch_feed_state};
use steering::route::{Changes, Feed};

use super::Control;
use super::follower::Follower;
use super::origin::{Origin, Source};

/// Longest wait for a seed host of the settings, which may no longer exist.
const SEED_TIMEOUT: Duration = Duration::from_millis(900);

impl Control {
    /// Reads a feed from the seed hosts of the settings, if this host has started while the store
    /// can't be reached. Without the shared key no host sends it updates.
    pub(super) async fn read_from_seeds(&self, feed: Feed) {
        if self.local.borrow().is_some() {
            return;
        }
        let settings = &self.common.settings;
        let seeds = settings.seeds.iter();
        let query = StateQuery {
            feed,
            after: None,
            max_age: None,
            cursor: None,
        };
        for seed in seeds.filter(|seed| **seed != settings.peer_address) {
            match fetch_feed_state(*seed, query.clone(), SEED_TIMEOUT).await {
                Ok(Some(FeedState { changes, as_of, .. }))
                    if self.with_follower(feed, |follower| follower.newest) <= changes.version =>
                {
                    let version = changes.version;
                    tracing::info!(event = "learned_from_seed", feed = %feed, %seed, version);
                    let source = Source::State;
                    self.apply(feed, changes, Origin { source, as_of });
                    self.with_follower(feed, |follower| {
                        follower.advance(version);
                        follower.poll_schedule.gap_filled(as_of);
                    });
                    return;
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(event = "seed_not_heard", %seed, %error),
            }
        }
    }

    /// Answers another host's request for the state of a feed.
    pub(super) fn feed_state(&self, query: StateQuery) -> Result<FeedState, StateError> {
        let StateQuery {
            feed,
            after,
            max_age,
            cursor,
        } = query;
        let now = clock::now();
        let is_too_old = |follower: &mut Follower| {
            let age = follower.poll_schedule.age(now).unwrap_or(Duration::MAX);
            max_age.is_some_and(|max_age| age > max_age)
        };
        let version = self.with_follower(feed, |follower| follower.version_for_others())?;
        if self.with_follower(feed, is_too_old) {
            return Err(self.with_follower(feed, |follower| follower.outdated_reason(now)));
        }
        let (records, next) = match (after, cursor) {
            (Some(after), cursor) => {
                let offset = match cursor {
                    Some(StateCursor::Offset(offset)) => offset,
                    _ => 0,
                };
                let page =
                    self.with_follower(feed, |follower| follower.changes_page(after, offset));
                page.ok_or(StateError::Unavailable)?
            }
            (None, cursor) => {
                let from = match &cursor {
                    Some(StateCursor::Key(key)) => Some(key.as_str()),
                    _ => None,
                };
                let (records, next) = self.known_state.borrow().state_page(now, feed, from);
                (records, next.map(StateCursor::Key))
            }
        };
        let changes = Changes {
            whole: after.is_none(),
            records,
            version,
        };
        let as_of = self.with_follower(feed, |follower| follower.poll_schedule.as_of());
        let as_of = as_of.ok_or(StateError::Unavailable)?;
        Ok(FeedState {
            changes,
            as_of,
            next,
        })
    }
}
