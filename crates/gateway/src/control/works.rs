//! Exchanges updates with other hosts about requests that crash upstreams.

use std::rc::Rc;
use std::time::Duration;

use futures::future::select_ok;
use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::route::{Feed, HostMessage, HostReply, WorkNews};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Control;
use crate::suspects::FreshNews;

/// Time after which a starting host serves requests without what other hosts know.
const PATIENCE: Duration = Duration::from_secs(1);
/// Hosts asked at once when this host starts, those of the own region first; some of the listed
/// ones may be gone.
const ASKED_AT_START: usize = 3;
/// Pause between checks whether other hosts can be asked.
const AGAIN_AFTER: Duration = Duration::from_millis(20);
/// Time over which updates are collected into one message. When an upstream crashes, all its
/// requests in flight fail together.
const GATHERED_FOR: Duration = Duration::from_millis(3);
/// Longest wait for a host's answer. A host that misses an update asks for it later.
const TELL_LIMIT: Duration = Duration::from_millis(500);

impl Control {
    /// Sends updates of this host to other hosts until the task is aborted.
    pub(super) async fn tell_works(self: Rc<Self>, mut fresh: UnboundedReceiver<FreshNews>) {
        while let Some(first) = fresh.recv().await {
            sleep(GATHERED_FOR).await;
            let mut gathered = vec![first];
            while let Ok(next) = fresh.try_recv() {
                gathered.push(next);
            }
            let now = |fresh: &FreshNews| WorkNews {
                told: fresh.news.told.later(clock::elapsed(fresh.learned)),
                ..fresh.news
            };
            self.send_works(gathered.iter().map(now).collect(), self.group());
            let for_all = gathered.iter().filter(|fresh| fresh.for_all);
            let for_all: Vec<WorkNews> = for_all.map(now).collect();
            if !for_all.is_empty() {
                self.send_works(for_all, self.firsts(Feed::Upstreams));
            }
        }
    }

    /// Learns which requests other hosts refuse, before this host serves; the first answer is used.
    pub(super) async fn learn_works_at_start(&self) {
        // After a timeout this host relies on its own observations.
        let _ = timeout(PATIENCE, self.learn_works()).await;
        self.beliefs.borrow_mut().works_known = true;
        self.publish();
    }

    async fn learn_works(&self) {
        self.until_list_asked().await;
        while self.local.borrow().is_none() {
            sleep(AGAIN_AFTER).await;
        }
        let mut hosts = self.partners();
        let region = |host: &HostEntry| self.common.settings.regions.get(&host.zone);
        hosts.sort_by_key(|host| region(host) != Some(&self.common.settings.region));
        let answers = hosts.iter().take(ASKED_AT_START).map(async |host| {
            let is_answered = self.compare_works(host).await;
            is_answered.then_some(()).ok_or(())
        });
        let answers: Vec<_> = answers.map(Box::pin).collect();
        if !answers.is_empty() {
            // If nobody answers, the other hosts are gone or this host is cut off.
            let _ = select_ok(answers).await;
        }
    }

    /// Asks the next of the given hosts for updates that this host may have missed.
    pub(super) fn compare_works_in_turn(self: &Rc<Self>, partners: &[HostEntry]) {
        if partners.is_empty() {
            self.common.suspects.note_alone();
            return;
        }
        let host = partners[self.beats.get() as usize % partners.len()].clone();
        let control = Rc::clone(self);
        spawn_local(async move { control.compare_works(&host).await });
    }

    /// Asks a host for updates that this host may have missed. Returns whether it answered.
    async fn compare_works(&self, host: &HostEntry) -> bool {
        let message = HostMessage::MissedWorks(self.common.suspects.digest());
        let reply = self.ask_host(host, &message, TELL_LIMIT).await;
        let Ok(HostReply::Works(states)) = reply else {
            count("not_compared");
            return false;
        };
        count(if states.is_empty() { "same" } else { "missed" });
        self.common.suspects.merge(&states, &host.name);
        true
    }

    /// Applies updates of another host, and passes those from other groups on to the own group.
    pub(super) fn hear_works(self: &Rc<Self>, from: &HostName, news: Vec<WorkNews>) {
        self.common.suspects.hear(&news, from);
        let group = self.group();
        if group.iter().all(|host| host.name != *from) {
            self.send_works(news, group);
        }
    }

    fn send_works(self: &Rc<Self>, news: Vec<WorkNews>, audience: Vec<HostEntry>) {
        let message = Rc::new(HostMessage::Works(news));
        let begun = clock::now();
        for host in audience {
            let (control, message) = (Rc::clone(self), Rc::clone(&message));
            spawn_local(async move {
                let told = control.ask_host(&host, &message, TELL_LIMIT).await;
                let outcome = if told.is_ok() { "told" } else { "not_heard" };
                count(outcome);
                if let Err(error) = told {
                    let ms = clock::elapsed(begun).as_millis() as u64;
                    tracing::debug!(event = "works_not_told", host = host.name, ms, %error);
                }
            });
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("stagedeck_work_news_total", "outcome" => outcome).increment(1);
}
