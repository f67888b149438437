//! Which hosts the answer to a look-up names.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::route::{HostCondition, LookUpHost, RegionSizes, heartbeat_targets, look_up_hosts};

const SEED: u64 = 1;
const MAX_NAMED: usize = 64;
/// Answers of which the parts of callers are counted.
const ANSWERS: usize = 8_000;
/// The same, at each of many hosts.
const ANSWERS_PER_HOST: usize = 500;
/// Largest ratio of the loads of two hosts by their capacity.
const MAX_LOAD_RATIO: f64 = 1.5;
const SMALL: HostCapacity = HostCapacity {
    link_mbps: 10,
    cpu_millicores: 100,
};
const LARGE: HostCapacity = HostCapacity {
    link_mbps: 200,
    cpu_millicores: 500,
};

fn rng() -> StdRng {
    StdRng::seed_from_u64(SEED)
}

fn host(index: u16, zone: &str, capacity: HostCapacity) -> LookUpHost {
    LookUpHost {
        address: SocketAddr::from(([10, 0, 0, 1], index)),
        zone: zone.to_owned(),
        capacity,
        condition: HostCondition::default(),
    }
}

/// Hosts of two zones, of one size.
fn alike(count: u16) -> Vec<LookUpHost> {
    let zones = ["a", "b"];
    let hosts = (0..count).map(|index| host(index, zones[usize::from(index) % 2], SMALL));
    hosts.collect()
}

/// Two zones with two large hosts each and the others small.
fn of_two_sizes(small_per_zone: u16) -> Vec<LookUpHost> {
    let mut hosts = Vec::new();
    for zone in ["a", "b"] {
        for number in 0..small_per_zone + 2 {
            let capacity = if number < 2 { LARGE } else { SMALL };
            hosts.push(host(hosts.len() as u16, zone, capacity));
        }
    }
    hosts
}

fn cut_off() -> HostCondition {
    HostCondition {
        is_cut_off: true,
        ..HostCondition::default()
    }
}

fn used(use_per_mille: u16) -> HostCondition {
    HostCondition {
        use_per_mille,
        ..HostCondition::default()
    }
}

/// Parts of all callers that each host gets, if each takes one of the named hosts at random.
fn parts_of(
    answers: usize,
    hosts: &[LookUpHost],
    listed: &RegionSizes,
    rng: &mut StdRng,
) -> Vec<f64> {
    let mut parts: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for _ in 0..answers {
        let named = look_up_hosts(hosts, listed, MAX_NAMED, rng);
        assert!(!named.is_empty());
        for host in &named {
            let part = 1.0 / (named.len() * answers) as f64;
            *parts.entry(host.address).or_default() += part;
        }
    }
    let part = |host: &LookUpHost| parts.get(&host.address).copied().unwrap_or(0.0);
    hosts.iter().map(part).collect()
}

fn parts(hosts: &[LookUpHost], rng: &mut StdRng) -> Vec<f64> {
    parts_of(ANSWERS, hosts, &sizes(hosts), rng)
}

fn sizes(hosts: &[LookUpHost]) -> RegionSizes {
    RegionSizes::new(hosts.iter().map(|host| host.capacity))
}

fn load_ratio(hosts: &[LookUpHost], parts: &[f64]) -> f64 {
    let loads = hosts.iter().zip(parts);
    let loads = loads.map(|(host, part)| part / f64::from(host.capacity.cpu_millicores));
    let (min, max) = loads.fold((f64::MAX, 0.0_f64), |(min, max), load| {
        (min.min(load), max.max(load))
    });
    max / min
}

#[rstest]
#[case::one(alike(1))]
#[case::some(alike(9))]
#[case::more_than_fit(alike(70))]
#[case::of_unknown_capacity(alike(9).into_iter().map(|host| LookUpHost { capacity: HostCapacity::default(), ..host }).collect())]
#[case::all_cut_off(alike(9).into_iter().map(|host| LookUpHost { condition: cut_off(), ..host }).collect())]
#[case::all_as_busy(alike(9).into_iter().map(|host| LookUpHost { condition: used(1_500), ..host }).collect())]
#[case::used_within_their_capacity(alike(9).into_iter().enumerate().map(|(n, host)| LookUpHost { condition: used(n as u16 * 100), ..host }).collect())]
fn hosts_that_are_alike_are_all_named_in_order(#[case] hosts: Vec<LookUpHost>) {
    let named: Vec<&LookUpHost> = hosts.iter().take(MAX_NAMED).collect();
    assert_eq!(
        look_up_hosts(&hosts, &sizes(&hosts), MAX_NAMED, &mut rng()),
        named
    );
}

#[rstest]
#[case::few(of_two_sizes(2))]
#[case::a_region(of_two_sizes(9))]
#[case::a_larger_region(of_two_sizes(14))]
fn hosts_get_callers_by_their_capacity(#[case] hosts: Vec<LookUpHost>) {
    let parts = parts(&hosts, &mut rng());
    let ratio = load_ratio(&hosts, &parts);
    assert!(ratio < MAX_LOAD_RATIO, "{ratio}");
}

