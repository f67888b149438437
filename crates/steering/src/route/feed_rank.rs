//! Order in which hosts take on work for others.

use crate::host_capacity::HostCapacity;
use crate::rendezvous;

/// Rank of a host for a feed, the same on every host that knows its capacity.
///
/// The highest-ranked host polls the store and sends updates to others. Hosts of more
/// capacity rank higher: whoever polls receives each upstream's heartbeat, which takes a
/// third of a 20 Mbit/s link with 10,000 upstreams. Among hosts of the same level a hash
/// decides, so that the feeds have different pollers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedRank {
    level: u32,
    score: u64,
}

impl FeedRank {
    /// Returns the rank of the host `name` for a feed.
    pub fn new(feed: &str, name: &str, capacity: HostCapacity) -> Self {
        FeedRank {
            level: capacity.level(),
            score: rendezvous::score(feed, name),
        }
    }
}
