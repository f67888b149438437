//! Follows the feeds of the store, which operators and upstreams write to.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::{FeedState, StateQuery, ask_state};
use steering::membership::HostEntry;
use steering::route::{Changes, Feed, FeedVersion, Lead, News, Record, Use, pause_most};
use store::RecordError;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, Missing, tightest};
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Pause after the store gave an answer older than a version seen before.
const STALE_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for a seed host of the settings, which may no longer exist.
const SEED_LIMIT: Duration = Duration::from_millis(900);

/// Result of a call to the store.
pub(super) enum Asked {
    /// An update to send to other hosts.
    News(News),
    /// The store answered without the wanted records. Call it again at once: waiting for the next
    /// poll would take up to half of the time within which changes must be applied.
    Again,
    /// No update, or none that other hosts need.
    Nothing,
}

impl Control {
    /// Follows a feed until the task is aborted. Waits for updates while a higher-ranked host polls
    /// the store; otherwise polls the store and sends updates to other hosts.
    pub(super) async fn follow(self: Rc<Self>, feed: Feed) {
        if feed != Feed::Hosts {
            self.learn_at_start(feed).await;
        }
        spawn_local(Rc::clone(&self).fill_gaps(feed));
        loop {
            let tightest = tightest(feed, &self.common.bounds());
            self.follower(feed, |own| own.lead.set_tightest(tightest));
            let rests = self.follower(feed, |own| own.rests(clock::now()));
            if !rests.is_zero() {
                self.listen(feed, rests, Wait::Listening).await;
                continue;
            }
            match self.ask_in_turn(feed).await {
                Asked::News(news) => self.tell_all(&news),
                Asked::Again => continue,
                Asked::Nothing => {}
            }
            let pace = self.follower(feed, |own| own.lead.pace());
            self.listen(feed, pace, Wait::Pace).await;
        }
    }

    /// Waits up to `most`, or until other hosts turn out to be unable to provide missing records.
    async fn listen(&self, feed: Feed, most: Duration, wait: Wait) {
        let gap_tried = self.follower(feed, |own| Rc::clone(&own.gap_tried));
        let begun = clock::now();
        // In both cases the caller checks again whether the store has to be polled.
        let _ = timeout(most, gap_tried.notified()).await;
        self.follower(feed, |own| own.waited(wait, begun));
    }

    /// Calls the store when it is this feed's turn, unless the call is no longer needed by then.
    /// Returns the update for other hosts. The turn ends with the call.
    async fn ask_in_turn(&self, feed: Feed) -> Asked {
        // A starting host does not wait for a turn, so that it asks its seeds for all feeds at
        // once.
        let has_met_hosts = self.local.borrow().is_some();
        let begun = clock::now();
        let _turn = match has_met_hosts {
            true => self.outage.turn().await,
            false => None,
        };
        let now = clock::now();
        self.follower(feed, |own| own.waited(Wait::Turn, begun));
        let (rests, tells) = self.follower(feed, |own| (own.lead.rests(now), own.lead.tells(now)));
        if !rests.is_zero() {
            return Asked::Nothing;
        }
        match self.ask(feed).await {
            Asked::News(news) if !tells => {
                self.tell_own_group(&news);
                Asked::Nothing
            }
            asked => asked,
        }
    }

