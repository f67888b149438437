//! How far a host has come in a feed of the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use steering::membership::HostEntry;
use steering::route::{
    Feed, FeedDigest, FeedVersion, HOST_ANSWER_LIMIT, PollSchedule, RecentChanges, Record,
    UpdateKind,
};
use store::RecordError;
use tokio::sync::Notify;

use super::heard::Heard;
use super::origin::Source;
use super::waits::{Wait, Waits};
use crate::settings::{Bounds, GatewaySettings};

/// Longest time for which other hosts are asked for what is missing, in two questions.
const GAP_LIMIT: Duration = HOST_ANSWER_LIMIT.saturating_mul(2);
/// Time in which every host should know of a new one, which takes a part of shared
/// bounds: some seconds after its start it gets requests.
const HOSTS_WITHIN: Duration = Duration::from_secs(4);

/// What another host has taken from a feed, and this one has not.
#[derive(Debug, Clone)]
pub(super) struct Missing {
    /// The other host.
    pub teller: HostEntry,
    /// Digest of all that it has taken.
    pub digest: FeedDigest,
}

/// How far this host has come in a feed, and who asks for it.
pub(super) struct Follower {
    feed: Feed,
    /// None before the first answer, and once the history is gone.
    pub version: Option<FeedVersion>,
    /// Newest version that was ever seen. An answer of an earlier one is stale.
    pub newest: FeedVersion,
    /// The age of what is known, for the thread that answers callers.
    heard: Arc<Heard>,
    /// What held this host up since then.
    waits: Waits,
    /// Since when nothing has been heard from the store.
    lost_since: Option<Instant>,
    pub lead: PollSchedule,
    /// What was lately taken, for hosts that lack some of it.
    pub recent: RecentChanges,
    /// Told when something is missing.
    pub gap: Rc<Notify>,
    /// Told when this host has done what it can to learn it from others.
    pub gap_tried: Rc<Notify>,
    /// What was taken while something before it was missing. Others lack it as well: it is
    /// passed on with what fills the gap.
    held_back: Vec<Record>,
    /// Who told of what is missing.
    missing: Option<Missing>,
    /// Whether another host is being asked for what is missing.
    is_filling: bool,
    /// Whether something was missing when this host was last told. Where it still is
    /// after this host has asked, all is read again.
    lacks: bool,
}

impl Follower {
    pub fn new(feed: Feed, settings: &GatewaySettings, heard: Arc<Heard>) -> Self {
        Follower {
            feed,
            version: None,
            newest: 0,
            heard,
            waits: Waits::default(),
            lost_since: None,
            recent: RecentChanges::default(),
            held_back: Vec::new(),
            missing: None,
            lead: PollSchedule::new(
                &settings.host,
                &feed.to_string(),
                tightest(feed, &settings.bounds),
            ),
            gap: Rc::default(),
            gap_tried: Rc::default(),
            is_filling: false,
            lacks: false,
        }
    }

    /// Notes that this host has waited since `begun` before it could go on with the feed.
    pub fn waited(&mut self, wait: Wait, begun: Instant) {
        self.waits.note(wait, clock::elapsed(begun));
    }

    /// Takes into the lead that the store was heard, or a host that had asked it. Where this
    /// took long, the log tells how old the belief had become, and what it had waited for most.
    fn renew(&mut self, source: Source, take: impl FnOnce(&mut PollSchedule)) {
        let now = clock::now();
        let age = self.lead.age(now).unwrap_or_default();
        let longest = self.waits.take();
        if age > self.lead.stale_after() {
            tracing::info!(
                event = "feed_renewed_late",
                feed = %self.feed,
                %source,
                age_ms = age.as_millis() as u64,
                longest = longest.map(|(wait, _)| wait.to_string()),
                longest_ms = longest.map(|(_, took)| took.as_millis() as u64),
            );
        }
        take(&mut self.lead);
        if let Some(as_of) = self.lead.as_of() {
            self.heard.note(as_of);
        }
    }

