//! A request that crashes each upstream that runs it is repeated at hosts that exchange updates.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{Admission, Suspects, WorkEvent, WorkIdentity, WorkParts};

const HOSTS: usize = 9;
const DURATION_MS: u64 = 60_000;
const LONG_DURATION_MS: u64 = 20 * 60_000;
/// Time after a disturbance until a host counts as connected again.
const RECONNECT_MS: u64 = 4_000;
/// Sends after the third crash, by connected hosts, that operators tolerate.
const MAX_SENDS: usize = 3;
/// Crashes tolerated in total while hosts restart or are cut off: two before the request is
/// refused, a few sends in flight meanwhile, and later trials.
const MAX_CRASHES: usize = 8;
const CRASHES_AFTER_MS: u64 = 150;
const ATTEMPTS: u32 = 2;
const DELIVERY_MS: std::ops::Range<u64> = 1..80;
const REQUEST_INTERVAL_MS: u64 = 100;
/// Interval at which a host asks another for missed updates.
const SYNC_INTERVAL_MS: u64 = 1_000;

/// Disturbances, and the other requests in the simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Hosts restart one after the other and lose their state.
    restarts: bool,
    /// Hosts are cut off from all others for a while.
    cuts: bool,
    /// Number of requests for other paths of the same object, all answered, per crashing request.
    others: u32,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    host: usize,
    work: WorkIdentity,
    crashes: bool,
    sent_ms: u64,
    finishes_ms: u64,
    start: u64,
    attempt: u32,
}

#[derive(Debug, Clone, Copy)]
struct Message {
    to: usize,
    work: WorkIdentity,
    event: WorkEvent,
    sent_ms: u64,
    at_ms: u64,
}

struct Simulation {
    rng: StdRng,
    epoch: Instant,
    scenario: Scenario,
    hosts: Vec<Suspects>,
    /// Until when each host is cut off.
    cut_off_until_ms: [u64; HOSTS],
    in_flight: Vec<InFlight>,
    messages: Vec<Message>,
    crashes_ms: Vec<u64>,
    /// Each send of the crashing request, and whether its host was connected.
    sends: Vec<(u64, bool)>,
    starts: u64,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            epoch: Instant::now() + Duration::from_secs(3_600),
            scenario,
            hosts: (0..HOSTS).map(|host| Suspects::new(&name(host))).collect(),
            cut_off_until_ms: [0; HOSTS],
            in_flight: Vec::new(),
            messages: Vec::new(),
            crashes_ms: Vec::new(),
            sends: Vec::new(),
            starts: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.epoch + Duration::from_millis(ms)
    }

    fn is_cut_off(&self, host: usize, ms: u64) -> bool {
        self.cut_off_until_ms[host] > ms
    }

    fn is_connected(&self, host: usize, ms: u64) -> bool {
        let until = self.cut_off_until_ms[host];
        until == 0 || until + RECONNECT_MS <= ms
    }

    fn disturb(&mut self, ms: u64) {
        if ms % 2_000 != 1_999 {
            return;
        }
        let host = (ms / 2_000) as usize % HOSTS;
        if self.scenario.restarts {
            self.hosts[host] = Suspects::new(&name(host));
            self.cut_off_until_ms[host] = ms + 1;
            // A starting host asks others until one answers.
            let others = (1..HOSTS).map(|step| (host + step) % HOSTS);
            let reachable = others
                .into_iter()
                .find(|other| !self.is_cut_off(*other, ms));
            if let Some(other) = reachable {
                self.sync(host, other, ms);
            }
        }
        if self.scenario.cuts {
            self.cut_off_until_ms[host] = ms + self.rng.random_range(500..6_000);
        }
    }

    /// A host asks another one, if it can reach it, for missed updates.
    fn sync(&mut self, host: usize, other: usize, ms: u64) {
        if other == host || self.is_cut_off(other, ms) {
            return;
        }
        let now = self.at(ms);
        self.hosts[host].note_synced(now);
        if self.hosts[host].digest(now) == self.hosts[other].digest(now) {
            return;
        }
        let later_ms = ms + self.rng.random_range(DELIVERY_MS);
        let later = self.at(later_ms);
        for state in self.hosts[other].states(now) {
            self.hosts[host].merge(later, &state);
        }
    }

    fn request(&mut self, ms: u64) {
        let host = self.rng.random_range(0..HOSTS);
        let crashes = self.rng.random_range(0..=self.scenario.others) == 0;
        let path = match crashes {
            true => "/a/13/crashes".to_owned(),
            false => format!("/a/13/{ms}"),
        };
        let work = WorkIdentity::new(&WorkParts {
            route: "route",
            object: Some(b"13"),
            method: "GET",
            path: &path,
            customer: None,
            body: Some(b""),
        });
        let now = self.at(ms);
        match self.hosts[host].admit(now, work) {
            Admission::Refused(_) => return,
            Admission::Trial => self.broadcast(host, ms, work, WorkEvent::TrialStarted),
            Admission::Unrestricted => {}
        }
        self.send(host, ms, work, crashes, 1);
    }

    fn send(&mut self, host: usize, ms: u64, work: WorkIdentity, crashes: bool, attempt: u32) {
        self.starts += 1;
        self.in_flight.push(InFlight {
            host,
            work,
            crashes,
            sent_ms: ms,
            finishes_ms: ms + CRASHES_AFTER_MS,
            start: self.starts,
            attempt,
        });
        if crashes {
            self.sends.push((ms, self.is_connected(host, ms)));
        }
    }

    fn finish_requests(&mut self, ms: u64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (finished, left): (Vec<InFlight>, Vec<InFlight>) = in_flight
            .into_iter()
            .partition(|request| request.finishes_ms <= ms);
        self.in_flight = left;
        for request in finished {
            let sent_ms = (ms - request.sent_ms) as u32;
            let event = match request.crashes {
                true => WorkEvent::Crashed {
                    start: request.start,
                    sent_ms,
                    crashed_ms: 0,
                },
                false => WorkEvent::Answered { sent_ms },
            };
            let now = self.at(ms);
            if self.hosts[request.host].apply(now, request.work, event) {
                self.broadcast(request.host, ms, request.work, event);
            }
            if request.crashes {
                self.crashes_ms.push(ms);
                let may_be_retried = self.hosts[request.host].may_be_retried(request.work);
                if request.attempt < ATTEMPTS && may_be_retried {
                    self.send(request.host, ms, request.work, true, request.attempt + 1);
                }
            }
        }
    }

    fn broadcast(&mut self, from: usize, ms: u64, work: WorkIdentity, event: WorkEvent) {
        for to in (0..HOSTS).filter(|to| *to != from) {
            let at_ms = ms + self.rng.random_range(DELIVERY_MS);
            if !self.is_cut_off(from, ms) {
                self.messages.push(Message {
                    to,
                    work,
                    event,
                    sent_ms: ms,
                    at_ms,
                });
            }
        }
    }

    fn deliver(&mut self, ms: u64) {
        let messages = std::mem::take(&mut self.messages);
        let (arrived, left): (Vec<Message>, Vec<Message>) = messages
            .into_iter()
            .partition(|message| message.at_ms <= ms);
        self.messages = left;
        for message in arrived {
            if self.is_cut_off(message.to, ms) {
                continue;
            }
            let event = message
                .event
                .aged_by(Duration::from_millis(ms - message.sent_ms));
            let now = self.at(ms);
            self.hosts[message.to].apply(now, message.work, event);
        }
    }

    /// Runs the simulation and returns the number of sends by connected hosts after the third
    /// crash and the time for its update to arrive.
    fn run(&mut self, duration_ms: u64) -> usize {
        for ms in 0..duration_ms {
            self.disturb(ms);
            self.deliver(ms);
            self.finish_requests(ms);
            for host in 0..HOSTS {
                let offset_ms = host as u64 * SYNC_INTERVAL_MS / HOSTS as u64;
                if ms % SYNC_INTERVAL_MS == offset_ms && !self.is_cut_off(host, ms) {
                    let other = self.rng.random_range(0..HOSTS);
                    self.sync(host, other, ms);
                }
            }
            if ms % REQUEST_INTERVAL_MS == 0 {
                self.request(ms);
            }
        }
        let Some(third) = self.crashes_ms.get(2) else {
            return 0;
        };
        let from_ms = third + RECONNECT_MS;
        let counted = self.sends.iter();
        counted
            .filter(|(ms, connected)| *ms > from_ms && *connected)
            .count()
    }
}

