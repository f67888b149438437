//! Which hosts exchange heartbeats, at the size of large deployments.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::route::heartbeat_targets;

const REGIONS: usize = 3;

/// Hosts with their regions.
fn deployment(count: usize) -> Vec<(HostEntry, String)> {
    let address = "127.0.0.1:1".parse().unwrap();
    let host = |number: usize| {
        let entry = HostEntry {
            name: format!("h{number}"),
            zone: format!("z{}", number % 9),
            caller_address: address,
            relay_address: address,
            peer_address: address,
            operator_address: address,
            capacity: HostCapacity::default(),
        };
        (entry, format!("r{}", number % REGIONS))
    };
    (0..count).map(host).collect()
}

fn targets(hosts: &[(HostEntry, String)], index: usize) -> Vec<usize> {
    let (this_host, region) = &hosts[index];
    let others = hosts.iter().filter(|(host, _)| host.name != this_host.name);
    let others = others.map(|(host, region)| (host, region));
    let targets = heartbeat_targets(&this_host.name, region, others);
    targets
        .all()
        .map(|host| host.name[1..].parse().unwrap())
        .collect()
}

/// Heartbeats that each host sends per round, the fewest and the most that any host
/// receives, and the rounds until one host's state has reached all if each host queries one
/// target per round.
#[rstest]
#[case::one_group(32, 12, (1, 32), 24)]
#[case::hundred(100, 6, (1, 20), 30)]
#[case::whole_fleet(986, 6, (1, 24), 40)]
#[case::aim(3_700, 6, (1, 26), 48)]
fn heartbeats_do_not_grow_with_the_deployment(
    #[case] count: usize,
    #[case] max_sent: usize,
    #[case] received_bounds: (usize, usize),
    #[case] max_rounds: usize,
) {
    let hosts = deployment(count);
    let all: Vec<Vec<usize>> = (0..count).map(|index| targets(&hosts, index)).collect();
    assert!(all.iter().all(|targets| targets.len() <= max_sent));
    let mut received = BTreeMap::new();
    for target in all.iter().flatten() {
        *received.entry(*target).or_insert(0) += 1;
    }
    assert_eq!(received.len(), count, "every host is watched by another");
    let (min, max) = received_bounds;
    assert!(received.values().all(|by| (min..=max).contains(by)));
    // A host asks one target per round for what that one knows.
    let mut informed = BTreeSet::from([0]);
    let mut rounds = 0;
    while informed.len() < count {
        assert!(rounds < max_rounds, "{} of {count} know", informed.len());
        let asks = |index: &usize| {
            let targets = &all[*index];
            informed.contains(&targets[rounds % targets.len()])
        };
        let learned: Vec<usize> = (0..count).filter(asks).collect();
        informed.extend(learned);
        rounds += 1;
    }
}

/// In a large deployment hosts of other regions get every second heartbeat, so one every 2 s; a
/// host is advertised for 3.5 s after its last one.
#[rstest]
#[case::one_group(32, 12, 12)]
#[case::whole_fleet(986, 6, 4)]
fn far_hosts_get_every_second_heartbeat(
    #[case] count: usize,
    #[case] even: usize,
    #[case] odd: usize,
) {
    let hosts = deployment(count);
    let others = hosts[1..].iter().map(|(host, region)| (host, region));
    let targets = heartbeat_targets(&hosts[0].0.name, &hosts[0].1, others);
    assert_eq!(targets.of_heartbeat(2).count(), even);
    assert_eq!(targets.of_heartbeat(3).count(), odd);
}