    /// Takes an answer of the store, which was true at `as_of`.
    pub fn answered(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::Store, |lead| lead.polled(as_of));
        self.advance(version);
        self.missing = None;
        if let Some(since) = self.lost_since.take() {
            let away_ms = clock::elapsed(since).as_millis() as u64;
            tracing::info!(event = "store_regained", feed = %self.feed, away_ms);
        }
    }

    pub fn advance(&mut self, version: FeedVersion) {
        self.version = Some(version);
        self.newest = self.newest.max(version);
    }

    /// Notes that all was learned from another host, up to `version`.
    pub fn learned(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::State, |lead| lead.bootstrapped(as_of));
        self.advance(version);
    }

    /// Notes that another host has told what was missing, up to `version`.
    pub fn filled(&mut self, version: FeedVersion, as_of: Instant) {
        self.renew(Source::State, |lead| lead.gap_filled(as_of));
        self.advance(version);
        self.lacks = false;
    }

    /// Keeps for others what was taken up to `version`, all of the feed or a part of it, with
    /// what was held back; what they are to be told.
    pub fn keep(&mut self, version: FeedVersion, whole: bool, taken: Vec<Record>) -> Vec<Record> {
        let mut records = std::mem::take(&mut self.held_back);
        records.extend(taken);
        match whole {
            true => self.recent.reset(version),
            false => self.recent.push(version, &records),
        }
        records
    }

    /// Holds back what was taken, since something before it is missing.
    pub fn hold_back(&mut self, taken: Vec<Record>) {
        self.held_back.extend(taken);
    }

    /// What is missing, once; it is being asked for until [`Follower::end_filling`].
    pub fn take_missing(&mut self) -> Option<Missing> {
        let missing = self.missing.take();
        self.is_filling = missing.is_some();
        missing
    }

    /// Notes that another host has been asked for what was missing, with or without success.
    pub fn end_filling(&mut self) {
        self.is_filling = false;
        self.gap_tried.notify_one();
    }

    /// Time for which this host need not ask the store: others tell, or may still tell what
    /// is missing.
    pub fn rests(&self, now: Instant) -> Duration {
        let may_be_filled = self.is_filling || self.missing.is_some();
        match may_be_filled {
            true => self.lead.fresh_for(now).unwrap_or(GAP_LIMIT).min(GAP_LIMIT),
            false => self.lead.poll_delay(now),
        }
    }

    /// Takes what another host has told, which goes up to `version`; it is what is missing
    /// where there is a gap.
    pub fn told(
        &mut self,
        used: UpdateKind,
        version: FeedVersion,
        as_of: Instant,
        missing: Missing,
    ) {
        // The teller reaches the store.
        self.lost_since = None;
        let from = &missing.teller.name;
        match used {
            UpdateKind::Known => {
                self.renew(Source::News, |lead| lead.received_update(from, used, as_of))
            }
            UpdateKind::New => {
                self.renew(Source::News, |lead| lead.received_update(from, used, as_of));
                self.advance(version);
                self.lacks = false;
            }
            UpdateKind::Gap => {
                self.lead.received_update(from, used, as_of);
                tracing::debug!(event = "feed_gap", feed = %self.feed, from, again = self.lacks);
                if std::mem::replace(&mut self.lacks, true) {
                    self.version = None;
                }
                self.missing = Some(missing);
                self.gap.notify_one();
            }
        }
    }

    /// Takes the failure of a call that began at `begun`.
    pub fn failed(&mut self, begun: Instant, error: &RecordError) {
        if *error == RecordError::HistoryGone {
            tracing::info!(event = "history_gone", feed = %self.feed);
            self.version = None;
            return;
        }
        self.lead.poll_failed();
        if self.lost_since.is_none() {
            tracing::warn!(event = "store_lost", feed = %self.feed, %error);
            self.lost_since = Some(begun);
        }
    }
}

/// Shortest time in which what a feed says must be heeded.
pub(super) fn tightest(feed: Feed, bounds: &Bounds) -> Duration {
    match feed {
        Feed::Routes => bounds.apply,
        Feed::Upstreams => bounds.drain,
        Feed::Hosts => HOSTS_WITHIN,
    }
}
