//! Progress of this host in a feed of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use peer::{StateCursor, StateError};
use steering::membership::HostEntry;
use steering::route::{
    Feed, FeedDigest, FeedRank, FeedVersion, HOST_ANSWER_LIMIT, PollSchedule, RecentChanges,
    Record, UpdateKind,
};
use store::RecordError;
use tokio::sync::Notify;

use super::feed_age::FeedAge;

use super::origin::Source;
use super::state_page::MAX_PAGE_RECORDS;
use super::waits::{LongestWait, Wait};
use crate::settings::{Bounds, GatewaySettings};

/// Longest time to wait for other hosts to provide missing records, in two requests.
const GAP_TIMEOUT: Duration = HOST_ANSWER_LIMIT.saturating_mul(2);
/// Time within which every host should know of a new host, which takes a share of common limits. A
/// new host gets requests some seconds after its start.
const HOSTS_APPLY_TIME: Duration = Duration::from_secs(4);

/// Records that another host has applied and this host has not.
#[derive(Debug, Clone)]
pub(super) struct MissingRecords {
    /// The other host.
    pub sender: HostEntry,
    /// Digest of all records that the other host has applied.
    pub digest: FeedDigest,
}

/// Progress of this host in a feed, and whether this host polls the store for it.
pub(super) struct Follower {
    feed: Feed,
    /// Version up to which records were applied; none before the first answer, and after the
    /// history needed to continue was lost.
    pub version: Option<FeedVersion>,
    /// Newest version seen. An answer with an earlier version is stale.
    pub newest: FeedVersion,
    /// Age of the feed's state, shared with the traffic thread.
    age: Arc<FeedAge>,
    /// Waits since the feed's state was last renewed.
    longest_wait: LongestWait,
    /// Start of the first call that failed since the store was last heard from, directly or through
    /// another host; none if no call failed.
    store_lost_since: Option<Instant>,
    pub poll_schedule: PollSchedule,
    /// Recently applied records, for hosts that lack some of them.
    pub recent: RecentChanges,
    /// Notified when records are missing.
    pub gap_found: Rc<Notify>,
    /// Notified when the request to another host for missing records has completed.
    pub gap_attempted: Rc<Notify>,
    /// Records applied while earlier ones were missing. Other hosts lack the earlier ones too, so
    /// these are passed on together with the records that close the gap.
    held_back: Vec<Record>,
    /// The missing records, and the host that has them.
    missing: Option<MissingRecords>,
    /// Whether missing records are being requested from another host.
    is_filling: bool,
    /// Whether records were missing after the last update. If records are still missing after the
    /// next one, the whole feed is read again.
    had_gap: bool,
    /// Whether the state has been up to date since this host started.
    was_fresh: bool,
}

impl Follower {
    pub fn new(feed: Feed, settings: &GatewaySettings, age: Arc<FeedAge>) -> Self {
        Follower {
            feed,
            version: None,
            newest: 0,
            age,
            longest_wait: LongestWait::default(),
            store_lost_since: None,
            recent: RecentChanges::default(),
            held_back: Vec::new(),
            missing: None,
            poll_schedule: PollSchedule::new(
                FeedRank::new(&feed.to_string(), &settings.host, settings.capacity),
                shortest_bound(feed, &settings.bounds),
            ),
            gap_found: Rc::default(),
            gap_attempted: Rc::default(),
            is_filling: false,
            had_gap: false,
            was_fresh: false,
        }
    }

    /// Records a wait that began at `started_at` and is over.
    pub fn record_wait(&mut self, wait: Wait, started_at: Instant) {
        self.longest_wait.record(wait, clock::elapsed(started_at));
    }

    /// Renews the age of the feed's state. Logs the age and the longest wait if the state had
    /// become stale.
    fn renew(&mut self, source: Source, renew_schedule: impl FnOnce(&mut PollSchedule)) {
        let now = clock::now();
        let age = self.poll_schedule.age(now).unwrap_or_default();
        let longest = self.longest_wait.take();
        if age > self.poll_schedule.stale_after() {
            tracing::info!(
                event = "feed_renewed_late",
                feed = %self.feed,
                %source,
                age_ms = age.as_millis() as u64,
                longest = longest.map(|(wait, _)| wait.to_string()),
                longest_ms = longest.map(|(_, took)| took.as_millis() as u64),
            );
        }
        renew_schedule(&mut self.poll_schedule);
        if let Some(as_of) = self.poll_schedule.as_of() {
            self.age.record(as_of);
            self.was_fresh |= clock::elapsed(as_of) <= self.poll_schedule.stale_after();
        }
    }

