//! How old beliefs become while hosts that tell others have faults. No host without trouble may
//! act on a belief that is older than its bound, however many hosts the news passed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::rendezvous;
use steering::route::{PollSchedule, UpdateKind};

const FEED: &str = "upstreams";
const LASTS: Duration = Duration::from_secs(60);
/// A request whose upstream was chosen just before, on a new connection.
const IN_FLIGHT: Duration = ms(200);
/// Longest wait for a message's reply.
const CALL_LIMIT: Duration = ms(900);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn up_to(most: Duration, rng: &mut StdRng) -> Duration {
    rng.random_range(Duration::ZERO..=most)
}

/// What is wrong with a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Nothing: what is asserted holds for it.
    None,
    /// It stands still for seconds, and what it had sent comes late.
    Freezes,
    /// Its links lose packets.
    LosesPackets,
    /// It is killed, and starts again.
    Restarts,
}

struct Host {
    lead: PollSchedule,
    fault: Fault,
    /// When what it knows was true in the store; none where it knows nothing.
    truth: Option<Duration>,
    /// Until when it does nothing.
    still_until: Duration,
    /// Until when a message to each of the others is under way.
    busy_until: Vec<Duration>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host looks whether it has to ask.
    Wakes { host: usize },
    /// The store's answer reaches a host.
    Answered {
        host: usize,
        truth: Duration,
        begun: Duration,
    },
    /// A message reaches a host.
    Told {
        host: usize,
        from: usize,
        truth: Duration,
        as_of: Duration,
    },
    /// A host's fault begins.
    FaultBegins { host: usize },
}

struct World {
    rng: StdRng,
    epoch: Instant,
    now: Duration,
    bound: Duration,
    names: Vec<String>,
    hosts: Vec<Host>,
    /// Hosts of each group; the first is told by other groups.
    groups: Vec<Vec<usize>>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
}

