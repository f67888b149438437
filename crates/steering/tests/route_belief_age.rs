//! Simulates the age of the known state while hosts that forward updates have faults. A
//! host without faults must never act on a state older than its bound, however many hosts
//! the updates passed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::host_capacity::HostCapacity;
use steering::rendezvous;
use steering::route::{FeedRank, PollSchedule, UpdateKind};

const FEED: &str = "upstreams";
const DURATION: Duration = Duration::from_secs(60);
/// Duration of a request whose upstream was selected just before, on a new connection.
const IN_FLIGHT: Duration = ms(200);
/// Longest wait for the reply to a message.
const CALL_LIMIT: Duration = ms(900);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rank(host: &str) -> FeedRank {
    FeedRank::new(FEED, host, HostCapacity::default())
}

fn random_up_to(most: Duration, rng: &mut StdRng) -> Duration {
    rng.random_range(Duration::ZERO..=most)
}

/// Fault of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// No fault; the assertion holds for this host.
    None,
    /// The host freezes for seconds, and the messages that it sent arrive late.
    Frozen,
    /// The host's links lose packets.
    PacketLoss,
    /// The host is killed and restarts.
    Restart,
}

struct Host {
    schedule: PollSchedule,
    fault: Fault,
    /// Time at which the host's state was current in the store; `None` if it has none.
    state_time: Option<Duration>,
    /// End of the current freeze or restart.
    frozen_until: Duration,
    /// For each other host, the time until which a message to it is in flight.
    busy_until: Vec<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host checks whether it has to poll.
    PollDue { host: usize },
    /// The store's answer reaches a host.
    Answered {
        host: usize,
        state_time: Duration,
        poll_start: Duration,
    },
    /// An update reaches a host.
    Update {
        host: usize,
        from: usize,
        state_time: Duration,
        as_of: Duration,
    },
    /// A host's fault begins.
    FaultBegins { host: usize },
}

struct Simulation {
    rng: StdRng,
    epoch: Instant,
    now: Duration,
    bound: Duration,
    names: Vec<String>,
    hosts: Vec<Host>,
    /// Hosts of each group by rank; other groups send their updates to the first.
    groups: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
}

impl Simulation {
    fn new(seed: u64, groups: usize, bound: Duration) -> Simulation {
        const GROUP_SIZE: usize = 5;
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..groups * GROUP_SIZE).map(|n| format!("h{n}")).collect();
        let hosts = names.iter().map(|name| Host {
            schedule: PollSchedule::new(rank(name), bound),
            fault: Fault::None,
            state_time: None,
            frozen_until: Duration::ZERO,
            busy_until: vec![Duration::ZERO; names.len()],
        });
        let mut hosts: Vec<Host> = hosts.collect();
        let ranked = rendezvous::rank(FEED, names.iter().map(String::as_str));
        let place = |name: &str| names.iter().position(|other| other == name);
        let ranked: Vec<usize> = ranked.into_iter().filter_map(place).collect();
        let group_of = |host: usize| host / GROUP_SIZE;
        let of_group = |group| {
            ranked
                .iter()
                .copied()
                .filter(move |h| group_of(*h) == group)
        };
        let groups: Vec<Vec<usize>> = (0..groups).map(|group| of_group(group).collect()).collect();
        // The first hosts get the faults, because they forward updates to others.
        for group in &groups {
            let kinds = [Fault::Frozen, Fault::PacketLoss, Fault::Restart];
            hosts[group[0]].fault = kinds[rng.random_range(0..kinds.len())];
        }
        let mut simulation = Simulation {
            rng,
            epoch: Instant::now(),
            now: Duration::ZERO,
            bound,
            names,
            hosts,
            groups,
            events: BinaryHeap::new(),
        };
        for host in 0..simulation.hosts.len() {
            let at = random_up_to(ms(500), &mut simulation.rng);
            simulation.at(at, Event::PollDue { host });
            if simulation.hosts[host].fault != Fault::None {
                simulation.at(ms(3_000), Event::FaultBegins { host });
            }
        }
        simulation
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn clock(&self) -> Instant {
        self.epoch + self.now
    }

