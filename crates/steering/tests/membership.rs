//! Failure detection among the hosts of a zone.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use steering::host_capacity::HostCapacity;
use steering::membership::{HostEntry, Membership};

const MS: Duration = Duration::from_millis(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

fn entry(name: &str, zone: &str) -> HostEntry {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    HostEntry {
        name: name.to_owned(),
        zone: zone.to_owned(),
        caller_address: any,
        relay_address: any,
        peer_address: any,
        operator_address: any,
        capacity: HostCapacity::default(),
    }
}

/// Hosts of one zone that exchange heartbeats in rounds.
struct Zone {
    now: Instant,
    hosts: Vec<Membership>,
}

impl Zone {
    fn new(names: &[&str]) -> Self {
        let now = Instant::now();
        let host = |name: &&str| Membership::new(entry(name, "z"), 1, now);
        Zone {
            now,
            hosts: names.iter().map(host).collect(),
        }
    }

    /// Sends one heartbeat over each link `(from, to)` for which `link_is_up` holds.
    fn round(&mut self, link_is_up: impl Fn(usize, usize) -> bool) {
        self.now += HEARTBEAT_INTERVAL;
        for from in 0..self.hosts.len() {
            self.hosts[from].tick(self.now);
            let heartbeat = self.hosts[from].heartbeat(self.now, BTreeSet::new());
            for to in 0..self.hosts.len() {
                if from != to && link_is_up(from, to) {
                    self.hosts[to].receive(self.now, heartbeat.clone());
                }
            }
        }
    }

    fn rounds(&mut self, count: usize, link_is_up: impl Fn(usize, usize) -> bool + Copy) {
        for _ in 0..count {
            self.round(link_is_up);
        }
    }

    fn names(&self, host: usize) -> Vec<String> {
        let present = self.hosts[host].live_hosts(self.now);
        present.into_iter().map(|entry| entry.name).collect()
    }
}

#[test]
fn hosts_with_all_links_up_see_each_other() {
    let mut zone = Zone::new(&["a", "b", "c"]);
    zone.rounds(2, |_, _| true);
    assert_eq!(zone.names(0), ["a", "b", "c"]);
}

#[test]
fn a_silent_host_is_declared_down() {
    let mut zone = Zone::new(&["a", "b", "c"]);
    zone.rounds(2, |_, _| true);
    zone.rounds(7, |from, _| from != 2);
    assert_eq!(zone.names(0), ["a", "b"]);
    assert_eq!(zone.names(1), ["a", "b"]);
}

#[test]
fn a_host_that_one_observer_misses_stays_up() {
    let mut zone = Zone::new(&["a", "b", "c"]);
    zone.rounds(2, |_, _| true);
    for _ in 0..40 {
        zone.round(|from, to| (from, to) != (2, 0));
        assert_eq!(
            zone.names(0),
            ["a", "b", "c"],
            "b still receives c's heartbeats and confirms it"
        );
    }
}

#[test]
fn a_host_that_never_received_a_heartbeat_does_not_confirm_its_sender() {
    let mut zone = Zone::new(&["a", "b", "c"]);
    zone.rounds(2, |from, to| from != 1 && to != 1);
    // b is connected only after c has gone silent.
    zone.rounds(9, |from, _| from != 2);
    assert_eq!(zone.names(0), ["a", "b"]);
}

#[test]
fn without_other_observers_a_silent_host_stays_up_longer() {
    let mut zone = Zone::new(&["a", "b"]);
    zone.rounds(2, |_, _| true);
    zone.rounds(5, |_, _| false);
    assert_eq!(zone.names(0), ["a", "b"]);
    zone.rounds(3, |_, _| false);
    assert_eq!(zone.names(0), ["a"]);
}

#[test]
fn a_leaving_host_is_present_but_not_staying() {
    let mut zone = Zone::new(&["a", "b"]);
    zone.hosts[1].leave();
    zone.rounds(2, |_, _| true);
    assert_eq!(zone.names(0), ["a", "b"]);
    let staying = zone.hosts[0].accepting_hosts(zone.now);
    assert_eq!(staying.len(), 1);
    zone.hosts[0].leave();
    assert_eq!(
        zone.hosts[0].accepting_hosts(zone.now).len(),
        2,
        "if all hosts are shutting down, all stay in use"
    );
}

#[test]
fn out_of_order_duplicate_and_replaced_heartbeats_are_dropped() {
    let now = Instant::now();
    let mut a = Membership::new(entry("a", "z"), 1, now);
    let mut old = Membership::new(entry("b", "z"), 1, now);
    let mut new = Membership::new(entry("b", "z"), 2, now);
    let first = old.heartbeat(now, BTreeSet::new());
    let second = old.heartbeat(now, BTreeSet::new());
    assert!(a.receive(now, second.clone()));
    assert!(!a.receive(now, second), "duplicate");
    assert!(!a.receive(now, first), "out of order");
    assert!(a.receive(now, new.heartbeat(now, BTreeSet::new())));
    assert!(
        !a.receive(now, old.heartbeat(now, BTreeSet::new())),
        "replaced"
    );
    assert!(a.is_replaced("b", 1) && !a.is_replaced("b", 2));
    let mut elsewhere = Membership::new(entry("x", "other"), 1, now);
    assert!(
        !a.receive(now, elsewhere.heartbeat(now, BTreeSet::new())),
        "another zone"
    );
}

#[test]
fn a_paused_host_notices_the_pause_only_once() {
    let mut zone = Zone::new(&["a", "b", "c"]);
    zone.rounds(2, |_, _| true);
    zone.now += 60 * 1_000 * MS;
    let gap = zone.hosts[0].tick(zone.now - 1_000 * MS);
    assert!(gap.is_some());
    assert_eq!(zone.hosts[0].tick(zone.now - 900 * MS), None);
}