impl World {
    fn new(seed: u64, groups: usize, bound: Duration) -> World {
        const GROUP_SIZE: usize = 5;
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..groups * GROUP_SIZE).map(|n| format!("h{n}")).collect();
        let hosts = names.iter().map(|name| Host {
            lead: PollSchedule::new(name, FEED, bound),
            fault: Fault::None,
            truth: None,
            still_until: Duration::ZERO,
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
        // Faults of the hosts that tell are the ones that reach others.
        for group in &groups {
            let kinds = [Fault::Freezes, Fault::LosesPackets, Fault::Restarts];
            hosts[group[0]].fault = kinds[rng.random_range(0..kinds.len())];
        }
        let mut world = World {
            rng,
            epoch: Instant::now(),
            now: Duration::ZERO,
            bound,
            names,
            hosts,
            groups,
            events: BinaryHeap::new(),
        };
        for host in 0..world.hosts.len() {
            let at = up_to(ms(500), &mut world.rng);
            world.at(at, Event::Wakes { host });
            if world.hosts[host].fault != Fault::None {
                world.at(ms(3_000), Event::FaultBegins { host });
            }
        }
        world
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn clock(&self) -> Instant {
        self.epoch + self.now
    }

    /// Plays to the end; the oldest belief that a host without trouble had.
    fn play(&mut self) -> Duration {
        let mut oldest = Duration::ZERO;
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > LASTS {
                break;
            }
            self.now = at;
            let beliefs = self.hosts.iter();
            let well = beliefs.filter(|host| host.fault == Fault::None);
            let ages = well.filter_map(|host| host.truth.map(|truth| at.saturating_sub(truth)));
            oldest = oldest.max(ages.max().unwrap_or_default());
            self.take(event);
        }
        oldest
    }

    fn take(&mut self, event: Event) {
        let now = self.now;
        let (Event::Wakes { host }
        | Event::Answered { host, .. }
        | Event::Told { host, .. }
        | Event::FaultBegins { host }) = event;
        let still_until = self.hosts[host].still_until;
        match event {
            // What comes to a host that stands still waits in its sockets.
            _ if still_until > now => self.at(still_until, event),
            Event::Wakes { host } => self.wake(host),
            Event::Answered { host, truth, begun } => self.answered(host, truth, begun),
            Event::Told {
                host,
                from,
                truth,
                as_of,
            } => self.told(host, from, truth, as_of),
            Event::FaultBegins { host } => self.begin_fault(host),
        }
    }

    fn wake(&mut self, host: usize) {
        let rests = self.hosts[host].lead.poll_delay(self.clock());
        if !rests.is_zero() {
            return self.at(self.now + rests, Event::Wakes { host });
        }
        let way = up_to(ms(50), &mut self.rng);
        let back = up_to(ms(50), &mut self.rng);
        let truth = self.now + way;
        let begun = self.now;
        self.at(truth + back, Event::Answered { host, truth, begun });
    }

    fn answered(&mut self, host: usize, truth: Duration, begun: Duration) {
        let clock = self.clock();
        let as_of = self.epoch + begun;
        let own = &mut self.hosts[host];
        let tells = own.lead.forwards_updates(clock);
        own.lead.polled(as_of);
        own.truth = own.truth.max(Some(truth));
        let pace = own.lead.poll_interval();
        self.at(self.now + pace, Event::Wakes { host });
        if tells {
            let group = self.group(host);
            let firsts = self.groups.iter().map(|group| group[0]);
            let firsts = firsts.filter(|first| !group.contains(first));
            let audience: Vec<usize> = group.iter().copied().chain(firsts).collect();
            self.tell(host, &audience);
        }
    }

    fn group(&self, host: usize) -> Vec<usize> {
        let own = self.groups.iter().find(|group| group.contains(&host));
        own.cloned().unwrap_or_default()
    }

    fn tell(&mut self, from: usize, audience: &[usize]) {
        let now = self.now;
        let Some(truth) = self.hosts[from].truth else {
            return;
        };
        let age = self.hosts[from].lead.age(self.clock()).unwrap_or_default();
        for host in audience.iter().copied().filter(|host| *host != from) {
            if self.hosts[from].busy_until[host] > now {
                continue;
            }
            let way = self.way(from, host);
            let reply = up_to(ms(50), &mut self.rng);
            let took = (way + reply).min(CALL_LIMIT);
            self.hosts[from].busy_until[host] = now + took;
            // The listener bounds the message's way by the reply to the one before.
            let as_of = now.saturating_sub(age + reply);
            self.at(
                now + way,
                Event::Told {
                    host,
                    from,
                    truth,
                    as_of,
                },
            );
        }
    }

    fn way(&mut self, from: usize, to: usize) -> Duration {
        let loses = |host: usize| self.hosts[host].fault == Fault::LosesPackets;
        let is_lost = (loses(from) || loses(to)) && self.rng.random_ratio(1, 4);
        up_to(if is_lost { ms(3_000) } else { ms(80) }, &mut self.rng)
    }

    fn told(&mut self, host: usize, from: usize, truth: Duration, as_of: Duration) {
        let as_of = self.epoch + as_of;
        let own = &mut self.hosts[host];
        let used = match own.truth {
            Some(known) if truth <= known => UpdateKind::Known,
            _ => UpdateKind::New,
        };
        own.lead.received_update(&self.names[from], used, as_of);
        own.truth = own.truth.max(Some(truth));
        let group = self.group(host);
        if !group.contains(&from) {
            self.tell(host, &group);
        }
    }

    fn begin_fault(&mut self, host: usize) {
        let lasts = up_to(ms(4_000), &mut self.rng);
        let next = self.now + lasts + up_to(ms(6_000), &mut self.rng);
        match self.hosts[host].fault {
            Fault::Freezes => {
                self.hosts[host].still_until = self.now + lasts;
                self.hold_up(host, lasts);
            }
            Fault::Restarts => {
                let own = &mut self.hosts[host];
                own.still_until = self.now + lasts;
                own.truth = None;
                own.lead = PollSchedule::new(&self.names[host], FEED, self.bound);
            }
            Fault::LosesPackets | Fault::None => {}
        }
        self.at(next, Event::FaultBegins { host });
    }

    /// Holds up some of what a host has sent: its link stands still as well.
    fn hold_up(&mut self, sender: usize, most: Duration) {
        let events = std::mem::take(&mut self.events);
        for Reverse((at, event)) in events {
            let is_from = matches!(event, Event::Told { from, .. } if from == sender);
            let later = match is_from && self.rng.random_ratio(1, 2) {
                true => up_to(most, &mut self.rng),
                false => Duration::ZERO,
            };
            self.at(at + later, event);
        }
    }
}

#[rstest]
fn no_host_without_trouble_acts_on_a_belief_older_than_its_bound(
    #[values(2_000, 2_500, 3_000, 4_000, 5_000)] bound: u64,
    #[values(1, 3)] groups: usize,
) {
    for seed in 1..=40 {
        let oldest = World::new(seed, groups, ms(bound)).play();
        let most = ms(bound) - IN_FLIGHT;
        assert!(oldest <= most, "seed {seed}: {oldest:?} of {most:?}");
    }
}
