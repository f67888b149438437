//! Follows the feeds of the store, which operators and upstreams write to.

use std::rc::Rc;
use std::time::{Duration, Instant};

use steering::membership::HostEntry;
use steering::route::{
    Changes, Feed, FeedUpdate, FeedVersion, PollSchedule, Record, UpdateKind, max_retry_pause,
};
use store::RecordError;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, MissingRecords, shortest_bound};
use super::list_progress::ListProgress;
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Pause after the store gave an answer older than a version seen before.
const STALE_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// Result of a call to the store.
pub(super) enum PollOutcome {
    /// An update to send to other hosts.
    Update(FeedUpdate),
    /// The store answered without the wanted records. Call it again at once: waiting for the next
    /// poll would take up to half of the time within which changes must be applied.
    Repeat,
    /// No update, or none that other hosts need.
    NoUpdate,
    /// The store gave the hosts of this host's zone. Load the others from them.
    ZoneHosts,
}

impl Control {
    /// Follows a feed until the task is aborted. Waits for updates while a higher-ranked host polls
    /// the store; otherwise polls the store and sends updates to other hosts.
    pub(super) async fn follow(self: Rc<Self>, feed: Feed) {
        if feed != Feed::Hosts {
            self.load_from_group(feed).await;
        }
        spawn_local(Rc::clone(&self).fill_gaps(feed));
        loop {
            let shortest_bound = shortest_bound(feed, &self.common.bounds());
            self.with_follower(feed, |follower| {
                follower.poll_schedule.set_tightest_bound(shortest_bound)
            });
            let delay = self.with_follower(feed, |follower| follower.delay(clock::now()));
            if !delay.is_zero() {
                self.wait_for_update(feed, delay, Wait::Update).await;
                continue;
            }
            if feed != Feed::Hosts && self.refresh_from_group(feed).await {
                continue;
            }
            match self.poll_or_load(feed).await {
                PollOutcome::Update(update) => self.send_to_all_groups(&update),
                PollOutcome::Repeat => continue,
                PollOutcome::ZoneHosts => {
                    self.load_host_list().await;
                    continue;
                }
                PollOutcome::NoUpdate => {}
            }
            let interval =
                self.with_follower(feed, |follower| follower.poll_schedule.poll_interval());
            self.wait_for_update(feed, interval, Wait::PollInterval)
                .await;
        }
    }

    /// Waits up to `max_wait`, or until other hosts turn out to be unable to provide missing
    /// records.
    async fn wait_for_update(&self, feed: Feed, max_wait: Duration, wait: Wait) {
        let gap_attempted = self.with_follower(feed, |follower| Rc::clone(&follower.gap_attempted));
        let started_at = clock::now();
        // In both cases the caller checks again whether the store has to be polled.
        let _ = timeout(max_wait, gap_attempted.notified()).await;
        self.with_follower(feed, |follower| follower.record_wait(wait, started_at));
    }

    /// Calls the store when it is this feed's turn, unless the call is no longer needed by then.
    /// Returns the update for other hosts. The turn ends with the call.
    pub(super) async fn poll_in_turn(&self, feed: Feed) -> PollOutcome {
        // A starting host does not wait for a turn, so that it asks its seeds for all feeds at
        // once.
        let has_joined = self.local.borrow().is_some();
        let started_at = clock::now();
        let _turn = match has_joined {
            true => self.outage.wait_for_turn().await,
            false => None,
        };
        let now = clock::now();
        self.with_follower(feed, |follower| {
            follower.record_wait(Wait::Turn, started_at)
        });
        let (delay, forwards) = self.with_follower(feed, |follower| {
            (
                follower.poll_schedule.poll_delay(now),
                follower.poll_schedule.forwards_updates(now),
            )
        });
        if !delay.is_zero() {
            return PollOutcome::NoUpdate;
        }
        match self.poll_store(feed).await {
            PollOutcome::Update(update) if !forwards => {
                self.send_to_own_group(&update);
                PollOutcome::NoUpdate
            }
            outcome => outcome,
        }
    }