fn name(host: usize) -> String {
    format!("edge-{host}")
}

#[rstest]
#[case::calm(Scenario { restarts: false, cuts: false, others: 0 })]
#[case::hosts_restart(Scenario { restarts: true, cuts: false, others: 0 })]
#[case::hosts_are_cut_off(Scenario { restarts: false, cuts: true, others: 0 })]
#[case::others_are_answered(Scenario { restarts: false, cuts: false, others: 3 })]
#[case::all(Scenario { restarts: true, cuts: true, others: 3 })]
fn a_crashing_request_is_not_sent_again_by_connected_hosts(#[case] scenario: Scenario) {
    let mut failures = BTreeMap::new();
    for seed in 1..=20 {
        let sends = Simulation::new(scenario, seed).run(DURATION_MS);
        if sends > MAX_SENDS {
            failures.insert(seed, sends);
        }
    }
    assert!(failures.is_empty(), "sends by seed: {failures:?}");
}

#[rstest]
#[case::hosts_restart(Scenario { restarts: true, cuts: false, others: 0 })]
#[case::hosts_are_cut_off(Scenario { restarts: false, cuts: true, others: 0 })]
#[case::others_are_answered(Scenario { restarts: false, cuts: false, others: 3 })]
fn a_crashing_request_crashes_few_upstreams(#[case] scenario: Scenario) {
    let mut failures = BTreeMap::new();
    for seed in 1..=20 {
        let mut simulation = Simulation::new(scenario, seed);
        simulation.run(DURATION_MS);
        if simulation.crashes_ms.len() > MAX_CRASHES {
            failures.insert(seed, simulation.crashes_ms.len());
        }
    }
    assert!(failures.is_empty(), "crashes by seed: {failures:?}");
}

#[test]
fn a_crashing_request_repeated_for_long_is_rarely_sent() {
    let scenario = Scenario {
        restarts: true,
        cuts: false,
        others: 0,
    };
    for seed in 1..=3 {
        let mut simulation = Simulation::new(scenario, seed);
        let sends = simulation.run(LONG_DURATION_MS);
        assert!(
            sends <= MAX_SENDS,
            "seed {seed}: {sends} sends {:?}",
            simulation.sends
        );
    }
}
