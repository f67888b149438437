//! Exchanges updates with other hosts about requests that crash upstreams.

use std::rc::Rc;
use std::time::Duration;

use futures::future::select_ok;
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::route::{Feed, HeartbeatTargets, HostMessage, HostReply, WorkUpdate};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::suspects::PendingWorkUpdate;

/// Time after which a starting host serves requests without what other hosts know.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of hosts asked at once when this host starts, those of this host's region first; some of
/// the listed ones may be gone.
const HOSTS_ASKED_AT_START: usize = 3;
/// Pause between checks whether other hosts can be asked.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time over which updates are collected into one message. When an upstream crashes, all its
/// requests in flight fail together.
const BATCH_INTERVAL: Duration = Duration::from_millis(3);
/// Longest wait for a host's answer. A host that misses an update asks for it later.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

impl Control {
    /// Sends updates of this host to other hosts until the task is aborted.
    pub(super) async fn send_work_updates(
        self: Rc<Self>,
        mut pending: UnboundedReceiver<PendingWorkUpdate>,
    ) {
        while let Some(first) = pending.recv().await {
            sleep(BATCH_INTERVAL).await;
            let mut batch = vec![first];
            while let Ok(next) = pending.try_recv() {
                batch.push(next);
            }
            let current = |pending: &PendingWorkUpdate| WorkUpdate {
                event: pending
                    .update
                    .event
                    .aged_by(clock::elapsed(pending.learned_at)),
                ..pending.update
            };
            let neighbors = self.neighbors();
            self.send_work(batch.iter().map(current).collect(), &neighbors.group);
            let for_all = batch.iter().filter(|pending| pending.for_all);
            let for_all: Vec<WorkUpdate> = for_all.map(current).collect();
            if !for_all.is_empty() {
                self.send_work(for_all, neighbors.first_hosts(Feed::Upstreams));
            }
        }
    }

    /// Learns which requests other hosts refuse, before this host serves; the first answer is used.
    pub(super) async fn load_refused_work(&self) {
        // After a timeout this host relies on its own observations.
        let _ = timeout(LOAD_TIMEOUT, self.ask_for_refused_work()).await;
        self.known_state.borrow_mut().refused_work_loaded = true;
        self.publish();
    }

    async fn ask_for_refused_work(&self) {
        self.wait_for_group().await;
        while self.local.borrow().is_none() {
            sleep(RETRY_DELAY).await;
        }
        let neighbors = self.neighbors();
        let mut hosts: Vec<&HostEntry> = neighbors.heartbeat_targets.all().collect();
        let region = |host: &HostEntry| self.common.settings.regions.get(&host.zone);
        hosts.sort_by_key(|host| region(host) != Some(&self.common.settings.region));
        let answers = hosts.iter().take(HOSTS_ASKED_AT_START).map(async |host| {
            let is_answered = self.compare_work(host).await;
            is_answered.then_some(()).ok_or(())
        });
        let answers: Vec<_> = answers.map(Box::pin).collect();
        if !answers.is_empty() {
            // If nobody answers, the other hosts are gone or this host is cut off.
            let _ = select_ok(answers).await;
        }
    }

    /// Asks the next of the given hosts for updates that this host may have missed. Returns its
    /// name.
    pub(super) fn compare_work_in_turn(
        self: &Rc<Self>,
        targets: &HeartbeatTargets<HostEntry>,
    ) -> Option<HostName> {
        let count = targets.all().count();
        if count == 0 {
            self.common.suspects.note_alone();
            return None;
        }
        let turn = self.heartbeats_sent.get() as usize % count;
        let host = targets.all().nth(turn)?.clone();
        let name = host.name.clone();
        let control = Rc::clone(self);
        spawn_local(async move { control.compare_work(&host).await });
        Some(name)
    }

    /// Asks a host for updates that this host may have missed. Returns whether it answered.
    async fn compare_work(&self, host: &HostEntry) -> bool {
        let message = HostMessage::MissedWorks(self.common.suspects.digest());
        let reply = self.ask_host(host, &message, SEND_TIMEOUT).await;
        let Ok(HostReply::Works(states)) = reply else {
            count("not_compared");
            return false;
        };
        count(if states.is_empty() { "same" } else { "missed" });
        self.known_state
            .borrow_mut()
            .host_table
            .answered(clock::now(), &host.name);
        self.common.suspects.merge(&states, &host.name);
        true
    }

    /// Applies updates of another host, and passes those from other groups on to this host's group.
    pub(super) fn receive_work_updates(self: &Rc<Self>, from: &HostName, updates: Vec<WorkUpdate>) {
        self.common.suspects.receive(&updates, from);
        let neighbors = self.neighbors();
        if !neighbors.is_in_group(from) {
            self.send_work(updates, &neighbors.group);
        }
    }

    fn send_work(self: &Rc<Self>, updates: Vec<WorkUpdate>, receivers: &[HostEntry]) {
        let message = Rc::new(HostMessage::Works(updates));
        let started_at = clock::now();
        for host in receivers.iter().cloned() {
            let (control, message) = (Rc::clone(self), Rc::clone(&message));
            spawn_local(async move {
                let result = control.ask_host(&host, &message, SEND_TIMEOUT).await;
                let outcome = if result.is_ok() { "told" } else { "not_heard" };
                count(outcome);
                if let Err(error) = result {
                    let ms = clock::elapsed(started_at).as_millis() as u64;
                    tracing::debug!(event = "works_not_told", host = host.name, ms, %error);
                }
            });
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("stagedeck_work_news_total", "outcome" => outcome).increment(1);
}