    /// Calls the store. Reads the changes since the known version, or the whole feed if no version
    /// is known.
    pub(super) async fn ask(&self, feed: Feed) -> Asked {
        let (version, wait) = self.follower(feed, |own| (own.version, own.lead.wait()));
        // During an outage a long poll would delay detecting that the store is back.
        let wait = if self.outage.is_on() {
            Duration::ZERO
        } else {
            wait
        };
        // Other hosts do not send the shared key with the list of hosts.
        let lacks_key = feed == Feed::Hosts && self.key.borrow().is_none();
        let known = version.filter(|_| !lacks_key);
        let begun = clock::now();
        let called = match known {
            Some(after) => self.records.watch(feed, after, wait).await,
            None => self.records.read(feed).await,
        };
        self.follower(feed, |own| own.waited(Wait::Store, begun));
        let outcome = if called.is_ok() { "done" } else { "failed" };
        metrics::counter!("stagedeck_store_calls_total", "feed" => feed.to_string(), "outcome" => outcome)
            .increment(1);
        self.note_call(feed, called.as_ref().err());
        let newest = self.follower(feed, |own| own.newest);
        match called {
            Ok(changes) if changes.version < newest => {
                let version = changes.version;
                tracing::warn!(event = "store_stale", feed = %feed, version, newest);
                sleep(STALE_PAUSE).await;
                Asked::Again
            }
            Ok(changes) => {
                let is_waited = known.is_some() && changes.records.is_empty();
                let as_of = answer_as_of(begun, clock::now(), wait, is_waited);
                let news = self.asked(feed, changes, as_of);
                self.note_asked(feed);
                Asked::News(news)
            }
            Err(error) => {
                self.follower(feed, |own| own.failed(begun, &error));
                self.note_asked(feed);
                if error == RecordError::HistoryGone {
                    // Reading the whole feed does not need the history.
                    let may_read = known.is_some();
                    return if may_read {
                        Asked::Again
                    } else {
                        Asked::Nothing
                    };
                }
                self.ask_seeds(feed).await;
                Asked::Nothing
            }
        }
    }

    /// Records whether the store answered. Any answer, including an error about the history, shows
    /// that the store is available.
    fn note_call(&self, feed: Feed, error: Option<&RecordError>) {
        let mut beliefs = self.beliefs.borrow_mut();
        match error {
            None | Some(RecordError::HistoryGone) => {
                let now = clock::now();
                if self.outage.end() {
                    beliefs.roll.was_cut_off(now);
                }
                let usual_silence = self.follower(feed, |own| own.lead.stale_after());
                beliefs.store_answered(now, usual_silence);
            }
            Some(_) => {
                self.outage
                    .go_on(pause_most(self.common.bounds().reconnect_time));
                beliefs.store_failed();
            }
        }
    }

    fn note_asked(&self, feed: Feed) {
        if feed == Feed::Hosts {
            self.list_asked.send_replace(true);
        }
    }

