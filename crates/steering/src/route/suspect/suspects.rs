//! The requests and objects that are suspected of crashing upstreams, and whether they are
//! admitted.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::state::{WorkDigest, WorkState, digest, instant_before};
use super::suspicion::Suspicion;
use super::update::WorkEvent;
use super::work::{WorkIdentity, WorkKey};
use crate::rendezvous;

/// Upper bound of suspicions kept. A crash adds a few per host, and most are removed with the next
/// answer.
const MAX_SUSPICIONS: usize = 4_096;

/// Upper bound of states sent to another host in one message.
const MAX_STATES_PER_MESSAGE: usize = 256;

/// Time without a state from another host after which updates count as missed; allows for a few
/// failed requests. A host without contact to others admits no trial, since another host may have
/// run one already.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No crashes are known that would restrict it.
    Unrestricted,
    /// It is sent as the one trial request.
    Trial,
    /// It is not sent; the work may be tried again after this time.
    Refused(Duration),
}

/// A request or an object that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedWork {
    /// Key of the request or object.
    pub work: WorkKey,
    /// Consecutive crashes of upstreams.
    pub crashes: u32,
    /// Time until this host admits a trial.
    pub refused_for: Duration,
}

/// Suspicions of this host, from its own requests and from other hosts' updates.
///
/// Crashes count against the request. An object is refused if two requests for it are refused with
/// no answer for the object between them.
#[derive(Debug)]
pub struct Suspects {
    suspicions: HashMap<WorkKey, Suspicion>,
    /// Constant from 0 to 1 that scales the jitter; different on each host.
    jitter: f64,
    /// When another host last sent its state; `None` if none ever has, as on a single host.
    last_sync_at: Option<Instant>,
}

impl Suspects {
    /// Creates an instance without suspicions; `me` is the name of this host.
    pub fn new(me: &str) -> Self {
        Suspects {
            suspicions: HashMap::new(),
            jitter: rendezvous::hash(me.as_bytes()) as f64 / u64::MAX as f64,
            last_sync_at: None,
        }
    }

    /// Decides on a new request. The caller announces a [`Admission::Trial`] to the other hosts.
    pub fn admit(&mut self, now: Instant, work: WorkIdentity) -> Admission {
        let jitter = self.jitter;
        let mut admission = Admission::Unrestricted;
        for key in work.keys() {
            let Some(suspicion) = self.suspicions.get(&key) else {
                continue;
            };
            if !suspicion.is_remembered(now) {
                self.suspicions.remove(&key);
            } else if suspicion.is_refused() {
                let remaining = suspicion
                    .refused_until(jitter)
                    .saturating_duration_since(now);
                admission = match admission {
                    Admission::Refused(longest) => Admission::Refused(longest.max(remaining)),
                    _ if !remaining.is_zero() => Admission::Refused(remaining),
                    _ => Admission::Trial,
                };
            }
        }
        if admission != Admission::Trial {
            return admission;
        }
        if let Some(wait) = self.missed_sync_wait(now) {
            return Admission::Refused(wait);
        }
        self.record_trial(now, work);
        Admission::Trial
    }

    /// Time after which a caller may return if this host has been without other hosts' state for
    /// too long; `None` if the state is recent, or the host is alone.
    fn missed_sync_wait(&self, now: Instant) -> Option<Duration> {
        let since = now.saturating_duration_since(self.last_sync_at?);
        (since > SYNC_TIMEOUT).then_some(SYNC_TIMEOUT)
    }

    /// Records that another host has sent its whole state.
    pub fn note_synced(&mut self, now: Instant) {
        self.last_sync_at = Some(now);
    }

    /// Records that there is no other host.
    pub fn note_alone(&mut self) {
        self.last_sync_at = None;
    }

    /// Whether a request may be retried after its upstream crashed. A single crash is most often
    /// another request's fault; after two, a retry would probably crash a third upstream.
    pub fn may_be_retried(&self, work: WorkIdentity) -> bool {
        let mut suspicions = work.keys().filter_map(|key| self.suspicions.get(&key));
        suspicions.all(|suspicion| !suspicion.is_refused())
    }

    /// Crashes known of a request and of its object, added up.
    pub fn crash_count_of(&self, work: WorkIdentity) -> u32 {
        work.keys().map(|key| self.crash_count(key)).sum()
    }

    /// How long a request that was admitted with `known_crashes` crashes may not be sent any more,
    /// because its work was refused since, or has crashed another upstream.
    pub fn blocked_for(
        &self,
        now: Instant,
        work: WorkIdentity,
        known_crashes: u32,
    ) -> Option<Duration> {
        if self.may_be_retried(work) || self.crash_count_of(work) <= known_crashes {
            return None;
        }
        let suspicions = work.keys().filter_map(|key| self.suspicions.get(&key));
        let refused = suspicions.filter(|suspicion| suspicion.is_refused());
        let until = refused.map(|suspicion| suspicion.refused_until(self.jitter));
        until
            .max()
            .map(|until| until.saturating_duration_since(now))
    }

    /// Applies an event that this host saw or another host reported; true if it is new, and other
    /// hosts should be informed.
    pub fn apply(&mut self, now: Instant, work: WorkIdentity, event: WorkEvent) -> bool {
        let at = |age_ms| instant_before(now, age_ms);
        match event {
            WorkEvent::Crashed {
                start,
                sent_ms,
                crashed_ms,
            } => self.record_crash(now, work, start, at(sent_ms), at(crashed_ms)),
            WorkEvent::Answered { sent_ms } => self.record_answer(now, work, at(sent_ms)),
            WorkEvent::Refused => {
                self.suspicion_mut(now, work.request, now).refuse(now);
                true
            }
            WorkEvent::Cleared => self.clear(now, work.request),
            WorkEvent::TrialStarted => self.record_trial(now, work),
        }
    }