    /// Calls the store. Reads the changes since the known version, or the whole feed if no version
    /// is known.
    pub(super) async fn poll_store(&self, feed: Feed) -> PollOutcome {
        let (version, wait) = self.with_follower(feed, |follower| {
            (follower.version, follower.poll_schedule.poll_wait())
        });
        // During an outage a long poll would delay detecting that the store is back.
        let wait = if self.outage.is_active() {
            Duration::ZERO
        } else {
            wait
        };
        // Other hosts do not send the shared key with the list of hosts.
        let lacks_key = feed == Feed::Hosts && self.key.borrow().is_none();
        let known = version.filter(|_| !lacks_key);
        let started_at = clock::now();
        let result = match known {
            Some(after) => self.records.watch(feed, after, wait).await,
            None if feed == Feed::Hosts && self.lacks_list() => {
                self.records.read_hosts(&self.this_host.zone).await
            }
            None => self.read_whole(feed).await,
        };
        self.with_follower(feed, |follower| {
            follower.record_wait(Wait::Store, started_at)
        });
        let outcome = if result.is_ok() { "done" } else { "failed" };
        metrics::counter!("stagedeck_store_calls_total", "feed" => feed.to_string(), "outcome" => outcome)
            .increment(1);
        self.record_call(feed, result.as_ref().err());
        let newest = self.with_follower(feed, |follower| follower.newest);
        match result {
            Ok(changes) if changes.version < newest => {
                let version = changes.version;
                tracing::warn!(event = "store_stale", feed = %feed, version, newest);
                sleep(STALE_ANSWER_DELAY).await;
                PollOutcome::Repeat
            }
            Ok(changes) if known.is_none() && !changes.whole => {
                self.advance_list(ListProgress::OwnZone);
                let source = Source::Store;
                let as_of = started_at;
                self.apply(feed, changes, Origin { source, as_of });
                PollOutcome::ZoneHosts
            }
            Ok(mut changes) => {
                if feed == Feed::Routes {
                    changes.records.extend(self.pending_routes.take());
                }
                let is_long_poll_result = known.is_some() && changes.records.is_empty();
                let as_of = answer_as_of(started_at, clock::now(), wait, is_long_poll_result);
                let update = self.apply_answer(feed, changes, as_of);
                self.mark_requested(feed);
                let poll_interval =
                    self.with_follower(feed, |follower| follower.poll_schedule.poll_interval());
                // Reading a large feed takes so long that the state is old when it is complete.
                match known.is_none() && clock::elapsed(started_at) > poll_interval {
                    true => PollOutcome::Repeat,
                    false => PollOutcome::Update(update),
                }
            }
            Err(error) => {
                self.with_follower(feed, |follower| follower.store_failed(started_at, &error));
                self.mark_requested(feed);
                if error == RecordError::HistoryGone {
                    // Reading the whole feed does not need the history.
                    let may_read = known.is_some();
                    return if may_read {
                        PollOutcome::Repeat
                    } else {
                        PollOutcome::NoUpdate
                    };
                }
                self.read_from_seeds(feed).await;
                PollOutcome::NoUpdate
            }
        }
    }

    /// Reads a whole feed. Where versions need orders, the operators' rows come with what
    /// stagedeck has written about versions: no host may serve before it knows that.
    async fn read_whole(&self, feed: Feed) -> Result<Changes, RecordError> {
        let mut changes = self.records.read(feed).await?;
        if feed == Feed::Routes && self.common.settings.versions_need_orders {
            let rows = self.read_versions().await?;
            changes.records.extend(rows.records());
        }
        Ok(changes)
    }

    /// Records whether the store answered. Any answer, including an error about the history, shows
    /// that the store is available.
    fn record_call(&self, feed: Feed, error: Option<&RecordError>) {
        let mut known_state = self.known_state.borrow_mut();
        match error {
            None | Some(RecordError::HistoryGone) => {
                let now = clock::now();
                if self.outage.record_answer() {
                    known_state.host_table.was_cut_off(now);
                }
                let stale_after =
                    self.with_follower(feed, |follower| follower.poll_schedule.stale_after());
                known_state.store_answered(now, stale_after);
            }
            Some(_) => {
                self.outage
                    .record_failure(max_retry_pause(self.common.bounds().reconnect_time));
                known_state.store_failed();
            }
        }
    }

    fn mark_requested(&self, feed: Feed) {
        if feed == Feed::Hosts {
            self.advance_list(ListProgress::Complete);
        }
    }

    /// Applies an answer of the store. Returns the update for other hosts.
    fn apply_answer(&self, feed: Feed, changes: Changes, as_of: Instant) -> FeedUpdate {
        let (version, whole) = (changes.version, changes.whole);
        self.with_follower(feed, |follower| follower.store_answered(version, as_of));
        let source = Source::Store;
        let records = self.apply(feed, changes, Origin { source, as_of });
        let records = self.keep_recent(feed, version, whole, records);
        self.build_update(feed, version, records)
    }

