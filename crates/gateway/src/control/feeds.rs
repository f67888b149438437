//! Follows what operators and upstreams write to the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use peer::ask_state;
use steering::route::{Changes, Feed, FeedVersion, Lead, News, Record, Use};
use store::RecordError;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::settings::{Bounds, GatewaySettings};

/// Time before a call that failed is made again.
const AGAIN_AFTER: Duration = Duration::from_millis(400);

/// Least absence of the store in which reports may lapse: an upstream's report goes
/// after three heartbeats, a second or more each.
const LAPSE_LEAST: Duration = Duration::from_secs(1);

/// Time in which every host should know of a new one, which takes a part of shared
/// bounds: some seconds after its start it gets requests.
const HOSTS_WITHIN: Duration = Duration::from_secs(4);

/// Longest wait for a host that the settings name; it may be gone.
const SEED_LIMIT: Duration = Duration::from_millis(900);

/// How far this host has come in a feed, and who asks for it.
pub(super) struct Follower {
    feed: Feed,
    /// None before the first answer, and once the history is gone.
    version: Option<FeedVersion>,
    /// Newest version that was ever seen. An answer of an earlier one is stale.
    newest: FeedVersion,
    /// When the store, or a host that had asked it, was last heard.
    heard: Option<Instant>,
    /// Since when nothing has been heard from the store.
    lost_since: Option<Instant>,
    lead: Lead,
    /// Told when something is missing.
    gap: Rc<Notify>,
    /// Whether something was missing when this host was last told. Where it still is
    /// after this host has asked, all is read again.
    lacks: bool,
}

impl Follower {
    pub fn new(feed: Feed, settings: &GatewaySettings) -> Self {
        Follower {
            feed,
            version: None,
            newest: 0,
            heard: None,
            lost_since: None,
            lead: Lead::new(
                &settings.host,
                &feed.to_string(),
                tightest(feed, &settings.bounds),
            ),
            gap: Rc::default(),
            lacks: false,
        }
    }

    /// Age of what is believed; none before anything is.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|at| now.saturating_duration_since(at))
    }

    /// Takes an answer; true where the store had been away before it for so long that
    /// reports may have lapsed.
    fn answered(&mut self, version: FeedVersion) -> bool {
        self.heard = Some(Instant::now());
        self.advance(version);
        self.lead.asked();
        let Some(since) = self.lost_since.take() else {
            return false;
        };
        let away = since.elapsed();
        let away_ms = away.as_millis() as u64;
        tracing::info!(event = "store_regained", feed = %self.feed, away_ms);
        away >= LAPSE_LEAST
    }

    fn advance(&mut self, version: FeedVersion) {
        self.version = Some(version);
        self.newest = self.newest.max(version);
    }

    /// Takes what `from` has told, which goes up to `version`.
    fn told(&mut self, now: Instant, from: &str, used: Use, version: FeedVersion) {
        self.lead.told(now, from, used);
        // The teller reaches the store, and says itself if it was away.
        self.lost_since = None;
        if used != Use::Gap {
            self.heard = Some(now);
        }
        match used {
            Use::Known => {}
            Use::Take => {
                self.advance(version);
                self.lacks = false;
            }
            Use::Gap => {
                tracing::debug!(event = "feed_gap", feed = %self.feed, from, again = self.lacks);
                if std::mem::replace(&mut self.lacks, true) {
                    self.version = None;
                }
                self.gap.notify_one();
            }
        }
    }

    /// Takes the failure of a call that began at `begun`.
    fn failed(&mut self, begun: Instant, error: &RecordError) {
        if *error == RecordError::HistoryGone {
            tracing::info!(event = "history_gone", feed = %self.feed);
            self.version = None;
            return;
        }
        if self.lost_since.is_none() {
            tracing::warn!(event = "store_lost", feed = %self.feed, %error);
            self.lost_since = Some(begun);
        }
    }
}

/// Shortest time in which what a feed says must be heeded.
fn tightest(feed: Feed, bounds: &Bounds) -> Duration {
    match feed {
        Feed::Routes => bounds.apply,
        Feed::Upstreams => bounds.drain,
        Feed::Hosts => HOSTS_WITHIN,
    }
}

