//! Tells all hosts of work under which upstreams end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use steering::ids::HostName;
use steering::membership::HostEntry;
use steering::route::{Feed, HostMessage, WorkNews};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Control;
use crate::suspects::FreshNews;

/// Time over which news are gathered: all that was in flight at an upstream ends together.
const GATHERED_FOR: Duration = Duration::from_millis(3);
/// Longest wait for a host to take them; who does not hear learns from its own requests.
const TELL_LIMIT: Duration = Duration::from_millis(500);

impl Control {
    /// Tells other hosts what this one learns, for ever.
    pub(super) async fn tell_works(self: Rc<Self>, mut fresh: UnboundedReceiver<FreshNews>) {
        while let Some(first) = fresh.recv().await {
            sleep(GATHERED_FOR).await;
            let mut gathered = vec![first];
            while let Ok(next) = fresh.try_recv() {
                gathered.push(next);
            }
            let now = |fresh: &FreshNews| WorkNews {
                told: fresh.news.told.later(fresh.learned.elapsed()),
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

    /// Takes what another host tells, and passes on to the group what comes from outside.
    pub(super) fn hear_works(self: &Rc<Self>, from: &HostName, news: Vec<WorkNews>) {
        self.common.suspects.hear(&news, from);
        let group = self.group();
        if group.iter().all(|host| host.name != *from) {
            self.send_works(news, group);
        }
    }

    fn send_works(self: &Rc<Self>, news: Vec<WorkNews>, audience: Vec<HostEntry>) {
        let message = Rc::new(HostMessage::Works(news));
        let begun = Instant::now();
        for host in audience {
            let (control, message) = (Rc::clone(self), Rc::clone(&message));
            spawn_local(async move {
                let told = control.ask_host(&host, &message, TELL_LIMIT).await;
                let outcome = if told.is_ok() { "told" } else { "not_heard" };
                metrics::counter!("stagedeck_work_news_total", "outcome" => outcome).increment(1);
                if let Err(error) = told {
                    let ms = begun.elapsed().as_millis() as u64;
                    tracing::debug!(event = "works_not_told", host = host.name, ms, %error);
                }
            });
        }
    }
}