    /// Builds an update for other hosts from this host's state.
    pub(super) fn build_update(
        &self,
        feed: Feed,
        version: FeedVersion,
        records: Vec<Record>,
    ) -> FeedUpdate {
        let now = clock::now();
        let as_of = self.with_follower(feed, |follower| follower.poll_schedule.as_of());
        let known_state = self.known_state.borrow();
        FeedUpdate {
            feed,
            version,
            digest: known_state.digest(feed),
            store_uptime: known_state.store_uptime(now),
            // Updates are sent only after records were received from the store, or from a host that
            // had them from the store, so the age is known.
            as_of: as_of.unwrap_or(now),
            records,
        }
    }

    /// Applies an update from another host. If records are missing, requests them from that host,
    /// and from the store if the host does not have them.
    pub(super) fn receive_update(&self, from: &HostEntry, update: FeedUpdate) {
        let feed = update.feed;
        let now = clock::now();
        let version = self.with_follower(feed, |follower| follower.version);
        let mut kind = PollSchedule::classify(version, update.version);
        let mut applied = Vec::new();
        let mut records = update.records;
        if kind == UpdateKind::Known {
            records.retain(Record::is_of_hosts);
        }
        let stale_after = self.with_follower(feed, |follower| follower.poll_schedule.stale_after());
        let mut known_state = self.known_state.borrow_mut();
        known_state.store_reported(now, &from.name, update.store_uptime, stale_after);
        let dropped = known_state.has_overdue_reports(now) && known_state.expire(now);
        drop(known_state);
        if dropped {
            self.publish();
        }
        if kind == UpdateKind::New || !records.is_empty() {
            let changes = Changes {
                whole: false,
                records,
                version: update.version,
            };
            let origin = Origin {
                source: Source::Update,
                as_of: update.as_of,
            };
            applied = self.apply(feed, changes, origin);
            let has_all = self.known_state.borrow().digest(feed) == update.digest;
            match kind == UpdateKind::Known || has_all {
                true => {
                    applied = self.keep_recent(feed, update.version, false, applied);
                }
                false => {
                    kind = UpdateKind::Gap;
                    self.with_follower(feed, |follower| {
                        follower.hold_back(std::mem::take(&mut applied))
                    });
                }
            }
        }
        let missing = MissingRecords {
            sender: from.clone(),
            digest: update.digest,
        };
        self.with_follower(feed, |follower| {
            follower.receive_update(kind, update.version, update.as_of, missing);
        });
        if kind != UpdateKind::Gap {
            self.forward_to_group(&from.name, feed, applied);
        }
    }

    /// Applies changes of a feed. Returns the records to pass on to other hosts.
    pub(super) fn apply(&self, feed: Feed, changes: Changes, origin: Origin) -> Vec<Record> {
        let now = clock::now();
        self.take_peer_key(&changes);
        let mut known_state = self.known_state.borrow_mut();
        let to_forward = known_state.apply(now, feed, changes, origin);
        let is_usable = |record: &Record| !matches!(record, Record::Unusable { .. });
        let changed = to_forward.iter().any(is_usable) || known_state.expire(now);
        drop(known_state);
        if changed {
            self.publish();
        }
        if feed == Feed::Routes && !to_forward.is_empty() {
            self.routes_changed.notify_one();
        }
        to_forward
    }

    /// Keeps applied records for other hosts. Returns the records to pass on.
    pub(super) fn keep_recent(
        &self,
        feed: Feed,
        version: FeedVersion,
        whole: bool,
        applied: Vec<Record>,
    ) -> Vec<Record> {
        let feed_records = self.known_state.borrow().record_count(feed);
        self.with_follower(feed, |follower| {
            follower.recent.set_feed_records(feed_records);
            follower.keep_recent(version, whole, applied)
        })
    }

    pub(super) fn with_follower<T>(&self, feed: Feed, with: impl FnOnce(&mut Follower) -> T) -> T {
        let follower = match feed {
            Feed::Routes => &self.routes,
            Feed::Upstreams => &self.upstreams,
            Feed::Hosts => &self.hosts,
        };
        with(&mut follower.borrow_mut())
    }
}

/// The earliest time at which the store's answer was valid. The store answers a long poll when
/// there is a change, or when the wait is over.
fn answer_as_of(
    started_at: Instant,
    now: Instant,
    wait: Duration,
    is_long_poll_result: bool,
) -> Instant {
    match is_long_poll_result {
        true => now.min(started_at + wait),
        false => started_at,
    }
}
