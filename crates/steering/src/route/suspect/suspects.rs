//! Which requests and objects are suspected of ending upstreams, and what becomes of them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::news::WorkTold;
use super::state::{WorkDigest, WorkState, ago, digest};
use super::suspicion::Suspicion;
use super::work::{WorkIdentity, WorkKey};
use crate::rendezvous;

/// Requests and objects that are kept in mind. An end brings some for each host, and most are
/// cleared with their next answer.
const KNOWN_MOST: usize = 4_096;

/// Requests and objects that another host is told of at once.
const STATES_MOST: usize = 256;

/// Time after which what others know counts as missed: that of some questions. A host that
/// hears nobody lets no request find out, since another host may just have done so.
const COMPARED_FOR: Duration = Duration::from_secs(3);

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing is known against its work.
    Free,
    /// It is the one that finds out.
    Trial,
    /// It is not sent; another one may be after this time.
    Refused(Duration),
}

/// A request or an object that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedWork {
    /// Which one.
    pub work: WorkKey,
    /// Ends of upstreams under it, one after the other.
    pub ends: u32,
    /// Time after which this host lets a request find out.
    pub refused_for: Duration,
}

/// All that this host knows something against, by its own requests or by others' word.
///
/// Evidence is that of a request that comes again. An object is refused where two requests for
/// it are, with no answer for it between.
#[derive(Debug)]
pub struct Suspects {
    known: HashMap<WorkKey, Suspicion>,
    /// From 0 to 1, another one on each host.
    apart: f64,
    /// When another host last told what it knows; none where none ever has, as on a host that is
    /// alone.
    compared: Option<Instant>,
}

impl Suspects {
    /// Nothing known yet, on the host `me`.
    pub fn new(me: &str) -> Self {
        Suspects {
            known: HashMap::new(),
            apart: rendezvous::hash(me.as_bytes()) as f64 / u64::MAX as f64,
            compared: None,
        }
    }

    /// What may be done with a request that has come. One that finds out is told to others.
    pub fn admit(&mut self, now: Instant, work: WorkIdentity) -> Admission {
        let apart = self.apart;
        let mut admission = Admission::Free;
        for key in work.keys() {
            let Some(known) = self.known.get(&key) else {
                continue;
            };
            if !known.is_remembered(now) {
                self.known.remove(&key);
            } else if known.is_refused() {
                let left = known.refused_until(apart).saturating_duration_since(now);
                admission = match admission {
                    Admission::Refused(most) => Admission::Refused(most.max(left)),
                    _ if !left.is_zero() => Admission::Refused(left),
                    _ => Admission::Trial,
                };
            }
        }
        if admission != Admission::Trial {
            return admission;
        }
        if let Some(wait) = self.hears_nobody_for(now) {
            return Admission::Refused(wait);
        }
        self.tried(now, work);
        Admission::Trial
    }

    /// Time after which to come back to a host that has not heard for too long what others
    /// know; none where it has, or is alone.
    fn hears_nobody_for(&self, now: Instant) -> Option<Duration> {
        let since = now.saturating_duration_since(self.compared?);
        (since > COMPARED_FOR).then_some(COMPARED_FOR)
    }

    /// Notes that another host has told all that it knows.
    pub fn compared(&mut self, now: Instant) {
        self.compared = Some(now);
    }

    /// Notes that there is no other host.
    pub fn note_alone(&mut self) {
        self.compared = None;
    }

    /// Whether a request may be sent once more after its upstream has ended. One end is most
    /// often another request's doing; after two the third upstream would be the next.
    pub fn may_be_repeated(&self, work: WorkIdentity) -> bool {
        let mut known = work.keys().filter_map(|key| self.known.get(&key));
        known.all(|known| !known.is_refused())
    }

    /// Ends known against a request and its object.
    pub fn ends_of(&self, work: WorkIdentity) -> u32 {
        work.keys().map(|key| self.ends(key)).sum()
    }

    /// For how long a request that was let in with `ends` known may not be sent any more, where its
    /// work was refused since, or has ended another upstream.
    pub fn barred_for(&self, now: Instant, work: WorkIdentity, ends: u32) -> Option<Duration> {
        if self.may_be_repeated(work) || self.ends_of(work) <= ends {
            return None;
        }
        let known = work.keys().filter_map(|key| self.known.get(&key));
        let refused = known.filter(|known| known.is_refused());
        let until = refused.map(|known| known.refused_until(self.apart));
        until
            .max()
            .map(|until| until.saturating_duration_since(now))
    }

    /// Takes what this host has seen or was told; true where that is new, and others should be
    /// told.
    pub fn take(&mut self, now: Instant, work: WorkIdentity, told: WorkTold) -> bool {
        let ago = |age_ms| ago(now, age_ms);
        match told {
            WorkTold::Ended {
                start,
                sent_ms,
                ended_ms,
            } => self.ended(now, work, start, ago(sent_ms), ago(ended_ms)),
            WorkTold::Answered { sent_ms } => self.answered(now, work, ago(sent_ms)),
            WorkTold::Refused => {
                self.suspicion(now, work.request, now).refuse(now);
                true
            }
            WorkTold::Cleared => self.clear(now, work.request),
            WorkTold::Tried => self.tried(now, work),
        }
    }

