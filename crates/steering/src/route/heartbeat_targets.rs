//! Selects the hosts to which a host sends heartbeats.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::host_groups::MAX_GROUP_SIZE;
use crate::ids::RegionName;
use crate::membership::HostEntry;
use crate::rendezvous;

/// Number of heartbeat targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TargetCounts {
    own_region: usize,
    each_other_region: usize,
}

/// Targets in a deployment of one group.
const SMALL_DEPLOYMENT: TargetCounts = TargetCounts {
    own_region: 8,
    each_other_region: 2,
};
/// Targets in a larger deployment. A host knows its targets and the hosts whose target it is
/// to be alive, eight of its region on average, which is enough to advertise to callers.
const LARGE_DEPLOYMENT: TargetCounts = TargetCounts {
    own_region: 4,
    each_other_region: 1,
};

/// Largest weight of a host, as a multiple of that of the smallest one, which bounds the heartbeats
/// that it receives.
const MAX_WEIGHT: f64 = 8.0;

/// Hosts to which a host sends heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatTargets<H> {
    /// Hosts that get every heartbeat.
    pub every: Vec<H>,
    /// Hosts that get every second heartbeat: in a large deployment those of other regions,
    /// which are advertised only to callers that ask far from their own region.
    pub every_second: Vec<H>,
}

impl<H> HeartbeatTargets<H> {
    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &H> + Clone {
        self.every.iter().chain(&self.every_second)
    }

    /// Returns the targets of the heartbeat with this number.
    pub fn of_heartbeat(&self, number: u64) -> impl Iterator<Item = &H> {
        let second = self
            .every_second
            .iter()
            .filter(move |_| number.is_multiple_of(2));
        self.every.iter().chain(second)
    }
}

/// Returns the hosts to which `this_host` sends heartbeats: all of a small deployment,
/// otherwise some of each region, so that the cost for each host does not grow with the
/// deployment.
///
/// In its own region a host's successor by hash is always a target, so that every host is
/// watched by at least one other. The others are drawn by hash: such a graph spreads what
/// hosts exchange with their targets in a logarithmic number of rounds.
pub fn heartbeat_targets<'a>(
    this_host: &str,
    own_region: &str,
    others: impl IntoIterator<Item = (&'a HostEntry, &'a RegionName)>,
) -> HeartbeatTargets<&'a HostEntry> {
    let mut by_region: BTreeMap<&str, Vec<&HostEntry>> = BTreeMap::new();
    let mut count = 1;
    for (host, region) in others {
        count += 1;
        by_region.entry(region).or_default().push(host);
    }
    let is_large = count > MAX_GROUP_SIZE;
    let counts = match is_large {
        true => LARGE_DEPLOYMENT,
        false => SMALL_DEPLOYMENT,
    };
    let mut targets = HeartbeatTargets {
        every: Vec::new(),
        every_second: Vec::new(),
    };
    for (region, mut hosts) in by_region {
        let is_own = region == own_region;
        let max = match is_own {
            true => counts.own_region,
            false => counts.each_other_region,
        };
        sort_by_weighted_hash(this_host, &mut hosts);
        if is_own && hosts.len() > max {
            move_successor_to_front(this_host, &mut hosts);
        }
        let of_region = match is_large && !is_own {
            true => &mut targets.every_second,
            false => &mut targets.every,
        };
        of_region.extend(hosts.into_iter().take(max));
    }
    targets
}

/// Sorts hosts by hash, so that a host of twice the capacity comes first twice as often: all hosts
/// name it to callers more often, and some would not know any if large hosts are few.
fn sort_by_weighted_hash(this_host: &str, hosts: &mut [&HostEntry]) {
    let units = |host: &HostEntry| host.capacity.units();
    let smallest = hosts.iter().filter_map(|host| units(host)).min();
    let smallest = smallest.unwrap_or(1);
    let weight = |host: &HostEntry| {
        let multiple = f64::from(units(host).unwrap_or(smallest)) / f64::from(smallest);
        multiple.min(MAX_WEIGHT)
    };
    hosts.sort_by_cached_key(|host| {
        let score = rendezvous::score(this_host, &host.name);
        WeightedScore::new(score, weight(host))
    });
}

/// Order of a host: by ascending time until it would be drawn, if its weight were the rate.
#[derive(PartialEq)]
struct WeightedScore {
    draw_time: f64,
    /// Decides between scores that the time does not distinguish.
    score: u64,
}

impl WeightedScore {
    fn new(score: u64, weight: f64) -> Self {
        let fraction = (score as f64 + 1.0) / (u64::MAX as f64 + 1.0);
        WeightedScore {
            draw_time: -fraction.ln() / weight,
            score,
        }
    }
}

impl Eq for WeightedScore {}

impl PartialOrd for WeightedScore {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WeightedScore {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.draw_time.total_cmp(&other.draw_time);
        by_time.then(other.score.cmp(&self.score))
    }
}

/// Moves the host that follows `this_host` in the order of the names' hashes to the front.
fn move_successor_to_front(this_host: &str, hosts: &mut [&HostEntry]) {
    let own = rendezvous::hash(this_host.as_bytes());
    // Differences wrap around, so the last host is followed by the first.
    let distance = |host: &HostEntry| rendezvous::hash(host.name.as_bytes()).wrapping_sub(own);
    let successor = (0..hosts.len()).min_by_key(|index| distance(hosts[*index]));
    if let Some(index) = successor {
        hosts[..=index].rotate_right(1);
    }
}
