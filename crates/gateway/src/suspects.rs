//! Requests that crash upstreams, shared between the threads of a host.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::route::{
    Admission, ENDS_REFUSED, RefusedWork, Suspects, WorkDigest, WorkIdentity, WorkKey, WorkNews,
    WorkState, WorkTold,
};
use tokio::sync::mpsc;

/// Source in the log of what this host has observed itself.
const OWN: &str = "own";

/// An update for other hosts.
pub(crate) struct PendingWorkUpdate {
    /// When this host learned of the event.
    pub learned: Instant,
    pub news: WorkNews,
    /// Whether all hosts are told, not only those of the own group. A first crash, and the finding
    /// that the request did not cause it, go to the own group only: with hundreds of hosts, each
    /// upstream that crashes for another reason would cost every host a message for each request in
    /// flight there.
    pub for_all: bool,
}

/// Crash records of this host. The control thread sends updates to other hosts.
pub(crate) struct SharedSuspects {
    suspects: Mutex<Suspects>,
    news: mpsc::UnboundedSender<PendingWorkUpdate>,
}

impl SharedSuspects {
    /// Creates empty records, and the receiver of updates for other hosts.
    pub fn new(me: &str) -> (Self, mpsc::UnboundedReceiver<PendingWorkUpdate>) {
        let (news, fresh) = mpsc::unbounded_channel();
        let suspects = Mutex::new(Suspects::new(me));
        (SharedSuspects { suspects, news }, fresh)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether to admit a request. Also returns the number of crashes attributed to it.
    pub fn admit(&self, work: WorkIdentity) -> (Admission, u32) {
        let mut suspects = self.suspects();
        let admission = suspects.admit(clock::now(), work);
        let ends = suspects.ends_of(work);
        drop(suspects);
        count(match admission {
            Admission::Free => return (admission, ends),
            Admission::Refused(_) => "refused",
            Admission::Trial => "tried",
        });
        if admission == Admission::Trial {
            tracing::info!(
                event = "work_tried",
                work = name(work.request),
                object = name(work.object)
            );
            let told = WorkTold::Tried;
            self.tell(WorkNews { work, told }, true);
        }
        (admission, ends)
    }

    /// Remaining time for which a request must not be sent; none if it may be sent. `ends` is the
    /// number of crashes known when the request was admitted.
    pub fn barred_for(&self, work: WorkIdentity, ends: u32) -> Option<Duration> {
        self.suspects().barred_for(clock::now(), work, ends)
    }

    /// Whether a request may be sent again after its upstream has crashed.
    pub fn may_be_repeated(&self, work: WorkIdentity) -> bool {
        self.suspects().may_be_repeated(work)
    }

    /// Records what a request of this host has shown.
    pub fn learn(&self, work: WorkIdentity, told: WorkTold) {
        let news = WorkNews { work, told };
        if matches!(told, WorkTold::Ended { .. }) {
            count("ended");
        }
        if let Some(ends) = self.take(&news, OWN) {
            self.tell(news, ends >= ENDS_REFUSED);
        }
    }

    /// Applies updates from the host `from`.
    pub fn hear(&self, news: &[WorkNews], from: &str) {
        for news in news {
            self.take(news, from);
        }
    }

    /// Digest of the records, to compare them with those of another host.
    pub fn digest(&self) -> WorkDigest {
        self.suspects().digest(clock::now())
    }

    /// Records that another host with digest `known` may lack; empty if it has the same.
    pub fn missed(&self, known: WorkDigest) -> Vec<WorkState> {
        let now = clock::now();
        let suspects = self.suspects();
        match suspects.digest(now) == known {
            true => Vec::new(),
            false => suspects.states(now),
        }
    }

    /// Merges records that this host has missed and the host `from` provided.
    pub fn merge(&self, states: &[WorkState], from: &str) {
        let now = clock::now();
        let mut suspects = self.suspects();
        suspects.compared(now);
        for state in states {
            let before = suspects.ends(state.key);
            suspects.merge(now, state);
            note_change(state.key, before, suspects.ends(state.key), from);
        }
    }

    /// Records that there are no other hosts.
    pub fn note_alone(&self) {
        self.suspects().note_alone();
    }

    /// Applies an operator's order for a request or an object, and tells all hosts. Returns false
    /// if the order changes nothing.
    pub fn order(&self, key: WorkKey, order: WorkTold) -> bool {
        let work = WorkIdentity::named(key);
        let news = WorkNews { work, told: order };
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

    /// Applies an update. If it is new, returns the larger number of consecutive crashes for the
    /// request or its object, before or after.
    fn take(&self, news: &WorkNews, by: &str) -> Option<u32> {
        let mut suspects = self.suspects();
        let before: Vec<(WorkKey, u32)> = news
            .work
            .keys()
            .map(|key| (key, suspects.ends(key)))
            .collect();
        let is_new = suspects.take(clock::now(), news.work, news.told);
        let mut most = 0;
        for (key, before) in before {
            let ends = suspects.ends(key);
            note_change(key, before, ends, by);
            most = most.max(before).max(ends);
        }
        is_new.then_some(most)
    }

    fn tell(&self, news: WorkNews, for_all: bool) {
        let learned = clock::now();
        // The control thread ends with the host.
        let _ = self.news.send(PendingWorkUpdate {
            learned,
            news,
            for_all,
        });
    }
}

fn note_change(key: WorkKey, before: u32, ends: u32, by: &str) {
    if ends > before && ends >= ENDS_REFUSED {
        tracing::warn!(event = "work_refused", work = name(key), ends, by);
    } else if ends < before && before >= ENDS_REFUSED {
        tracing::info!(event = "work_cleared", work = name(key), ends = before, by);
    }
}

fn count(step: &'static str) {
    metrics::counter!("stagedeck_work_steps_total", "step" => step).increment(1);
}

/// Formats the key of a request or an object as in the log.
pub(crate) fn name(work: WorkKey) -> String {
    format!("{work:016x}")
}