    fn tried(&mut self, now: Instant, work: WorkIdentity) -> bool {
        let mut is_new = false;
        for key in work.keys() {
            let known = self.known.get_mut(&key).filter(|known| known.is_refused());
            is_new |= known.is_some_and(|known| known.try_once(now));
        }
        is_new
    }

    fn answered(&mut self, now: Instant, work: WorkIdentity, sent: Instant) -> bool {
        let mut is_new = false;
        for key in work.keys() {
            let Some(known) = self.known.get_mut(&key) else {
                continue;
            };
            is_new |= known.answered(now, sent);
            if known.is_cleared() {
                self.clear(now, key);
            }
        }
        is_new
    }

    /// Takes back what is held against `key`; false where nothing is.
    fn clear(&mut self, now: Instant, key: WorkKey) -> bool {
        let Some(known) = self.known.get_mut(&key) else {
            return false;
        };
        let is_new = known.ends > 0;
        known.clear(now);
        if !known.is_shared() {
            self.known.remove(&key);
        }
        is_new
    }

    /// Tells whether another host knows the same of what is refused, or was.
    pub fn digest(&self, now: Instant) -> WorkDigest {
        let shared = self.shared(now);
        shared.fold(0, |all, (key, known)| all ^ digest(*key, known.rank()))
    }

    /// What is refused, or was, as it is told at `now`: what has ended most upstreams comes first.
    pub fn states(&self, now: Instant) -> Vec<WorkState> {
        let mut states: Vec<WorkState> = self
            .shared(now)
            .map(|(key, known)| known.state(now, *key))
            .collect();
        states
            .sort_unstable_by_key(|state| (std::cmp::Reverse(state.rank.ends), state.last_end_ms));
        states.truncate(STATES_MOST);
        states
    }

    fn shared(&self, now: Instant) -> impl Iterator<Item = (&WorkKey, &Suspicion)> {
        let shared = self.known.iter();
        shared.filter(move |(_, known)| known.is_shared() && known.is_remembered(now))
    }

    /// Takes what another host knows of a request or an object, where that is more.
    pub fn merge(&mut self, now: Instant, state: &WorkState) {
        let known = self.suspicion(now, state.key, now);
        known.merge(now, state);
        if !known.is_shared() || !known.is_remembered(now) {
            self.known.remove(&state.key);
        }
    }

    fn ended(
        &mut self,
        now: Instant,
        work: WorkIdentity,
        start: u64,
        sent: Instant,
        ended: Instant,
    ) -> bool {
        let request = self.suspicion(now, work.request, ended);
        if !request.count_end(start, sent, ended) {
            return false;
        }
        let is_refused = request.is_refused();
        if work.object == work.request {
            return true;
        }
        if self
            .known
            .get(&work.object)
            .is_some_and(Suspicion::is_refused)
        {
            self.suspicion(now, work.object, ended)
                .count_end(start, sent, ended);
        } else if is_refused {
            self.suspicion(now, work.object, ended)
                .count_request(work.request, ended);
        }
        true
    }

    /// What is known against `key`, begun at `at` where nothing is.
    fn suspicion(&mut self, now: Instant, key: WorkKey, at: Instant) -> &mut Suspicion {
        self.make_room(now, key);
        let known = self.known.entry(key);
        known.or_insert_with(|| Suspicion::new(at))
    }

    /// Ends under a request or an object, for the log.
    pub fn ends(&self, key: WorkKey) -> u32 {
        self.known.get(&key).map_or(0, |known| known.ends)
    }

    /// Requests and objects that are refused now, by key.
    pub fn refused(&self, now: Instant) -> Vec<RefusedWork> {
        let refused = self.known.iter().filter_map(|(work, known)| {
            let until = known.last_end + known.refused_for(self.apart);
            let refused_for = until.saturating_duration_since(now);
            let is_refused = known.is_refused() && !refused_for.is_zero();
            is_refused.then_some(RefusedWork {
                work: *work,
                ends: known.ends,
                refused_for,
            })
        });
        let mut refused: Vec<RefusedWork> = refused.collect();
        refused.sort_unstable_by_key(|refused| refused.work);
        refused
    }

    fn make_room(&mut self, now: Instant, key: WorkKey) {
        if self.known.len() < KNOWN_MOST || self.known.contains_key(&key) {
            return;
        }
        self.known.retain(|_, known| known.is_remembered(now));
        if self.known.len() < KNOWN_MOST {
            return;
        }
        // Those with the fewest ends and the oldest are the least likely to be the cause.
        let first = self.known.iter();
        let first = first.min_by_key(|(_, known)| (known.ends, known.last_end));
        if let Some(key) = first.map(|(key, _)| *key) {
            self.known.remove(&key);
        }
    }
}
