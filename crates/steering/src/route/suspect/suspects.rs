//! Which work is suspected of ending upstreams, and what becomes of it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::news::WorkTold;
use super::work::WorkKey;
use crate::rendezvous;

/// Ends from which on work is not sent, but to find out. One tells little: whatever else was in
/// flight at the upstream may have been the cause. Other work is answered elsewhere before a
/// second one comes.
pub const ENDS_REFUSED: u32 = 2;
/// Time after the second end in which the work is refused: longer than an upstream takes to be
/// back, since what finds out may end the next one.
const REFUSED_AT_FIRST: Duration = Duration::from_secs(5);
/// Times that this grows with each further end.
const REFUSED_GROWS: u32 = 4;
/// Share of the time by which hosts wait apart: each would else find out in the same moment, and
/// end an upstream of its own.
const APART_SHARE: f64 = 0.5;
/// Longest time: an operator who has mended it waits no longer.
const REFUSED_MOST: Duration = Duration::from_secs(120);
/// Ends for which work counts that an operator wants refused: it is for the longest time.
const ENDS_BY_OPERATOR: u32 = ENDS_REFUSED + 3;
/// Answers, one after the other, after which work that was refused is served again: requests on
/// the same object may be of more than one kind, and some of them harmless.
const ANSWERS_CLEAR: u32 = 3;
/// Time between two of these.
const ANSWERS_APART: Duration = Duration::from_millis(500);
/// Time for which others wait for the request that finds out. Work that takes longer is found
/// out by another.
const TRIED_FOR: Duration = Duration::from_secs(3);
/// Time after which an end is forgotten, where the work is not refused for longer.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Kinds of work that are kept in mind. An end brings some for each host, and most are cleared
/// with their next answer.
const KNOWN_MOST: usize = 4_096;
/// Starts of upstreams remembered for a kind of work, so that one end told by two counts once.
const STARTS_MOST: usize = 8;

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

/// A kind of work that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedWork {
    /// The work.
    pub work: WorkKey,
    /// Ends of upstreams under it, one after the other.
    pub ends: u32,
    /// Time after which this host lets a request find out.
    pub refused_for: Duration,
}

/// What is known against a kind of work.
#[derive(Debug)]
struct Suspicion {
    /// Starts of upstreams that have ended under it, the last ones.
    starts: Vec<u64>,
    /// Ends one after the other: what was in flight at several upstreams as all of them ended
    /// counts once, as where a zone loses its power.
    ends: u32,
    last_end: Instant,
    tried_since: Option<Instant>,
    /// Answers since the last end to requests that found out.
    answers: u32,
    last_answer: Option<Instant>,
}

impl Suspicion {
    fn new(now: Instant) -> Self {
        Suspicion {
            starts: Vec::new(),
            ends: 0,
            last_end: now,
            tried_since: None,
            answers: 0,
            last_answer: None,
        }
    }

    /// Time for which it is refused; `apart` is a number of the host's own from 0 to 1.
    fn refused_for(&self, apart: f64) -> Duration {
        let Some(more) = self.ends.checked_sub(ENDS_REFUSED) else {
            return Duration::ZERO;
        };
        let times = REFUSED_GROWS.saturating_pow(more);
        let refused = REFUSED_AT_FIRST.saturating_mul(times).min(REFUSED_MOST);
        refused.mul_f64(1.0 + APART_SHARE * apart)
    }

    /// Until when it is refused.
    fn refused_until(&self, apart: f64) -> Instant {
        let by_ends = self.last_end + self.refused_for(apart);
        let apart = ANSWERS_APART.mul_f64(1.0 + APART_SHARE * apart);
        let by_answers = self.last_answer.map(|at| at + apart);
        let by_trial = self.tried_since.map(|since| since + TRIED_FOR);
        let later = |until: Instant, other: Option<Instant>| other.map_or(until, |o| o.max(until));
        later(later(by_ends, by_answers), by_trial)
    }

    /// Counts all that follows from an end.
    fn end_at(&mut self, ended: Instant) {
        self.last_end = self.last_end.max(ended);
        self.tried_since = None;
        self.answers = 0;
        self.last_answer = None;
    }

    /// Takes an answer; true where nothing is held against the work any more.
    fn answered(&mut self, now: Instant) -> bool {
        self.answers += 1;
        self.last_answer = Some(now);
        self.tried_since = None;
        self.ends < ENDS_REFUSED || self.answers >= ANSWERS_CLEAR
    }