impl Control {
    /// Follows a feed for ever: listens while a host that ranks first tells what is new,
    /// else asks the store and tells the others.
    pub(super) async fn follow(self: Rc<Self>, feed: Feed) {
        loop {
            let tightest = tightest(feed, &self.common.bounds());
            self.follower(feed, |own| own.lead.set_tightest(tightest));
            let rests = self.follower(feed, |own| own.lead.rests(Instant::now()));
            if !rests.is_zero() {
                let gap = self.follower(feed, |own| Rc::clone(&own.gap));
                // Either way it is looked again whether there is anything to ask.
                let _ = timeout(rests, gap.notified()).await;
                continue;
            }
            let tells = self.follower(feed, |own| own.lead.tells(Instant::now()));
            if let Some(news) = self.ask(feed).await.filter(|_| tells) {
                self.tell_group(&news);
            }
            let pace = self.follower(feed, |own| own.lead.pace());
            sleep(pace).await;
        }
    }

    /// Asks the store; what follows what was known, where anything was.
    async fn ask(&self, feed: Feed) -> Option<News> {
        let (known, wait) = self.follower(feed, |own| (own.version, own.lead.wait()));
        let begun = Instant::now();
        let called = match known {
            Some(after) => self.records.watch(feed, after, wait).await,
            None => self.records.read(feed).await,
        };
        let outcome = if called.is_ok() { "done" } else { "failed" };
        metrics::counter!("stagedeck_store_calls_total", "feed" => feed.to_string(), "outcome" => outcome)
            .increment(1);
        let newest = self.follower(feed, |own| own.newest);
        match called {
            Ok(changes) if changes.version < newest => {
                let version = changes.version;
                tracing::warn!(event = "store_stale", feed = %feed, version, newest);
            }
            Ok(changes) => return Some(self.asked(feed, changes)),
            Err(error) => {
                self.follower(feed, |own| own.failed(begun, &error));
                if error == RecordError::HistoryGone {
                    return None;
                }
                self.ask_seeds(feed).await;
            }
        }
        sleep(AGAIN_AFTER).await;
        None
    }

    /// Learns from hosts that the settings name, where this host has started while the
    /// store can't be reached: without the key no host tells it anything.
    async fn ask_seeds(&self, feed: Feed) {
        if self.local.borrow().is_some() {
            return;
        }
        let settings = &self.common.settings;
        let seeds = settings.seeds.iter();
        for seed in seeds.filter(|seed| **seed != settings.peer_address) {
            match ask_state(*seed, feed, SEED_LIMIT).await {
                Ok(Some(state)) if self.follower(feed, |own| own.newest) <= state.version => {
                    let version = state.version;
                    tracing::info!(event = "learned_from_seed", feed = %feed, %seed, version);
                    self.take(feed, state);
                    self.follower(feed, |own| own.advance(version));
                    return;
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(event = "seed_not_heard", %seed, %error),
            }
        }
    }

    /// All that this host has taken from a feed; none before it has read it.
    pub(super) fn state(&self, feed: Feed) -> Option<Changes> {
        let version = self.follower(feed, |own| own.version)?;
        Some(Changes {
            whole: true,
            records: self.beliefs.borrow().state(Instant::now(), feed),
            version,
        })
    }

    /// Takes an answer of the store; what others may be told.
    fn asked(&self, feed: Feed, changes: Changes) -> News {
        let now = Instant::now();
        let version = changes.version;
        let returned = self.follower(feed, |own| own.answered(version));
        if returned {
            self.beliefs.borrow_mut().store_returned(now);
        }
        let records = self.take(feed, changes);
        let beliefs = self.beliefs.borrow();
        News {
            feed,
            version,
            digest: beliefs.digest(feed),
            store_back_for: beliefs.store_back_for(now),
            records,
        }
    }

    /// Takes what another host has learned of a feed. Where something is missing then,
    /// this host asks the store itself.
    pub(super) fn told(&self, from: &str, news: News) {
        let feed = news.feed;
        let now = Instant::now();
        let at = self.follower(feed, |own| own.version);
        let mut used = Lead::judge(at, news.version);
        if used == Use::Take {
            if let Some(back) = news.store_back_for.and_then(|ago| now.checked_sub(ago)) {
                self.beliefs.borrow_mut().store_returned(back);
            }
            let changes = Changes {
                whole: false,
                records: news.records,
                version: news.version,
            };
            self.take(feed, changes);
            if self.beliefs.borrow().digest(feed) != news.digest {
                used = Use::Gap;
            }
        }
        self.follower(feed, |own| own.told(now, from, used, news.version));
    }

    /// Takes a part of a feed, or all of it; what is worth telling others.
    fn take(&self, feed: Feed, changes: Changes) -> Vec<Record> {
        let now = Instant::now();
        let mut beliefs = self.beliefs.borrow_mut();
        let news = beliefs.take(now, feed, changes);
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
