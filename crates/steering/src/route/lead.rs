//! Which host of a group asks the store for all.

use std::time::{Duration, Instant};

use super::feed::FeedVersion;
use super::news_timing::NewsTiming;
use crate::ids::HostName;
use crate::rendezvous;

/// Hosts that one host of a group gives all that it knows when all start at once. With 4 a
/// zone of 40 is through in three steps; each host then sends four times some 70 KB, which
/// takes 0.1 s on a link of 20 Mbit/s.
const CHILDREN: usize = 4;

/// A host's place in following one feed.
///
/// No host is elected. Who knows nothing recent asks the store, and tells the others what
/// it learns; who is told by a host that ranks before it only listens. So the first in
/// rank that reaches the store ends up as the only one that asks, and where it vanishes
/// the others ask within [`Lead::stale_after`].
///
/// A belief is as old as the store's answer that it rests on, however many hosts it passed
/// and however long the messages took.
#[derive(Debug)]
pub struct Lead {
    me: HostName,
    feed: String,
    timing: NewsTiming,
    /// When what others have told to whom this host listens was true in the store, at the
    /// earliest.
    told: Option<Instant>,
    /// When what is known was true in the store, at the earliest; none before anything is
    /// known.
    as_of: Option<Instant>,
    /// Whether this host's last question to the store was answered, as far as any was.
    reaches_store: bool,
    /// Whether something is missing between what is known and what was told.
    gap: bool,
}

/// What to do with news of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// They go beyond what is known.
    Take,
    /// Nothing in them is newer than what is known.
    Known,
    /// Something else is missing.
    Gap,
}

impl Lead {
    /// A host that has been told nothing yet. `tightest` is the shortest time in which
    /// what the feed says must be heeded.
    pub fn new(me: &str, feed: &str, tightest: Duration) -> Self {
        Lead {
            me: me.to_owned(),
            feed: feed.to_owned(),
            timing: NewsTiming { tightest },
            told: None,
            as_of: None,
            reaches_store: true,
            gap: false,
        }
    }

    /// Changes the shortest time in which what the feed says must be heeded.
    pub fn set_tightest(&mut self, tightest: Duration) {
        self.timing.tightest = tightest;
    }

    /// Age of what is known at which this host asks for itself.
    pub fn stale_after(&self) -> Duration {
        self.timing.stale_after()
    }

    /// Time between two questions.
    pub fn pace(&self) -> Duration {
        self.timing.pace()
    }

    /// Time for which a question waits for news.
    pub fn wait(&self) -> Duration {
        self.timing.wait()
    }

    /// Time for which it need not ask; zero where it must.
    pub fn rests(&self, now: Instant) -> Duration {
        match self.gap {
            true => Duration::ZERO,
            false => self
                .listens_for(now)
                .min(self.fresh_for(now).unwrap_or_default()),
        }
    }

    /// Time until what is known is too old to wait for others; none where nothing is known.
    pub fn fresh_for(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| self.until_stale(as_of, now))
    }

    /// Whether it tells others what it learns. A host that only fills a gap does not.
    pub fn tells(&self, now: Instant) -> bool {
        self.listens_for(now).is_zero()
    }

    fn listens_for(&self, now: Instant) -> Duration {
        let told = self.told.map(|as_of| self.until_stale(as_of, now));
        told.unwrap_or_default()
    }

    fn until_stale(&self, as_of: Instant, now: Instant) -> Duration {
        let until = as_of + self.stale_after();
        until.saturating_duration_since(now)
    }

    /// Time since what is known was true in the store, at the most; none before anything is
    /// known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }

    /// When what is known was true in the store, at the earliest; none before anything is
    /// known.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    fn renew(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Notes that `from` has told something that was true in the store at `as_of`. This host
    /// listens only to who ranks first; to any while it can't reach the store itself.
    pub fn told(&mut self, from: &str, used: Use, as_of: Instant) {
        let first = rendezvous::owner(&self.feed, [self.me.as_str(), from]);
        if first == Some(from) || !self.reaches_store {
            self.told = self.told.max(Some(as_of));
        }
        match used {
            Use::Gap => self.gap = true,
            Use::Take | Use::Known => self.renew(as_of),
        }
    }

    /// Notes that all was learned from another host, as it was in the store at `as_of`;
    /// others are expected to tell more.
    pub fn learned(&mut self, as_of: Instant) {
        self.told = self.told.max(Some(as_of));
        self.filled(as_of);
    }

    /// Notes that it has asked the store, so that nothing is missing any more.
    pub fn asked(&mut self, as_of: Instant) {
        self.reaches_store = true;
        self.filled(as_of);
    }

    /// Notes that nothing is missing any more, without a question to the store.
    pub fn filled(&mut self, as_of: Instant) {
        self.gap = false;
        self.renew(as_of);
    }

    /// Whether this host's last question to the store was answered, as far as any was.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store
    }

    /// Notes that the store gave no answer.
    pub fn failed(&mut self) {
        self.reaches_store = false;
    }

    /// Whom this host, which has started and knows nothing, asks in place of the store:
    /// hosts of its group that rank before it, the nearest first; none where it ranks
    /// first. They form a tree, so that all of a group can start at once and no host
    /// answers more than [`CHILDREN`] others.
    pub fn elders<'a>(&self, group: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
        let ranked = rendezvous::rank(&self.feed, group);
        let before =
            |name: &&str| rendezvous::owner(&self.feed, [self.me.as_str(), *name]) == Some(*name);
        let mut place = ranked
            .iter()
            .filter(|name| **name != self.me && before(name))
            .count();
        let mut elders = Vec::new();
        while place > 0 {
            place = (place - 1) / CHILDREN;
            elders.push(ranked[place]);
        }
        elders
    }

    /// What to do with news up to `version`, where this host stands at `at`. A gap also
    /// shows where the digests differ after the news are taken.
    pub fn judge(at: Option<FeedVersion>, version: FeedVersion) -> Use {
        match at {
            Some(at) if version <= at => Use::Known,
            Some(_) => Use::Take,
            None => Use::Gap,
        }
    }
}
