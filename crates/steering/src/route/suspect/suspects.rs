//! Which requests and objects are suspected of ending upstreams, and what becomes of them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::news::WorkTold;
use super::suspicion::Suspicion;
use super::work::{WorkIdentity, WorkKey};
use crate::rendezvous;

/// Requests and objects that are kept in mind. An end brings some for each host, and most are
/// cleared with their next answer.
const KNOWN_MOST: usize = 4_096;

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
}

impl Suspects {
    /// Nothing known yet, on the host `me`.
    pub fn new(me: &str) -> Self {
        Suspects {
            known: HashMap::new(),
            apart: rendezvous::hash(me.as_bytes()) as f64 / u64::MAX as f64,
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
        if admission == Admission::Trial {
            self.tried(now, work);
        }
        admission
    }

    /// Whether a request may be sent once more after its upstream has ended. One end is most
    /// often another request's doing; after two the third upstream would be the next.
    pub fn may_be_repeated(&self, work: WorkIdentity) -> bool {
        let mut known = work.keys().filter_map(|key| self.known.get(&key));
        known.all(|known| !known.is_refused())
    }

    /// Takes what this host has seen or was told; true where that is new, and others should be
    /// told.
    pub fn take(&mut self, now: Instant, work: WorkIdentity, told: WorkTold) -> bool {
        let ago = |ms: u32| {
            now.checked_sub(Duration::from_millis(ms.into()))
                .unwrap_or(now)
        };
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
            WorkTold::Cleared => self.known.remove(&work.request).is_some(),
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
                self.known.remove(&key);
            }
        }
        is_new
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