    /// Records an answer of the store that was valid at `as_of`.
    pub fn store_answered(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::Store, |schedule| schedule.polled(as_of));
        self.advance(version);
        self.missing = None;
        if let Some(since) = self.store_lost_since.take() {
            let away_ms = clock::elapsed(since).as_millis() as u64;
            tracing::info!(event = "store_regained", feed = %self.feed, away_ms);
        }
    }

    pub fn advance(&mut self, version: FeedVersion) {
        self.version = Some(version);
        self.newest = self.newest.max(version);
    }

    /// Records that the whole feed up to `version` was read from another host.
    pub fn loaded(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::State, |schedule| schedule.bootstrapped(as_of));
        self.advance(version);
    }

    /// Records that another host has provided the missing records up to `version`.
    pub fn gap_filled(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::State, |schedule| schedule.gap_filled(as_of));
        self.advance(version);
        self.had_gap = false;
    }

    /// Keeps applied records for other hosts, together with those held back. `whole` says that they
    /// replace the whole feed. Returns the records to pass on.
    pub fn keep_recent(
        &mut self,
        version: FeedVersion,
        whole: bool,
        applied: Vec<Record>,
    ) -> Vec<Record> {
        let mut records = std::mem::take(&mut self.held_back);
        records.extend(applied);
        match whole {
            true => self.recent.reset(version),
            false => self.recent.push(version, &records),
        }
        records
    }

    /// Version of the state that other hosts may load.
    ///
    /// # Errors
    ///
    /// This host has no state: it has just started, or the store has dropped the history. It is
    /// loading the feed unless a call to the store has failed.
    pub fn version_for_others(&self) -> Result<FeedVersion, StateError> {
        let unavailable = match self.poll_schedule.reaches_store() {
            true => StateError::Loading,
            false => StateError::Unavailable,
        };
        self.version.ok_or(unavailable)
    }

    /// Why this host does not offer a state that is older than queried. If it polls the store or
    /// receives updates, it will soon have a newer one.
    pub fn outdated_reason(&self, now: Instant) -> StateError {
        let age = self.poll_schedule.age(now).unwrap_or(Duration::MAX);
        match age <= self.poll_schedule.stale_after() || !self.was_fresh {
            true => StateError::Loading,
            false => StateError::Unavailable,
        }
    }

    /// A page of the changes after a version, and the cursor of the next page if there are more;
    /// none if some changes are no longer known.
    pub fn changes_page(
        &self,
        after: FeedVersion,
        offset: usize,
    ) -> Option<(Vec<Record>, Option<StateCursor>)> {
        let mut records = self.recent.after(after)?.skip(offset);
        let page: Vec<Record> = records.by_ref().take(MAX_PAGE_RECORDS).cloned().collect();
        let next = records
            .next()
            .map(|_| StateCursor::Offset(offset + page.len()));
        Some((page, next))
    }

    /// Holds records back while earlier ones are missing.
    pub fn hold_back(&mut self, applied: Vec<Record>) {
        self.held_back.extend(applied);
    }

    /// Takes the missing records to request. The request counts as in progress until
    /// [`Follower::end_filling`].
    pub fn take_missing(&mut self) -> Option<MissingRecords> {
        let missing = self.missing.take();
        self.is_filling = missing.is_some();
        missing
    }

    /// Records that the request to another host has completed, successfully or not.
    pub fn end_filling(&mut self) {
        self.is_filling = false;
        self.gap_attempted.notify_one();
    }

    /// Time for which this host need not poll the store, because other hosts send updates or may
    /// still provide missing records.
    pub fn delay(&self, now: Instant) -> Duration {
        let may_be_filled = self.is_filling || self.missing.is_some();
        match may_be_filled {
            true => self
                .poll_schedule
                .fresh_for(now)
                .unwrap_or(GAP_TIMEOUT)
                .min(GAP_TIMEOUT),
            false => self.poll_schedule.poll_delay(now),
        }
    }

    /// Records an update up to `version` from another host. `missing` describes what to request if
    /// there is a gap.
    pub fn receive_update(
        &mut self,
        kind: UpdateKind,
        version: FeedVersion,
        as_of: Instant,
        missing: MissingRecords,
    ) {
        // The sender of the update reaches the store.
        self.store_lost_since = None;
        let from = FeedRank::new(
            &self.feed.to_string(),
            &missing.sender.name,
            missing.sender.capacity,
        );
        match kind {
            UpdateKind::Known => self.renew(Source::Update, |schedule| {
                schedule.received_update(from, kind, as_of)
            }),
            UpdateKind::New => {
                self.renew(Source::Update, |schedule| {
                    schedule.received_update(from, kind, as_of)
                });
                self.advance(version);
                self.had_gap = false;
            }
            UpdateKind::Gap => {
                self.poll_schedule.received_update(from, kind, as_of);
                let sender = &missing.sender.name;
                tracing::debug!(event = "feed_gap", feed = %self.feed, from = sender, again = self.had_gap);
                if std::mem::replace(&mut self.had_gap, true) {
                    self.version = None;
                }
                self.missing = Some(missing);
                self.gap_found.notify_one();
            }
        }
    }

    /// Records a failed call to the store that began at `started_at`.
    pub fn store_failed(&mut self, started_at: Instant, error: &RecordError) {
        if *error == RecordError::HistoryGone {
            tracing::info!(event = "history_gone", feed = %self.feed);
            self.version = None;
            return;
        }
        self.poll_schedule.poll_failed();
        if self.store_lost_since.is_none() {
            tracing::warn!(event = "store_lost", feed = %self.feed, %error);
            self.store_lost_since = Some(started_at);
        }
    }
}

/// Shortest time within which changes of a feed must be applied.
pub(super) fn shortest_bound(feed: Feed, bounds: &Bounds) -> Duration {
    match feed {
        Feed::Routes => bounds.document_apply_time,
        Feed::Upstreams => bounds.drain_time,
        Feed::Hosts => HOSTS_APPLY_TIME,
    }
}
