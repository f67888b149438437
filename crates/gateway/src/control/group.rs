//! Passes on to a group of hosts what one of them has learned from the store.

use std::rc::Rc;

use peer::{EncodedNews, PeerClient};
use steering::membership::HostEntry;
use steering::route::News;
use tokio::task::spawn_local;

use super::Control;
use super::hosts::BEAT_LIMIT;

/// Most hosts of a group that is larger than a zone. A group's leader sends each of
/// them some four small messages a second.
const GROUP_MOST: usize = 32;

/// Largest records that are told, in bytes. A large document is read by each host for
/// itself: the links of some hosts carry 10 Mbit/s, on which a group of 32 would wait
/// seconds for a document of 400 KB. So much takes 0.2 s.
const NEWS_MOST_BYTES: usize = 8 << 10;

impl Control {
    /// Tells every host of the group that is not busy with an earlier message.
    pub(super) fn tell_group(&self, news: &News) {
        let news = Rc::new(EncodedNews::new(news, NEWS_MOST_BYTES));
        for host in self.group() {
            if let Some(client) = self.idle_client(&host) {
                let news = Rc::clone(&news);
                spawn_local(async move {
                    if let Err(error) = client.news(&news).await {
                        tracing::debug!(event = "news_not_told", host = host.name, %error);
                    }
                });
            }
        }
    }

    /// The other hosts of the deployment where they are few, else those of the region,
    /// else those of the zone.
    pub(super) fn group(&self) -> Vec<HostEntry> {
        let settings = &self.common.settings;
        let beliefs = self.beliefs.borrow();
        let all = beliefs.roll.known().map(|host| &host.entry);
        let all: Vec<&HostEntry> = all.collect();
        let in_region = |host: &&HostEntry| {
            let region = settings.regions.get(&host.zone);
            region == Some(&settings.region)
        };
        let region: Vec<&HostEntry> = all.iter().copied().filter(in_region).collect();
        let in_zone = |host: &&HostEntry| host.zone == settings.zone;
        let group = match () {
            () if all.len() < GROUP_MOST => all,
            () if region.len() < GROUP_MOST => region,
            () => region.into_iter().filter(in_zone).collect(),
        };
        group.into_iter().cloned().collect()
    }

    /// A client of a host, where no message to it is under way.
    pub(super) fn idle_client(&self, host: &HostEntry) -> Option<Rc<PeerClient>> {
        let local = self.local.borrow();
        let local = local.as_ref()?;
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(host.name.clone()).or_insert_with(|| {
            Rc::new(PeerClient::new(
                host.peer_address,
                local.clone(),
                BEAT_LIMIT,
            ))
        });
        (Rc::strong_count(client) == 1).then(|| Rc::clone(client))
    }

    /// Drops clients of hosts that are neither partners nor in the group, or have moved.
    pub(super) fn keep_clients(&self, partners: &[HostEntry]) {
        let group = self.group();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|name, client| {
            let host = partners
                .iter()
                .chain(&group)
                .find(|host| host.name == *name);
            host.is_some_and(|host| host.peer_address == client.address())
        });
    }
}
