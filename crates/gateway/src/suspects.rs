//! Work under which upstreams end, as requests ask and hosts tell of it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::route::{
    Admission, CRASHES_TO_REFUSE, RefusedWork, Suspects, WorkDigest, WorkEvent, WorkIdentity,
    WorkKey, WorkState, WorkUpdate,
};
use tokio::sync::mpsc;

/// Who has learned something, for the log, where it is this host itself.
const OWN: &str = "own";

/// News for other hosts.
pub(crate) struct FreshNews {
    /// When this host learned them.
    pub learned: Instant,
    pub news: WorkUpdate,
    /// Whether all hosts are to be told, not only those of the own group. A first end, and that
    /// it was not the cause, is told to few: with hundreds of hosts an upstream that ends by itself
    /// would cost each of them a message for each request that it had in flight.
    pub for_all: bool,
}

/// What this host knows of such work. Others are told by the thread of control.
pub(crate) struct SharedSuspects {
    suspects: Mutex<Suspects>,
    news: mpsc::UnboundedSender<FreshNews>,
}

impl SharedSuspects {
    /// Nothing known, and the news that others are to be told.
    pub fn new(me: &str) -> (Self, mpsc::UnboundedReceiver<FreshNews>) {
        let (news, fresh) = mpsc::unbounded_channel();
        let suspects = Mutex::new(Suspects::new(me));
        (SharedSuspects { suspects, news }, fresh)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What may be done with a request that has come, and the ends known against it.
    pub fn admit(&self, work: WorkIdentity) -> (Admission, u32) {
        let mut suspects = self.suspects();
        let admission = suspects.admit(clock::now(), work);
        let ends = suspects.crash_count_of(work);
        drop(suspects);
        count(match admission {
            Admission::Unrestricted => return (admission, ends),
            Admission::Refused(_) => "refused",
            Admission::Trial => "tried",
        });
        if admission == Admission::Trial {
            tracing::info!(
                event = "work_tried",
                work = name(work.request),
                object = name(work.object)
            );
            let told = WorkEvent::TrialStarted;
            self.tell(WorkUpdate { work, event: told }, true);
        }
        (admission, ends)
    }

    /// For how long a request that was let in with `ends` known may not be sent any more.
    pub fn barred_for(&self, work: WorkIdentity, ends: u32) -> Option<Duration> {
        self.suspects().blocked_for(clock::now(), work, ends)
    }

    /// Whether a request may be sent once more after its upstream has ended.
    pub fn may_be_repeated(&self, work: WorkIdentity) -> bool {
        self.suspects().may_be_retried(work)
    }

    /// Takes what a request of this host has shown.
    pub fn learn(&self, work: WorkIdentity, told: WorkEvent) {
        let news = WorkUpdate { work, event: told };
        if matches!(told, WorkEvent::Crashed { .. }) {
            count("ended");
        }
        if let Some(ends) = self.take(&news, OWN) {
            self.tell(news, ends >= CRASHES_TO_REFUSE);
        }
    }

    /// Takes what the host `from` has told.
    pub fn hear(&self, news: &[WorkUpdate], from: &str) {
        for news in news {
            self.take(news, from);
        }
    }

    /// Tells whether another host knows the same.
    pub fn digest(&self) -> WorkDigest {
        self.suspects().digest(clock::now())
    }

    /// What another host may have missed; empty where it knows the same.
    pub fn missed(&self, known: WorkDigest) -> Vec<WorkState> {
        let now = clock::now();
        let suspects = self.suspects();
        match suspects.digest(now) == known {
            true => Vec::new(),
            false => suspects.states(now),
        }
    }

    /// Takes what this host has missed, as the host `from` knows it.
    pub fn merge(&self, states: &[WorkState], from: &str) {
        let now = clock::now();
        let mut suspects = self.suspects();
        suspects.note_synced(now);
        for state in states {
            let before = suspects.crash_count(state.key);
            suspects.merge(now, state);
            note_change(state.key, before, suspects.crash_count(state.key), from);
        }
    }

    /// Notes that there is no other host.
    pub fn note_alone(&self) {
        self.suspects().note_alone();
    }

    /// Does what an operator wants of a request or an object, and tells all hosts; false where there is
    /// nothing to be done.
    pub fn order(&self, key: WorkKey, order: WorkEvent) -> bool {
        let work = WorkIdentity::named(key);
        let news = WorkUpdate { work, event: order };
        tracing::info!(event = "work_ordered", work = name(key), ?order);
        let is_new = self.take(&news, OWN).is_some();
        if is_new {
            self.tell(news, true);
        }
        is_new
    }

    /// Requests and objects that are refused now.
    pub fn refused(&self) -> Vec<RefusedWork> {
        self.suspects().refused(clock::now())
    }

    /// Ends in a row under the request or its object, now or before, where the news are new.
    fn take(&self, news: &WorkUpdate, by: &str) -> Option<u32> {
        let mut suspects = self.suspects();
        let before: Vec<(WorkKey, u32)> = news
            .work
            .keys()
            .map(|key| (key, suspects.crash_count(key)))
            .collect();
        let is_new = suspects.apply(clock::now(), news.work, news.event);
        let mut most = 0;
        for (key, before) in before {
            let ends = suspects.crash_count(key);
            note_change(key, before, ends, by);
            most = most.max(before).max(ends);
        }
        is_new.then_some(most)
    }

    fn tell(&self, news: WorkUpdate, for_all: bool) {
        let learned = clock::now();
        // The thread of control ends with the host.
        let _ = self.news.send(FreshNews {
            learned,
            news,
            for_all,
        });
    }
}

fn note_change(key: WorkKey, before: u32, ends: u32, by: &str) {
    if ends > before && ends >= CRASHES_TO_REFUSE {
        tracing::warn!(event = "work_refused", work = name(key), ends, by);
    } else if ends < before && before >= CRASHES_TO_REFUSE {
        tracing::info!(event = "work_cleared", work = name(key), ends = before, by);
    }
}

fn count(step: &'static str) {
    metrics::counter!("stagedeck_work_steps_total", "step" => step).increment(1);
}

/// A request or an object, as the log tells it.
pub(crate) fn name(work: WorkKey) -> String {
    format!("{work:016x}")
}