    fn record_trial(&mut self, now: Instant, work: WorkIdentity) -> bool {
        let mut is_new = false;
        for key in work.keys() {
            let suspicion = self
                .suspicions
                .get_mut(&key)
                .filter(|suspicion| suspicion.is_refused());
            is_new |= suspicion.is_some_and(|suspicion| suspicion.start_trial(now));
        }
        is_new
    }

    fn record_answer(&mut self, now: Instant, work: WorkIdentity, sent_at: Instant) -> bool {
        let mut is_new = false;
        for key in work.keys() {
            let Some(suspicion) = self.suspicions.get_mut(&key) else {
                continue;
            };
            is_new |= suspicion.record_answer(now, sent_at);
            if suspicion.is_cleared() {
                self.clear(now, key);
            }
        }
        is_new
    }

    /// Clears the suspicion against `key`; false if there is none.
    fn clear(&mut self, now: Instant, key: WorkKey) -> bool {
        let Some(suspicion) = self.suspicions.get_mut(&key) else {
            return false;
        };
        let is_new = suspicion.crashes > 0;
        suspicion.clear(now);
        if !suspicion.is_shared() {
            self.suspicions.remove(&key);
        }
        is_new
    }

    /// Digest over the shared states, to compare with that of another host.
    pub fn digest(&self, now: Instant) -> WorkDigest {
        let shared = self.shared(now);
        shared.fold(0, |all, (key, suspicion)| {
            all ^ digest(*key, suspicion.rank())
        })
    }

    /// The shared states with ages as of `now`, those with the most crashes first.
    pub fn states(&self, now: Instant) -> Vec<WorkState> {
        let mut states: Vec<WorkState> = self
            .shared(now)
            .map(|(key, suspicion)| suspicion.state(now, *key))
            .collect();
        states.sort_unstable_by_key(|state| {
            (std::cmp::Reverse(state.rank.crashes), state.last_crash_ms)
        });
        states.truncate(MAX_STATES_PER_MESSAGE);
        states
    }

    fn shared(&self, now: Instant) -> impl Iterator<Item = (&WorkKey, &Suspicion)> {
        let shared = self.suspicions.iter();
        shared.filter(move |(_, suspicion)| suspicion.is_shared() && suspicion.is_remembered(now))
    }

    /// Takes over another host's state if its version is higher.
    pub fn merge(&mut self, now: Instant, state: &WorkState) {
        let suspicion = self.suspicion_mut(now, state.key, now);
        suspicion.merge(now, state);
        if !suspicion.is_shared() || !suspicion.is_remembered(now) {
            self.suspicions.remove(&state.key);
        }
    }

    fn record_crash(
        &mut self,
        now: Instant,
        work: WorkIdentity,
        start: u64,
        sent_at: Instant,
        crashed_at: Instant,
    ) -> bool {
        let request = self.suspicion_mut(now, work.request, crashed_at);
        if !request.count_crash(start, sent_at, crashed_at) {
            return false;
        }
        let is_refused = request.is_refused();
        if work.object == work.request {
            return true;
        }
        if self
            .suspicions
            .get(&work.object)
            .is_some_and(Suspicion::is_refused)
        {
            self.suspicion_mut(now, work.object, crashed_at)
                .count_crash(start, sent_at, crashed_at);
        } else if is_refused {
            self.suspicion_mut(now, work.object, crashed_at)
                .count_refused_request(work.request, crashed_at);
        }
        true
    }

    /// The suspicion against `key`; a new one starts at `at`.
    fn suspicion_mut(&mut self, now: Instant, key: WorkKey, at: Instant) -> &mut Suspicion {
        self.make_room(now, key);
        let entry = self.suspicions.entry(key);
        entry.or_insert_with(|| Suspicion::new(at))
    }

    /// Crashes known of a request or an object, for the log.
    pub fn crash_count(&self, key: WorkKey) -> u32 {
        self.suspicions
            .get(&key)
            .map_or(0, |suspicion| suspicion.crashes)
    }

    /// Requests and objects that are refused now, sorted by key.
    pub fn refused(&self, now: Instant) -> Vec<RefusedWork> {
        let refused = self.suspicions.iter().filter_map(|(work, suspicion)| {
            let until = suspicion.last_crash_at + suspicion.refused_for(self.jitter);
            let refused_for = until.saturating_duration_since(now);
            let is_refused = suspicion.is_refused() && !refused_for.is_zero();
            is_refused.then_some(RefusedWork {
                work: *work,
                crashes: suspicion.crashes,
                refused_for,
            })
        });
        let mut refused: Vec<RefusedWork> = refused.collect();
        refused.sort_unstable_by_key(|refused| refused.work);
        refused
    }

    fn make_room(&mut self, now: Instant, key: WorkKey) {
        if self.suspicions.len() < MAX_SUSPICIONS || self.suspicions.contains_key(&key) {
            return;
        }
        self.suspicions
            .retain(|_, suspicion| suspicion.is_remembered(now));
        if self.suspicions.len() < MAX_SUSPICIONS {
            return;
        }
        // Suspicions with the fewest and oldest crashes are the least likely to be justified.
        let weakest = self.suspicions.iter();
        let weakest =
            weakest.min_by_key(|(_, suspicion)| (suspicion.crashes, suspicion.last_crash_at));
        if let Some(key) = weakest.map(|(key, _)| *key) {
            self.suspicions.remove(&key);
        }
    }
}