    /// Runs the simulation and returns the maximum age of the state of any host without
    /// faults.
    fn run(&mut self) -> Duration {
        let mut oldest = Duration::ZERO;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > DURATION {
                break;
            }
            self.now = at;
            let hosts = self.hosts.iter();
            let healthy = hosts.filter(|host| host.fault == Fault::None);
            let ages = healthy.filter_map(|host| {
                host.state_time
                    .map(|state_time| at.saturating_sub(state_time))
            });
            oldest = oldest.max(ages.max().unwrap_or_default());
            self.handle(event);
        }
        oldest
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let (Event::PollDue { host }
        | Event::Answered { host, .. }
        | Event::Update { host, .. }
        | Event::FaultBegins { host }) = event;
        let frozen_until = self.hosts[host].frozen_until;
        match event {
            // Messages to a frozen host wait in its sockets.
            _ if frozen_until > now => self.at(frozen_until, event),
            Event::PollDue { host } => self.poll(host),
            Event::Answered {
                host,
                state_time,
                poll_start,
            } => self.answered(host, state_time, poll_start),
            Event::Update {
                host,
                from,
                state_time,
                as_of,
            } => self.receive_update(host, from, state_time, as_of),
            Event::FaultBegins { host } => self.begin_fault(host),
        }
    }

    fn poll(&mut self, host: usize) {
        let poll_delay = self.hosts[host].schedule.poll_delay(self.clock());
        if !poll_delay.is_zero() {
            return self.at(self.now + poll_delay, Event::PollDue { host });
        }
        let delay = random_up_to(ms(50), &mut self.rng);
        let back = random_up_to(ms(50), &mut self.rng);
        let state_time = self.now + delay;
        let poll_start = self.now;
        self.at(
            state_time + back,
            Event::Answered {
                host,
                state_time,
                poll_start,
            },
        );
    }

    fn answered(&mut self, host: usize, state_time: Duration, poll_start: Duration) {
        let clock = self.clock();
        let as_of = self.epoch + poll_start;
        let own = &mut self.hosts[host];
        let forwards = own.schedule.forwards_updates(clock);
        own.schedule.polled(as_of);
        own.state_time = own.state_time.max(Some(state_time));
        let poll_interval = own.schedule.poll_interval();
        self.at(self.now + poll_interval, Event::PollDue { host });
        if forwards {
            let group = self.group(host);
            let first_hosts = self.groups.iter().map(|group| group[0]);
            let first_hosts = first_hosts.filter(|first_host| !group.contains(first_host));
            let receivers: Vec<usize> = group.iter().copied().chain(first_hosts).collect();
            self.send_update(host, &receivers);
        }
    }

    fn group(&self, host: usize) -> Vec<usize> {
        let own = self.groups.iter().find(|group| group.contains(&host));
        own.cloned().unwrap_or_default()
    }

    fn send_update(&mut self, from: usize, receivers: &[usize]) {
        let now = self.now;
        let Some(state_time) = self.hosts[from].state_time else {
            return;
        };
        let age = self.hosts[from]
            .schedule
            .age(self.clock())
            .unwrap_or_default();
        for host in receivers.iter().copied().filter(|host| *host != from) {
            if self.hosts[from].busy_until[host] > now {
                continue;
            }
            let delay = self.delay(from, host);
            let reply = random_up_to(ms(50), &mut self.rng);
            let took = (delay + reply).min(CALL_LIMIT);
            self.hosts[from].busy_until[host] = now + took;
            // The receiver bounds the delay of a message by the reply to the previous one.
            let as_of = now.saturating_sub(age + reply);
            self.at(
                now + delay,
                Event::Update {
                    host,
                    from,
                    state_time,
                    as_of,
                },
            );
        }
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let loses = |host: usize| self.hosts[host].fault == Fault::PacketLoss;
        let is_lost = (loses(from) || loses(to)) && self.rng.random_ratio(1, 4);
        random_up_to(if is_lost { ms(3_000) } else { ms(80) }, &mut self.rng)
    }

    fn receive_update(&mut self, host: usize, from: usize, state_time: Duration, as_of: Duration) {
        let as_of = self.epoch + as_of;
        let own = &mut self.hosts[host];
        let kind = match own.state_time {
            Some(known) if state_time <= known => UpdateKind::Known,
            _ => UpdateKind::New,
        };
        own.schedule
            .received_update(rank(&self.names[from]), kind, as_of);
        own.state_time = own.state_time.max(Some(state_time));
        let group = self.group(host);
        if !group.contains(&from) {
            self.send_update(host, &group);
        }
    }

    fn begin_fault(&mut self, host: usize) {
        let lasts = random_up_to(ms(4_000), &mut self.rng);
        let next = self.now + lasts + random_up_to(ms(6_000), &mut self.rng);
        match self.hosts[host].fault {
            Fault::Frozen => {
                self.hosts[host].frozen_until = self.now + lasts;
                self.delay_messages_of(host, lasts);
            }
            Fault::Restart => {
                let own = &mut self.hosts[host];
                own.frozen_until = self.now + lasts;
                own.state_time = None;
                own.schedule = PollSchedule::new(rank(&self.names[host]), self.bound);
            }
            Fault::PacketLoss | Fault::None => {}
        }
        self.at(next, Event::FaultBegins { host });
    }

    /// Delays some of the messages that a host has sent, since its link freezes as well.
    fn delay_messages_of(&mut self, sender: usize, most: Duration) {
        let events = std::mem::take(&mut self.events);
        for Reverse((at, event)) in events {
            let is_from = matches!(event, Event::Update { from, .. } if from == sender);
            let later = match is_from && self.rng.random_ratio(1, 2) {
                true => random_up_to(most, &mut self.rng),
                false => Duration::ZERO,
            };
            self.at(at + later, event);
        }
    }
}

#[rstest]
fn host_without_faults_never_acts_on_state_older_than_its_bound(
    #[values(2_000, 2_500, 3_000, 4_000, 5_000)] bound: u64,
    #[values(1, 3)] groups: usize,
) {
    for seed in 1..=40 {
        let oldest = Simulation::new(seed, groups, ms(bound)).run();
        let most = ms(bound) - IN_FLIGHT;
        assert!(oldest <= most, "seed {seed}: {oldest:?} of {most:?}");
    }
}
