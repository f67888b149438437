//! Which hosts exchange heartbeats, at the size of large deployments.

use std::collections::{BTreeMap, BTreeSet};

use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::rendezvous;
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

/// One host in ten has five times the capacity of the others.
#[rstest]
#[case::hundred(100)]
#[case::whole_fleet(986)]
fn hosts_get_heartbeats_by_their_capacity(#[case] count: usize) {
    let mut hosts = deployment(count);
    for (number, (host, _)) in hosts.iter_mut().enumerate() {
        let multiple = if is_large(number) { 5 } else { 1 };
        host.capacity = HostCapacity {
            link_mbps: 10 * multiple,
            cpu_millicores: 100 * multiple,
        };
    }
    let mut received = vec![0.0; count];
    for index in 0..count {
        let (_, region) = &hosts[index];
        let of_region = targets(&hosts, index).into_iter();
        for target in of_region.filter(|target| hosts[*target].1 == *region) {
            received[target] += 1.0;
        }
    }
    let average = |wanted: bool| {
        let of_size = (0..count).filter(|number| is_large(*number) == wanted);
        let received: Vec<f64> = of_size.map(|number| received[number]).collect();
        received.iter().sum::<f64>() / received.len() as f64
    };
    let ratio = average(true) / average(false);
    assert!((2.0..5.0).contains(&ratio), "{ratio}");
}

fn is_large(number: usize) -> bool {
    number.is_multiple_of(10)
}

#[test]
fn hosts_of_the_same_capacity_are_targets_by_their_hash() {
    let hosts = deployment(100);
    let of_known_capacity = |host: &(HostEntry, String)| {
        let mut host = host.clone();
        host.0.capacity = HostCapacity {
            link_mbps: 20,
            cpu_millicores: 300,
        };
        host
    };
    let known: Vec<(HostEntry, String)> = hosts.iter().map(of_known_capacity).collect();
    for index in 0..hosts.len() {
        let found = targets(&hosts, index);
        assert_eq!(targets(&known, index), found);
        let (this_host, region) = &hosts[index];
        let others = (0..hosts.len()).filter(|other| *other != index);
        let others = others.filter(|other| hosts[*other].1 == *region);
        let names: Vec<&str> = others.map(|other| hosts[other].0.name.as_str()).collect();
        let ranked = rendezvous::rank(&this_host.name, names);
        // One of the four is the successor, whose rank may be any.
        for name in &ranked[..3] {
            let number: usize = name[1..].parse().unwrap();
            assert!(found.contains(&number), "{name} of {}", this_host.name);
        }
    }
}
