//! Reads the list of hosts at the start of a host.

use std::time::Duration;

use steering::membership::HostEntry;
use steering::route::{Feed, MAX_GROUP_SIZE};
use tokio::time::timeout;

use super::Control;
use super::list_progress::ListProgress;

/// Time after which a starting host reads the whole list from the store, although the hosts of its
/// zone still answer that they are reading it.
const LIST_LOAD_TIMEOUT: Duration = Duration::from_secs(2);

impl Control {
    /// Loads the list of hosts from the hosts of this host's zone.
    pub(super) async fn load_host_list(&self) {
        self.wait_for_first_rows().await;
        let has_list = || self.with_follower(Feed::Hosts, |follower| follower.version.is_some());
        if !has_list() {
            // After a timeout the list is read from the store.
            let _ = timeout(LIST_LOAD_TIMEOUT, self.load_feed(Feed::Hosts)).await;
        }
        if has_list() {
            self.advance_list(ListProgress::Complete);
        }
    }

    /// Waits until this host has read so much of the list.
    pub(super) async fn wait_for_list(&self, wanted: ListProgress) {
        let mut progress = self.list_progress.subscribe();
        // The sender lives as long as this host.
        let _ = progress.wait_for(|progress| *progress >= wanted).await;
    }

    /// Waits until this host knows the hosts of its group. A zone of many hosts is a group,
    /// whatever other hosts there are.
    pub(super) async fn wait_for_group(&self) {
        self.wait_for_list(ListProgress::OwnZone).await;
        if self.zone_hosts().len() < MAX_GROUP_SIZE {
            self.wait_for_list(ListProgress::Complete).await;
        }
    }

    /// Records that this host has read so much of the list.
    pub(super) fn advance_list(&self, reached: ListProgress) {
        self.list_progress.send_if_modified(|progress| {
            let advances = reached > *progress;
            *progress = reached.max(*progress);
            advances
        });
    }

    /// Whether this host has read the whole list, or its request for it has failed.
    pub(super) fn knows_list(&self) -> bool {
        *self.list_progress.borrow() == ListProgress::Complete
    }

    /// Whether this host has read nothing of the list yet.
    pub(super) fn lacks_list(&self) -> bool {
        *self.list_progress.borrow() == ListProgress::Nothing
    }

    /// The other hosts of this host's zone.
    pub(super) fn zone_hosts(&self) -> Vec<HostEntry> {
        let known_state = self.known_state.borrow();
        let rows = known_state.host_table.list().rows();
        let others = rows
            .filter(|host| host.zone == self.this_host.zone && host.name != self.this_host.name);
        others.cloned().collect()
    }
}
