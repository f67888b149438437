//! Follows what operators and upstreams write to the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::{FeedState, StateQuery, ask_state};
use steering::membership::HostEntry;
use steering::route::{
    Changes, Feed, FeedUpdate, FeedVersion, PollSchedule, Record, UpdateKind, max_retry_pause,
};
use store::RecordError;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use super::follower::{Follower, Missing, tightest};
use super::origin::{Origin, Source};
use super::waits::Wait;

/// Pause after an answer that is older than what was seen before.
const STALE_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait for a host that the settings name; it may be gone.
const SEED_LIMIT: Duration = Duration::from_millis(900);

/// What a question to the store has brought.
pub(super) enum Asked {
    /// What others may be told.
    News(FeedUpdate),
    /// The store is there, but has not told what is wanted: a pace more would be lost, up to
    /// half of the time in which news are to be heeded.
    Again,
    /// Nothing, or nothing for others.
    Nothing,
}

impl Control {
    /// Follows a feed for ever: listens while a host that ranks first tells what is new,
    /// else asks the store and tells the others.
    pub(super) async fn follow(self: Rc<Self>, feed: Feed) {
        if feed != Feed::Hosts {
            self.learn_at_start(feed).await;
        }
        spawn_local(Rc::clone(&self).fill_gaps(feed));
        loop {
            let tightest = tightest(feed, &self.common.bounds());
            self.follower(feed, |own| own.lead.set_tightest_bound(tightest));
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
            let pace = self.follower(feed, |own| own.lead.poll_interval());
            self.listen(feed, pace, Wait::Pace).await;
        }
    }

    /// Waits, but no longer than until this host knows that nobody else can tell what it lacks.
    async fn listen(&self, feed: Feed, most: Duration, wait: Wait) {
        let gap_tried = self.follower(feed, |own| Rc::clone(&own.gap_tried));
        let begun = clock::now();
        // Either way it is looked again whether there is anything to ask.
        let _ = timeout(most, gap_tried.notified()).await;
        self.follower(feed, |own| own.waited(wait, begun));
    }

    /// Asks the store once it is this feed's turn, where there still is anything to ask;
    /// what others are to be told. The turn ends with the call.
    async fn ask_in_turn(&self, feed: Feed) -> Asked {
        // A host that starts asks its seeds for each feed at once.
        let has_met_hosts = self.local.borrow().is_some();
        let begun = clock::now();
        let _turn = match has_met_hosts {
            true => self.outage.turn().await,
            false => None,
        };
        let now = clock::now();
        self.follower(feed, |own| own.waited(Wait::Turn, begun));
        let (rests, tells) = self.follower(feed, |own| {
            (own.lead.poll_delay(now), own.lead.forwards_updates(now))
        });
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

    /// Asks the store; what follows what was known, where anything was.
    pub(super) async fn ask(&self, feed: Feed) -> Asked {
        let (version, wait) = self.follower(feed, |own| (own.version, own.lead.poll_wait()));
        // A call that waits for news would tell later whether the store is back.
        let wait = if self.outage.is_on() {
            Duration::ZERO
        } else {
            wait
        };
        // What a host told of the list is without the key.
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
                    // What is read whole needs no history.
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

    /// Notes whether the store gave an answer. Whatever it says, it is there.
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
                    .go_on(max_retry_pause(self.common.bounds().contact));
                beliefs.store_failed();
            }
        }
    }

    fn note_asked(&self, feed: Feed) {
        if feed == Feed::Hosts {
            self.list_asked.send_replace(true);
        }
    }

    /// Learns from hosts that the settings name, where this host has started while the
    /// store can't be reached: without the key no host tells it anything.
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
                        own.lead.gap_filled(as_of);
                    });
                    return;
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(event = "seed_not_heard", %seed, %error),
            }
        }
    }

    /// What this host has taken from a feed, as another host asks for it; none where it
    /// can't tell.
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

    /// Takes an answer of the store; what others may be told.
    fn asked(&self, feed: Feed, changes: Changes, as_of: Instant) -> FeedUpdate {
        let (version, whole) = (changes.version, changes.whole);
        self.follower(feed, |own| own.answered(version, as_of));
        let source = Source::Store;
        let records = self.take(feed, changes, Origin { source, as_of });
        let records = self.follower(feed, |own| own.keep(version, whole, records));
        self.news(feed, version, records)
    }

    /// What other hosts are told of this one's knowledge.
    pub(super) fn news(
        &self,
        feed: Feed,
        version: FeedVersion,
        records: Vec<Record>,
    ) -> FeedUpdate {
        let now = clock::now();
        let as_of = self.follower(feed, |own| own.lead.as_of());
        let beliefs = self.beliefs.borrow();
        FeedUpdate {
            feed,
            version,
            digest: beliefs.digest(feed),
            store_uptime: beliefs.store_answers(now),
            // Only what was learned from the store, or from a host that had, is told.
            as_of: as_of.unwrap_or(now),
            records,
        }
    }

    /// Takes what another host has learned of a feed. Where something is missing then, that
    /// host is asked for it, and the store where it can't tell.
    pub(super) fn told(&self, from: &HostEntry, news: FeedUpdate) {
        let feed = news.feed;
        let now = clock::now();
        let at = self.follower(feed, |own| own.version);
        let mut used = PollSchedule::classify(at, news.version);
        let mut taken = Vec::new();
        let usual_silence = self.follower(feed, |own| own.lead.stale_after());
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.store_told(now, &from.name, news.store_uptime, usual_silence);
        let dropped = beliefs.waits_no_more(now) && beliefs.expire(now);
        drop(beliefs);
        if dropped {
            self.publish();
        }
        if used == UpdateKind::New {
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
                    used = UpdateKind::Gap;
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
        if used != UpdateKind::Gap {
            self.pass_on(&from.name, feed, taken);
        }
    }

    /// Takes a part of a feed, or all of it; what is worth telling others.
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

/// When an answer of the store was true, at the earliest. The store answers a question that
/// waits as soon as anything is new, else when the wait is over.
fn answer_as_of(begun: Instant, now: Instant, wait: Duration, is_waited: bool) -> Instant {
    match is_waited {
        true => now.min(begun + wait),
        false => begun,
    }
}