    /// Reads a feed from the seed hosts of the settings, if this host has started while the store
    /// can't be reached. Without the shared key no host sends it updates.
    async fn ask_seeds(&self, feed: Feed) {
        if self.local.borrow().is_some() {
            return;
        }
        let settings = &self.common.settings;
        let seeds = settings.seeds.iter();
        let query = StateQuery {
            feed,
            after: None,
            most_age: None,
        };
        for seed in seeds.filter(|seed| **seed != settings.peer_address) {
            match ask_state(*seed, query, SEED_LIMIT).await {
                Ok(Some(FeedState { changes, as_of }))
                    if self.follower(feed, |own| own.newest) <= changes.version =>
                {
                    let version = changes.version;
                    tracing::info!(event = "learned_from_seed", feed = %feed, %seed, version);
                    let source = Source::State;
                    self.take(feed, changes, Origin { source, as_of });
                    self.follower(feed, |own| {
                        own.advance(version);
                        own.lead.filled(as_of);
                    });
                    return;
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(event = "seed_not_heard", %seed, %error),
            }
        }
    }

    /// Answers another host's request for the state of a feed; none if this host does not have what
    /// is asked for.
    pub(super) fn state(&self, query: StateQuery) -> Option<FeedState> {
        let StateQuery {
            feed,
            after,
            most_age,
        } = query;
        let now = clock::now();
        let is_too_old = |own: &mut Follower| {
            let age = own.lead.age(now).unwrap_or(Duration::MAX);
            most_age.is_some_and(|most| age > most)
        };
        let version = self.follower(feed, |own| own.version)?;
        if self.follower(feed, is_too_old) {
            return None;
        }
        let records = match after {
            Some(after) => self.follower(feed, |own| own.recent.after(after))?,
            None => self.beliefs.borrow().state(now, feed),
        };
        let changes = Changes {
            whole: after.is_none(),
            records,
            version,
        };
        let as_of = self.follower(feed, |own| own.lead.as_of())?;
        Some(FeedState { changes, as_of })
    }

    /// Applies an answer of the store. Returns the update for other hosts.
    fn asked(&self, feed: Feed, changes: Changes, as_of: Instant) -> News {
        let (version, whole) = (changes.version, changes.whole);
        self.follower(feed, |own| own.answered(version, as_of));
        let source = Source::Store;
        let records = self.take(feed, changes, Origin { source, as_of });
        let records = self.follower(feed, |own| own.keep(version, whole, records));
        self.news(feed, version, records)
    }

    /// Builds an update for other hosts from this host's state.
    pub(super) fn news(&self, feed: Feed, version: FeedVersion, records: Vec<Record>) -> News {
        let now = clock::now();
        let as_of = self.follower(feed, |own| own.lead.as_of());
        let beliefs = self.beliefs.borrow();
        News {
            feed,
            version,
            digest: beliefs.digest(feed),
            store: beliefs.store_answers(now),
            // Updates are sent only after records were received from the store, or from a host that
            // had them from the store, so the age is known.
            as_of: as_of.unwrap_or(now),
            records,
        }
    }

    /// Applies an update from another host. If records are missing, requests them from that host,
    /// and from the store if the host does not have them.
    pub(super) fn told(&self, from: &HostEntry, news: News) {
        let feed = news.feed;
        let now = clock::now();
        let at = self.follower(feed, |own| own.version);
        let mut used = Lead::judge(at, news.version);
        let mut taken = Vec::new();
        let usual_silence = self.follower(feed, |own| own.lead.stale_after());
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.store_told(now, &from.name, news.store, usual_silence);
        let dropped = beliefs.waits_no_more(now) && beliefs.expire(now);
        drop(beliefs);
        if dropped {
            self.publish();
        }
        if used == Use::Take {
            let changes = Changes {
                whole: false,
                records: news.records,
                version: news.version,
            };
            let origin = Origin {
                source: Source::News,
                as_of: news.as_of,
            };
            taken = self.take(feed, changes, origin);
            match self.beliefs.borrow().digest(feed) == news.digest {
                true => {
                    taken = self.follower(feed, |own| own.keep(news.version, false, taken));
                }
                false => {
                    used = Use::Gap;
                    self.follower(feed, |own| own.hold_back(std::mem::take(&mut taken)));
                }
            }
        }
        let missing = Missing {
            teller: from.clone(),
            digest: news.digest,
        };
        self.follower(feed, |own| {
            own.told(used, news.version, news.as_of, missing);
        });
        if used != Use::Gap {
            self.pass_on(&from.name, feed, taken);
        }
    }

    /// Applies changes of a feed. Returns the records to pass on to other hosts.
    pub(super) fn take(&self, feed: Feed, changes: Changes, origin: Origin) -> Vec<Record> {
        let now = clock::now();
        self.take_peer_key(&changes);
        let mut beliefs = self.beliefs.borrow_mut();
        let news = beliefs.take(now, feed, changes, origin);
        let heeded = |record: &Record| !matches!(record, Record::Unusable { .. });
        let changed = news.iter().any(heeded) || beliefs.expire(now);
        drop(beliefs);
        if changed {
            self.publish();
        }
        news
    }

    pub(super) fn follower<T>(&self, feed: Feed, with: impl FnOnce(&mut Follower) -> T) -> T {
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
fn answer_as_of(begun: Instant, now: Instant, wait: Duration, is_waited: bool) -> Instant {
    match is_waited {
        true => now.min(begun + wait),
        false => begun,
    }
}