    fn is_remembered(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.last_end);
        since < REMEMBERED.max(2 * self.refused_for(1.0))
    }
}

/// All work that this host knows something against, by its own requests or by others' word.
#[derive(Debug)]
pub struct Suspects {
    works: HashMap<WorkKey, Suspicion>,
    /// From 0 to 1, another one on each host.
    apart: f64,
}

impl Suspects {
    /// Nothing known yet, on the host `me`.
    pub fn new(me: &str) -> Self {
        Suspects {
            works: HashMap::new(),
            apart: rendezvous::hash(me.as_bytes()) as f64 / u64::MAX as f64,
        }
    }

    /// What may be done with a request that has come. One that finds out is told to others.
    pub fn admit(&mut self, now: Instant, work: WorkKey) -> Admission {
        let Some(known) = self.works.get_mut(&work) else {
            return Admission::Free;
        };
        if !known.is_remembered(now) {
            self.works.remove(&work);
            return Admission::Free;
        }
        if known.ends < ENDS_REFUSED {
            return Admission::Free;
        }
        let until = known.refused_until(self.apart);
        if until > now {
            return Admission::Refused(until - now);
        }
        known.tried_since = Some(now);
        Admission::Trial
    }

    /// Whether a request may be sent once more after its upstream has ended. One end is most
    /// often another request's doing; after two the third upstream would be the next.
    pub fn may_be_repeated(&self, work: WorkKey) -> bool {
        let known = self.works.get(&work);
        known.is_none_or(|known| known.ends < ENDS_REFUSED)
    }

    /// Takes what this host has seen or was told; true where that is new, and others should be
    /// told.
    pub fn take(&mut self, now: Instant, work: WorkKey, told: WorkTold) -> bool {
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
                self.make_room(now, work);
                let known = self.works.entry(work);
                let known = known.or_insert_with(|| Suspicion::new(now));
                known.ends = ENDS_BY_OPERATOR;
                known.end_at(now);
                true
            }
            WorkTold::Cleared => self.works.remove(&work).is_some(),
            WorkTold::Tried => {
                let known = self.works.get_mut(&work);
                known.is_some_and(|known| known.tried_since.replace(now).is_none())
            }
        }
    }

    fn answered(&mut self, now: Instant, work: WorkKey, sent: Instant) -> bool {
        let Some(known) = self.works.get_mut(&work) else {
            return false;
        };
        // What was under way at the last end has found nothing out since.
        if known.ends >= ENDS_REFUSED && sent < known.last_end {
            return false;
        }
        if known.answered(now) {
            self.works.remove(&work);
        }
        true
    }

    fn ended(
        &mut self,
        now: Instant,
        work: WorkKey,
        start: u64,
        sent: Instant,
        ended: Instant,
    ) -> bool {
        self.make_room(now, work);
        let known = self.works.entry(work);
        let known = known.or_insert_with(|| Suspicion::new(ended));
        if known.starts.contains(&start) {
            return false;
        }
        if known.starts.len() == STARTS_MOST {
            known.starts.remove(0);
        }
        known.starts.push(start);
        if known.ends == 0 || sent >= known.last_end {
            known.ends += 1;
            known.end_at(ended);
        }
        true
    }

    /// Ends under a kind of work, for the log.
    pub fn ends(&self, work: WorkKey) -> u32 {
        self.works.get(&work).map_or(0, |known| known.ends)
    }

    /// Kinds of work that are refused now, by key.
    pub fn refused(&self, now: Instant) -> Vec<RefusedWork> {
        let refused = self.works.iter().filter_map(|(work, known)| {
            let until = known.last_end + known.refused_for(self.apart);
            let refused_for = until.saturating_duration_since(now);
            let is_refused = known.ends >= ENDS_REFUSED && !refused_for.is_zero();
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

    fn make_room(&mut self, now: Instant, work: WorkKey) {
        if self.works.len() < KNOWN_MOST || self.works.contains_key(&work) {
            return;
        }
        self.works.retain(|_, known| known.is_remembered(now));
        if self.works.len() < KNOWN_MOST {
            return;
        }
        // Those with the fewest ends and the oldest are the least likely to be the cause.
        let first = self.works.iter();
        let first = first.min_by_key(|(_, known)| (known.ends, known.last_end));
        if let Some(work) = first.map(|(work, _)| *work) {
            self.works.remove(&work);
        }
    }
}
