//! Decides which host of a group polls the store for a feed on behalf of the others (the
//! poller).

use std::time::{Duration, Instant};

use super::feed::FeedVersion;
use super::feed_rank::FeedRank;
use super::feed_timing::FeedTiming;

/// A host's schedule for following one feed.
///
/// No host is elected. A host without recent knowledge polls the store and sends what it
/// learns to the others. A host that receives updates from a higher-ranked host only
/// listens. So the highest-ranked host that reaches the store ends up as the only poller.
/// If this host vanishes, the others poll within [`PollSchedule::stale_after`].
///
/// Knowledge is as old as the store's answer that it is based on, however many hosts passed
/// it on and however long the messages took.
#[derive(Debug)]
pub struct PollSchedule {
    /// Rank of this host for the feed.
    rank: FeedRank,
    timing: FeedTiming,
    /// Time at which the updates from the hosts that this host listens to were current in
    /// the store, at the earliest.
    received_as_of: Option<Instant>,
    /// Time at which the known state was current in the store, at the earliest; `None`
    /// before anything is known.
    as_of: Option<Instant>,
    /// Whether the store answered this host's last poll; true before the first one.
    reaches_store: bool,
    /// Whether changes are missing between the known state and the last update.
    gap: bool,
}

/// How to handle an update of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// The update is newer than the known state.
    New,
    /// The update contains nothing newer than the known state.
    Known,
    /// Changes before the update are missing.
    Gap,
}

impl PollSchedule {
    /// Creates the schedule of a host that has received nothing yet. `rank` is this host's
    /// rank for the feed, `tightest_bound` the shortest time within which a change of the feed must take effect.
    pub fn new(rank: FeedRank, tightest_bound: Duration) -> Self {
        PollSchedule {
            rank,
            timing: FeedTiming { tightest_bound },
            received_as_of: None,
            as_of: None,
            reaches_store: true,
            gap: false,
        }
    }

    /// Changes the shortest time within which a change of the feed must take effect.
    pub fn set_tightest_bound(&mut self, tightest_bound: Duration) {
        self.timing.tightest_bound = tightest_bound;
    }

    /// Returns the age of the known state at which this host polls the store itself.
    pub fn stale_after(&self) -> Duration {
        self.timing.stale_after()
    }

    /// Returns whether this host has the time to query another host once its state is outdated;
    /// see [`FeedTiming::allows_host_first`].
    pub fn allows_host_first(&self) -> bool {
        self.timing.allows_host_first()
    }

    /// Returns the time between two polls.
    pub fn poll_interval(&self) -> Duration {
        self.timing.poll_interval()
    }

    /// Returns the time for which a poll waits for changes (long polling).
    pub fn poll_wait(&self) -> Duration {
        self.timing.poll_wait()
    }

    /// Returns the time for which this host need not poll the store; zero if it must.
    pub fn poll_delay(&self, now: Instant) -> Duration {
        match self.gap {
            true => Duration::ZERO,
            false => self
                .listen_time(now)
                .min(self.fresh_for(now).unwrap_or_default()),
        }
    }

    /// Returns the time until the known state is too old to wait for other hosts; `None` if
    /// nothing is known.
    pub fn fresh_for(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| self.time_until_stale(as_of, now))
    }

    /// Returns whether this host sends what it learns to others. A host that only fills a
    /// gap does not.
    pub fn forwards_updates(&self, now: Instant) -> bool {
        self.listen_time(now).is_zero()
    }

    fn listen_time(&self, now: Instant) -> Duration {
        let listen_time = self
            .received_as_of
            .map(|as_of| self.time_until_stale(as_of, now));
        listen_time.unwrap_or_default()
    }

    fn time_until_stale(&self, as_of: Instant, now: Instant) -> Duration {
        let until = as_of + self.stale_after();
        until.saturating_duration_since(now)
    }

    /// Returns the maximum time since the known state was current in the store; `None`
    /// before anything is known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }

    /// Returns the time at which the known state was current in the store, at the earliest;
    /// `None` before anything is known.
    pub fn as_of(&self) -> Option<Instant> {
        self.as_of
    }

    fn advance_as_of(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Records an update from a host of rank `from` that was current in the store at `as_of`.
    /// This host listens only to higher-ranked hosts, and to any host while it can't reach
    /// the store itself.
    pub fn received_update(&mut self, from: FeedRank, kind: UpdateKind, as_of: Instant) {
        if from > self.rank || !self.reaches_store {
            self.received_as_of = self.received_as_of.max(Some(as_of));
        }
        match kind {
            UpdateKind::Gap => self.gap = true,
            UpdateKind::New | UpdateKind::Known => self.advance_as_of(as_of),
        }
    }

    /// Records that the whole state as of `as_of` was received from another host, from
    /// which further updates are expected.
    pub fn bootstrapped(&mut self, as_of: Instant) {
        self.received_as_of = self.received_as_of.max(Some(as_of));
        self.gap_filled(as_of);
    }

    /// Records that the store answered a poll, so that no changes are missing any more.
    pub fn polled(&mut self, as_of: Instant) {
        self.reaches_store = true;
        self.gap_filled(as_of);
    }

    /// Records that no changes are missing any more, without a poll of the store.
    pub fn gap_filled(&mut self, as_of: Instant) {
        self.gap = false;
        self.advance_as_of(as_of);
    }

    /// Returns whether the store answered this host's last poll; true before the first one.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store
    }

    /// Records that the store gave no answer.
    pub fn poll_failed(&mut self) {
        self.reaches_store = false;
    }

    /// Decides how to handle an update up to `version` if this host is at version `at`. A
    /// gap may also show later as different digests after the update is applied.
    pub fn classify(at: Option<FeedVersion>, version: FeedVersion) -> UpdateKind {
        match at {
            Some(at) if version <= at => UpdateKind::Known,
            Some(_) => UpdateKind::New,
            None => UpdateKind::Gap,
        }
    }
}
