//! Trees in which the hosts of a group load a feed when all of them start at once.

use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::route::{BootstrapTree, FeedRank};

const FEED: &str = "upstreams";
const UNKNOWN: HostCapacity = HostCapacity {
    link_mbps: 0,
    cpu_millicores: 0,
};
const SMALL: HostCapacity = HostCapacity {
    link_mbps: 20,
    cpu_millicores: 100,
};
const LARGE: HostCapacity = HostCapacity {
    link_mbps: 1_000,
    cpu_millicores: 1_000,
};
/// Size of the reports of 10,000 upstreams, in Mbit.
const STATE_MBIT: f64 = 5.6;

fn host(number: usize, capacity: HostCapacity) -> HostEntry {
    let address = "127.0.0.1:1".parse().unwrap();
    HostEntry {
        name: format!("h{number}"),
        zone: "duran".to_owned(),
        caller_address: address,
        relay_address: address,
        peer_address: address,
        operator_address: address,
        capacity,
    }
}

/// Hosts of one zone.
fn zone(large: usize, small: usize, capacity: HostCapacity) -> Vec<HostEntry> {
    let large_hosts = (0..large).map(|n| host(n, LARGE));
    large_hosts
        .chain((large..large + small).map(|n| host(n, capacity)))
        .collect()
}

/// Each host loads from a higher-ranked one, so that the state of the first reaches all, and
/// no host has more children than its link can serve.
#[rstest]
#[case::alone(0, 1, UNKNOWN, 0)]
#[case::few(0, 9, UNKNOWN, 2)]
#[case::zone(0, 33, UNKNOWN, 3)]
#[case::large_zone(0, 200, UNKNOWN, 4)]
#[case::mixed(10, 114, SMALL, 2)]
#[case::mixed_twice(20, 228, SMALL, 2)]
#[case::mixed_four_times(40, 456, SMALL, 2)]
#[case::all_small(0, 124, SMALL, 4)]
fn starting_hosts_form_a_tree(
    #[case] large: usize,
    #[case] small: usize,
    #[case] capacity: HostCapacity,
    #[case] max_depth: usize,
) {
    let hosts = zone(large, small, capacity);
    let tree = BootstrapTree::new(FEED, &hosts);
    let rank = |host: &HostEntry| FeedRank::new(FEED, &host.name, host.capacity);
    let mut children = vec![0; hosts.len()];
    let mut roots = 0;
    for host in &hosts {
        let ancestors = tree.ancestors(&host.name);
        assert!(ancestors.len() <= max_depth, "{} steps", ancestors.len());
        let path = [host].into_iter().chain(ancestors.iter().copied());
        assert!(path.map(rank).is_sorted_by(|near, far| near < far));
        match ancestors.first() {
            None => roots += 1,
            Some(parent) => {
                let parent = hosts.iter().position(|host| host.name == parent.name);
                children[parent.unwrap()] += 1;
            }
        }
    }
    assert_eq!(roots, 1, "one host reads the store");
    for (host, children) in hosts.iter().zip(&children) {
        assert!(*children <= host.capacity.max_children(), "{children}");
    }
}

/// A zone of the largest known deployment, and the same with twice and four times the hosts and
/// upstreams: the time until the last host has the state, by the links alone.
#[rstest]
#[case::zone_of_986_hosts(1)]
#[case::twice(2)]
#[case::four_times(4)]
fn state_reaches_all_hosts_of_a_zone_in_seconds(#[case] times: usize) {
    let hosts = zone(10 * times, 114 * times, SMALL);
    let state_mbit = STATE_MBIT * times as f64;
    let tree = BootstrapTree::new(FEED, &hosts);
    // Each host receives the state over its parent's link, which serves all children at once.
    let transfer_s = |from: &HostEntry, to: &HostEntry| {
        let children = from.capacity.max_children() as f64;
        let share = f64::from(from.capacity.link_mbps) / children;
        state_mbit / share.min(f64::from(to.capacity.link_mbps))
    };
    let longest_s = hosts.iter().map(|host| {
        let ancestors = tree.ancestors(&host.name);
        let receivers = [host].into_iter().chain(ancestors.iter().copied());
        let steps = ancestors.iter().zip(receivers);
        steps.map(|(from, to)| transfer_s(from, to)).sum::<f64>()
    });
    let longest_s = longest_s.fold(0.0, f64::max);
    // Callers come 24 s after the hosts have started.
    assert!(longest_s < 6.0, "{longest_s} s");
}

#[test]
fn hosts_of_more_capacity_rank_higher() {
    let rank = |name: &str, capacity| FeedRank::new(FEED, name, capacity);
    for number in 0..100 {
        let name = format!("h{number}");
        assert!(rank("other", LARGE) > rank(&name, SMALL));
        assert!(rank("other", SMALL) > rank(&name, UNKNOWN));
    }
}