/// Hosts that each host of a region knows by heartbeats, itself included. The deployment has three
/// regions with such hosts each.
fn known_by_heartbeats(hosts: &[LookUpHost]) -> Vec<Vec<LookUpHost>> {
    let regions = ["north", "south", "west"].map(str::to_owned);
    let entry = |region: &str, host: &LookUpHost| HostEntry {
        name: format!("{region}-{}", host.address.port()),
        zone: host.zone.clone(),
        caller_address: host.address,
        relay_address: host.address,
        peer_address: host.address,
        operator_address: host.address,
        capacity: host.capacity,
    };
    let all: Vec<(HostEntry, &String)> = regions
        .iter()
        .flat_map(|region| hosts.iter().map(move |host| (entry(region, host), region)))
        .collect();
    let own: Vec<&HostEntry> = all[..hosts.len()].iter().map(|(entry, _)| entry).collect();
    let index_of = |entry: &HostEntry| usize::from(entry.caller_address.port());
    let mut known: Vec<BTreeSet<usize>> = (0..hosts.len()).map(|n| BTreeSet::from([n])).collect();
    for this in &own {
        let others = all.iter().filter(|(entry, _)| entry.name != this.name);
        let others = others.map(|(entry, region)| (entry, *region));
        let targets = heartbeat_targets(&this.name, &regions[0], others);
        for target in targets.every {
            known[index_of(this)].insert(index_of(target));
            known[index_of(target)].insert(index_of(this));
        }
    }
    let of = |known: &BTreeSet<usize>| known.iter().map(|n| hosts[*n].clone()).collect();
    known.iter().map(of).collect()
}

/// Hosts answer from what their heartbeats tell them.
#[rstest]
#[case::nine_small_hosts_a_zone(9)]
#[case::fourteen_small_hosts_a_zone(14)]
fn hosts_that_know_some_others_load_sizes_alike(#[case] small_per_zone: u16) {
    let mut rng = rng();
    let hosts = of_two_sizes(small_per_zone);
    let known = known_by_heartbeats(&hosts);
    let mut callers = vec![0.0; hosts.len()];
    for known in &known {
        for (host, part) in
            known
                .iter()
                .zip(parts_of(ANSWERS_PER_HOST, known, &sizes(&hosts), &mut rng))
        {
            callers[usize::from(host.address.port())] += part;
        }
    }
    let load_of = |capacity: HostCapacity| {
        let of_size = || {
            hosts
                .iter()
                .zip(&callers)
                .filter(|(host, _)| host.capacity == capacity)
        };
        let callers: f64 = of_size().map(|(_, part)| part).sum();
        callers / of_size().count() as f64 / f64::from(capacity.cpu_millicores)
    };
    let ratio = load_of(SMALL) / load_of(LARGE);
    assert!(
        (1.0 / MAX_LOAD_RATIO..MAX_LOAD_RATIO).contains(&ratio),
        "{ratio}"
    );
}

#[rstest]
#[case::one_of_two_zones(|host: &LookUpHost| host.zone == "a")]
#[case::one_small_host(|host: &LookUpHost| host.address.port() == 5)]
fn hosts_that_are_cut_off_are_left_out(#[case] is_cut: fn(&LookUpHost) -> bool) {
    let mut hosts = of_two_sizes(9);
    for host in hosts.iter_mut().filter(|host| is_cut(host)) {
        host.condition = cut_off();
    }
    let mut rng = rng();
    for _ in 0..1_000 {
        let named = look_up_hosts(&hosts, &sizes(&hosts), MAX_NAMED, &mut rng);
        assert!(named.iter().all(|host| !is_cut(host)));
    }
}

#[test]
fn few_hosts_that_are_not_cut_off_get_twice_their_callers_at_most() {
    let mut hosts = alike(12);
    hosts[2..]
        .iter_mut()
        .for_each(|host| host.condition = cut_off());
    let parts = parts(&hosts, &mut rng());
    let usual = 1.0 / 12.0;
    assert!((parts[0] / usual - 2.0).abs() < 0.1, "{parts:?}");
    assert!(
        parts[2..].iter().all(|part| *part > usual / 2.0),
        "{parts:?}"
    );
}

#[rstest]
#[case::hosts_of_two_sizes(of_two_sizes(9))]
#[case::a_zone_with_one_small_host({
    let mut hosts = of_two_sizes(9);
    hosts.retain(|host| host.zone == "a");
    hosts.push(host(99, "b", SMALL));
    hosts
})]
#[case::a_zone_of_busy_hosts({
    let mut hosts = alike(9);
    hosts.iter_mut().filter(|host| host.zone == "b").for_each(|host| host.condition = used(u16::MAX));
    hosts
})]
fn each_zone_is_named(#[case] hosts: Vec<LookUpHost>) {
    let mut rng = rng();
    for _ in 0..1_000 {
        let named = look_up_hosts(&hosts, &sizes(&hosts), MAX_NAMED, &mut rng);
        let zones: BTreeSet<&str> = named.iter().map(|host| host.zone.as_str()).collect();
        assert_eq!(zones.len(), 2, "{named:?}");
        assert!(named.len() >= 3, "a caller needs others when one fails");
    }
}

