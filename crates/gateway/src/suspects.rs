//! Requests that crash upstreams, shared between the threads of a host.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::route::{
    Admission, CRASHES_TO_REFUSE, RefusedWork, Suspects, WorkDigest, WorkEvent, WorkIdentity,
    WorkKey, WorkState, WorkUpdate,
};
use tokio::sync::mpsc;

/// Source in the log of what this host has observed itself.
const OWN: &str = "own";

/// An update for other hosts.
pub(crate) struct PendingWorkUpdate {
    /// When this host learned of the event.
    pub learned_at: Instant,
    pub update: WorkUpdate,
    /// Whether all hosts are told, not only those of this host's group. A first crash, and the
    /// finding that the request did not cause it, go to this host's group only: with hundreds of
    /// hosts, each upstream that crashes for another reason would cost every host a message for
    /// each request in flight there.
    pub for_all: bool,
}

/// Crash records of this host. The control thread sends updates to other hosts.
pub(crate) struct SharedSuspects {
    suspects: Mutex<Suspects>,
    updates: mpsc::UnboundedSender<PendingWorkUpdate>,
}

impl SharedSuspects {
    /// Creates empty records, and the receiver of updates for other hosts.
    pub fn new(this_host: &str) -> (Self, mpsc::UnboundedReceiver<PendingWorkUpdate>) {
        let (updates, receiver) = mpsc::unbounded_channel();
        let suspects = Mutex::new(Suspects::new(this_host));
        (SharedSuspects { suspects, updates }, receiver)
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether to admit a request. Also returns the number of crashes attributed to the
    /// request.
    pub fn admit(&self, work: WorkIdentity) -> (Admission, u32) {
        let mut suspects = self.suspects();
        let admission = suspects.admit(clock::now(), work);
        let crashes = suspects.crash_count_of(work);
        drop(suspects);
        count(match admission {
            Admission::Unrestricted => return (admission, crashes),
            Admission::Refused(_) => "refused",
            Admission::Trial => "tried",
        });
        if admission == Admission::Trial {
            tracing::info!(
                event = "work_tried",
                work = format_key(work.request),
                object = format_key(work.object)
            );
            let event = WorkEvent::TrialStarted;
            self.send_update(WorkUpdate { work, event }, true);
        }
        (admission, crashes)
    }

    /// Remaining time for which a request must not be sent; none if it may be sent. `crashes` is
    /// the number of crashes known when the request was admitted.
    pub fn blocked_for(&self, work: WorkIdentity, crashes: u32) -> Option<Duration> {
        self.suspects().blocked_for(clock::now(), work, crashes)
    }

    /// Whether a request may be sent again after its upstream has crashed.
    pub fn may_be_retried(&self, work: WorkIdentity) -> bool {
        self.suspects().may_be_retried(work)
    }

    /// Records what a request of this host has shown.
    pub fn record_event(&self, work: WorkIdentity, event: WorkEvent) {
        let update = WorkUpdate { work, event };
        if matches!(event, WorkEvent::Crashed { .. }) {
            count("ended");
        }
        if let Some(crashes) = self.apply(&update, OWN) {
            self.send_update(update, crashes >= CRASHES_TO_REFUSE);
        }
    }

    /// Applies updates from the host `from`.
    pub fn receive(&self, updates: &[WorkUpdate], from: &str) {
        for update in updates {
            self.apply(update, from);
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
        suspects.note_synced(now);
        for state in states {
            let before = suspects.crash_count(state.key);
            suspects.merge(now, state);
            log_change(state.key, before, suspects.crash_count(state.key), from);
        }
    }

    /// Records that there are no other hosts.
    pub fn note_alone(&self) {
        self.suspects().note_alone();
    }

    /// Applies an operator's order for a request or an object, and tells all hosts. Returns false
    /// if the order changes nothing.
    pub fn order(&self, key: WorkKey, order: WorkEvent) -> bool {
        let work = WorkIdentity::named(key);
        let update = WorkUpdate { work, event: order };
        tracing::info!(event = "work_ordered", work = format_key(key), ?order);
        let is_new = self.apply(&update, OWN).is_some();
        if is_new {
            self.send_update(update, true);
        }
        is_new
    }

    /// Requests and objects that are refused now.
    pub fn refused(&self) -> Vec<RefusedWork> {
        self.suspects().refused(clock::now())
    }

    /// Applies an update. If it is new, returns the larger number of consecutive crashes for the
    /// request or its object, before or after.
    fn apply(&self, update: &WorkUpdate, by: &str) -> Option<u32> {
        let mut suspects = self.suspects();
        let before: Vec<(WorkKey, u32)> = update
            .work
            .keys()
            .map(|key| (key, suspects.crash_count(key)))
            .collect();
        let is_new = suspects.apply(clock::now(), update.work, update.event);
        let mut max_crashes = 0;
        for (key, before) in before {
            let crashes = suspects.crash_count(key);
            log_change(key, before, crashes, by);
            max_crashes = max_crashes.max(before).max(crashes);
        }
        is_new.then_some(max_crashes)
    }

    fn send_update(&self, update: WorkUpdate, for_all: bool) {
        let learned_at = clock::now();
        // The control thread ends with the host.
        let _ = self.updates.send(PendingWorkUpdate {
            learned_at,
            update,
            for_all,
        });
    }
}

fn log_change(key: WorkKey, before: u32, crashes: u32, by: &str) {
    if crashes > before && crashes >= CRASHES_TO_REFUSE {
        tracing::warn!(
            event = "work_refused",
            work = format_key(key),
            ends = crashes,
            by
        );
    } else if crashes < before && before >= CRASHES_TO_REFUSE {
        tracing::info!(
            event = "work_cleared",
            work = format_key(key),
            ends = before,
            by
        );
    }
}

fn count(step: &'static str) {
    metrics::counter!("stagedeck_work_steps_total", "step" => step).increment(1);
}

/// Formats the key of a request or an object as in the log.
pub(crate) fn format_key(work: WorkKey) -> String {
    format!("{work:016x}")
}