/// Callers that keep their connection for as long as each new answer names its host.
#[rstest]
#[case::nine_small_hosts_a_zone(9, |hosts: &[LookUpHost]| vec![hosts.to_vec()])]
#[case::fourteen_small_hosts_a_zone(14, |hosts: &[LookUpHost]| vec![hosts.to_vec()])]
#[case::nine_by_heartbeats(9, known_by_heartbeats)]
#[case::fourteen_by_heartbeats(14, known_by_heartbeats)]
fn callers_that_keep_connections_do_not_gather_at_large_hosts(
    #[case] small_per_zone: u16,
    #[case] known_by_answering_hosts: fn(&[LookUpHost]) -> Vec<Vec<LookUpHost>>,
) {
    let mut rng = rng();
    let hosts = of_two_sizes(small_per_zone);
    let listed = sizes(&hosts);
    let known = known_by_answering_hosts(&hosts);
    let mut callers: Vec<SocketAddr> = (0..300).map(|n| hosts[n % hosts.len()].address).collect();
    let mut counts: BTreeMap<SocketAddr, f64> = BTreeMap::new();
    for round in 0..120 {
        for at in &mut callers {
            let known = known.choose(&mut rng).expect("hosts answer");
            let named = look_up_hosts(known, &listed, MAX_NAMED, &mut rng);
            if !named.iter().any(|host| host.address == *at) {
                *at = named.choose(&mut rng).expect("hosts are named").address;
            }
            if round >= 20 {
                *counts.entry(*at).or_default() += 1.0;
            }
        }
    }
    let load_of = |capacity: HostCapacity| {
        let of_size = || hosts.iter().filter(|host| host.capacity == capacity);
        let callers: f64 = of_size().map(|host| counts[&host.address]).sum();
        callers / of_size().count() as f64 / f64::from(capacity.cpu_millicores)
    };
    let ratio = load_of(LARGE) / load_of(SMALL);
    assert!(
        (1.0 / MAX_LOAD_RATIO..MAX_LOAD_RATIO).contains(&ratio),
        "{ratio}"
    );
}

/// Callers keep an answer for two to six rounds, and hosts tell their use a round later. One host
/// gets 1.6 times what it can carry.
#[rstest]
#[case::callers_that_choose_anew(false)]
#[case::callers_that_keep_connections(true)]
fn busy_host_hands_over_callers_without_their_moving_back_and_forth(#[case] keep: bool) {
    let mut rng = rng();
    let mut hosts = alike(9);
    let work_per_caller = |index: usize| if index == 0 { 1.6 / 100.0 } else { 0.9 / 100.0 };
    let mut callers: Vec<(usize, u32)> =
        (0..900).map(|n| (n % 9, rng.random_range(2..6))).collect();
    let mut uses = Vec::new();
    for _ in 0..200 {
        let mut load = [0.0; 9];
        callers
            .iter()
            .for_each(|(at, _)| load[*at] += work_per_caller(*at));
        uses.push(load[0]);
        for (at, left) in &mut callers {
            *left -= 1;
            if *left == 0 {
                let named = look_up_hosts(&hosts, &sizes(&hosts), MAX_NAMED, &mut rng);
                let keeps = keep
                    && named
                        .iter()
                        .any(|host| usize::from(host.address.port()) == *at);
                *left = rng.random_range(2..6);
                if keeps {
                    continue;
                }
                let chosen = named.choose(&mut rng).expect("hosts are named");
                *at = usize::from(chosen.address.port());
            }
        }
        for (host, load) in hosts.iter_mut().zip(load) {
            host.condition = used((load * 1_000.0) as u16);
        }
    }
    let settled = &uses[100..];
    let average = settled.iter().sum::<f64>() / settled.len() as f64;
    assert!(average < 1.6 * 0.9, "{average}");
    // The number of callers that choose a host at random varies by a tenth itself.
    let far_off = settled
        .iter()
        .filter(|used| (**used - average).abs() > average * 0.3);
    assert!(far_off.count() <= settled.len() / 20, "{settled:?}");
}

/// Hosts that were killed or are frozen tell nothing and are not among the hosts; one that has
/// started again has told nothing yet.
#[test]
fn host_that_has_started_again_is_named_as_before_it_was_busy() {
    let mut hosts = alike(9);
    hosts[3].condition = used(4_000);
    let busy = parts(&hosts, &mut rng())[3];
    hosts[3].condition = HostCondition::default();
    let restarted = parts(&hosts, &mut rng())[3];
    assert!(busy < restarted / 2.0, "{busy} {restarted}");
    let without: Vec<LookUpHost> = hosts
        .iter()
        .filter(|host| host.address.port() != 3)
        .cloned()
        .collect();
    let named = look_up_hosts(&without, &sizes(&hosts), MAX_NAMED, &mut rng());
    assert_eq!(named.len(), 8);
}
