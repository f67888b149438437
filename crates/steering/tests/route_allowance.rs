//! Allowances shared by hosts, simulated with late and lost messages, network partitions, killed
//! hosts and changed limits, without network or real time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{
    Allowance, AllowanceTolerance, KEEP_ALIVE, LeaseStep, TakeResult, TokenBound, TokenDemand,
    TokenLeases, TokenPool, TokenReply, TokenRequest, group_of,
};

const TICK: Duration = Duration::from_millis(10);
/// Timeout of a request to another host; later answers are ignored.
const CALL_LIMIT: Duration = Duration::from_millis(500);
const CUSTOMER: &str = "huka270";
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: AllowanceTolerance = AllowanceTolerance {
    window: WINDOW,
    over_share: 0.1,
    over_requests: 20.0,
};

struct Host {
    name: String,
    incarnation: u64,
    leases: TokenLeases,
    pool: TokenPool,
    /// The request in flight: its time, recipient and contents.
    call: Option<(Instant, usize, TokenRequest)>,
    next: Instant,
    /// Until when the host is down.
    down: Option<Instant>,
    /// The side of the partition that the host is on.
    side: usize,
}

enum Message {
    Ask(usize, u64, TokenRequest),
    Reply(usize, u64, TokenReply),
}

struct Simulation {
    now: Instant,
    random: StdRng,
    hosts: Vec<Host>,
    /// Messages in flight: time of arrival, recipient, sender, contents.
    messages: Vec<(Instant, usize, usize, Message)>,
    /// Until when messages between the sides are lost or delayed.
    cut_until: Instant,
    allowance: Allowance,
    runs: VecDeque<Instant>,
    max_runs: usize,
    requests: usize,
    refused: usize,
    run: usize,
}

fn host(number: usize, now: Instant, incarnation: u64, again: bool) -> Host {
    Host {
        name: format!("h{number}"),
        incarnation,
        leases: TokenLeases::new(now),
        pool: TokenPool::new(incarnation, now, again),
        call: None,
        next: now,
        down: None,
        side: 0,
    }
}

impl Simulation {
    fn new(hosts: usize, allowance: Allowance, seed: u64) -> Simulation {
        let now = Instant::now();
        Simulation {
            now,
            random: StdRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|n| host(n, now, n as u64, false)).collect(),
            messages: Vec::new(),
            cut_until: now,
            allowance,
            runs: VecDeque::new(),
            max_runs: 0,
            requests: 0,
            refused: 0,
            run: 0,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now < self.cut_until && self.hosts[a].side != self.hosts[b].side
    }

    fn send(&mut self, to: usize, from: usize, message: Message) {
        let mut arrives_at = self.now + Duration::from_millis(self.random.random_range(0..60));
        if self.is_cut(to, from) {
            // Messages are lost, or delayed until the partition ends.
            if self.random.random_bool(0.5) {
                return;
            }
            arrives_at = self.cut_until + Duration::from_millis(self.random.random_range(0..60));
        }
        self.messages.push((arrives_at, to, from, message));
    }

    /// The hosts that `me` may ask, in order of preference: two for all hosts, then itself for a
    /// partition.
    fn ranked(&self, me: usize) -> Vec<String> {
        let names = self.hosts.iter().map(|host| host.name.as_str());
        let ranked = steering::rendezvous::rank(CUSTOMER, names);
        let mut ranked: Vec<String> = ranked.iter().take(2).map(|n| (*n).to_owned()).collect();
        ranked.push(self.hosts[me].name.clone());
        ranked
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.messages.drain(..).partition(|m| m.0 <= now);
        self.messages = later;
        for (_, to, from, message) in due {
            self.deliver(to, from, message);
        }
        for me in 0..self.hosts.len() {
            self.act(me);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, message: Message) {
        if self.hosts[to].down.is_some() {
            return;
        }
        match message {
            Message::Ask(number, incarnation, ask) => {
                let reply = self.reply(to, from, &ask);
                let message = Message::Reply(number, incarnation, reply);
                self.send(from, to, message);
            }
            Message::Reply(number, incarnation, reply) => {
                let host = &mut self.hosts[to];
                let is_awaited = host.incarnation == incarnation;
                let call = host.call.take_if(|call| is_awaited && call.1 == number);
                if let Some((asked, number, ask)) = call {
                    let name = format!("h{number}");
                    if host.leases.answered(self.now, asked, &name, &ask, &reply) {
                        host.next = self.now;
                    }
                }
            }
        }
    }

    fn reply(&mut self, to: usize, from: usize, ask: &TokenRequest) -> TokenReply {
        let bound = TokenBound::new(&self.allowance, &TOLERANCE);
        let hosts = self.hosts.len();
        let asker = self.hosts[from].name.clone();
        let pool = &mut self.hosts[to].pool;
        pool.handle_request(self.now, &asker, true, ask, Some(hosts), &|_| Some(bound))
    }

    fn act(&mut self, me: usize) {
        let now = self.now;
        if let Some(until) = self.hosts[me].down {
            if now < until {
                return;
            }
            let incarnation = self.random.random();
            let side = self.hosts[me].side;
            self.hosts[me] = Host {
                side,
                ..host(me, now, incarnation, true)
            };
        }
        if let Some((asked, number, _)) = &self.hosts[me].call {
            if now < *asked + CALL_LIMIT {
                return;
            }
            let name = format!("h{number}");
            let host = &mut self.hosts[me];
            host.call = None;
            host.leases.unanswered(now, &name, group_of(CUSTOMER));
            host.next = now;
        }
        if now < self.hosts[me].next {
            return;
        }
        let ranked = self.ranked(me);
        let ranked: Vec<&str> = ranked.iter().map(String::as_str).collect();
        let host = &mut self.hosts[me];
        host.next = now + KEEP_ALIVE;
        match host.leases.step(now, group_of(CUSTOMER), &ranked) {
            LeaseStep::WaitUntil(until) => host.next = until.max(now + TICK),
            LeaseStep::SendRequest(name, ask) => {
                let number: usize = name[1..].parse().expect("names are numbered");
                let incarnation = host.incarnation;
                if number == me {
                    let reply = self.reply(me, me, &ask);
                    let host = &mut self.hosts[me];
                    if host.leases.answered(now, now, &name, &ask, &reply) {
                        host.next = now + TICK;
                    }
                } else {
                    host.call = Some((now, number, ask.clone()));
                    self.send(number, me, Message::Ask(number, incarnation, ask));
                }
            }
        }
    }

    /// A request of the customer at a host; it is refused if it finds no token in time.
    fn request(&mut self, at: usize) {
        if self.hosts[at].down.is_some() {
            return;
        }
        self.requests += 1;
        let host = &mut self.hosts[at];
        match host.leases.take(self.now, CUSTOMER) {
            TakeResult::Taken => self.run(),
            TakeResult::Exhausted(_) => self.refused += 1,
            TakeResult::Wait => {
                // [`Simulation::retry_waiting`] retries it in the next ticks.
                host.next = self.now;
            }
        }
    }

    /// Retries the requests that wait.
    fn retry_waiting(&mut self, waiting: &mut Vec<(usize, u64, Instant)>) {
        let now = self.now;
        let mut left = Vec::new();
        for (at, incarnation, since) in waiting.drain(..) {
            if self.hosts[at].incarnation != incarnation || self.hosts[at].down.is_some() {
                self.refused += 1;
                continue;
            }
            match self.hosts[at].leases.retry(now, CUSTOMER) {
                TakeResult::Taken => self.run(),
                TakeResult::Exhausted(_) => self.refused += 1,
                TakeResult::Wait if now > since + CALL_LIMIT => {
                    self.hosts[at].leases.cancel_wait(CUSTOMER);
                    self.refused += 1;
                }
                TakeResult::Wait => left.push((at, incarnation, since)),
            }
        }
        *waiting = left;
    }

    fn run(&mut self) {
        self.run += 1;
        self.runs.push_back(self.now);
        while self.runs.front().is_some_and(|at| *at + WINDOW < self.now) {
            self.runs.pop_front();
        }
        self.max_runs = self.max_runs.max(self.runs.len());
    }

    fn max_allowed(&self) -> f64 {
        let Allowance { per_s, burst } = self.allowance;
        (per_s * WINDOW.as_secs_f64() + burst) * (1.0 + TOLERANCE.over_share)
            + TOLERANCE.over_requests
    }

    /// Sends requests at a rate for a time, spread randomly over the hosts.
    fn run_requests(&mut self, per_s: f64, seconds: u64, disturb: impl Fn(&mut Simulation)) {
        let end = self.now + Duration::from_secs(seconds);
        let mut waiting: Vec<(usize, u64, Instant)> = Vec::new();
        let mut due = 0.0;
        while self.now < end {
            disturb(self);
            self.tick();
            due += per_s * TICK.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let at = self.random.random_range(0..self.hosts.len());
                let (run, refused) = (self.run, self.refused);
                self.request(at);
                if self.hosts[at].down.is_none() && run == self.run && refused == self.refused {
                    waiting.push((at, self.hosts[at].incarnation, self.now));
                    self.hosts[at].next = self.now;
                }
            }
            self.retry_waiting(&mut waiting);
        }
    }
}

fn allowance(per_s: f64, burst: f64) -> Allowance {
    Allowance { per_s, burst }
}

/// Randomly kills hosts and starts partitions, about ten times per minute.
fn random_disturbance(simulation: &mut Simulation) {
    if simulation.random.random_bool(0.002) {
        let count = simulation.random.random_range(1..=simulation.hosts.len());
        let down =
            simulation.now + Duration::from_millis(simulation.random.random_range(300..3_000));
        for _ in 0..count {
            let at = simulation.random.random_range(0..simulation.hosts.len());
            simulation.hosts[at].down.get_or_insert(down);
        }
    }
    if simulation.random.random_bool(0.002) && simulation.now >= simulation.cut_until {
        for at in 0..simulation.hosts.len() {
            simulation.hosts[at].side = simulation.random.random_range(0..3);
        }
        let duration = Duration::from_millis(simulation.random.random_range(500..9_000));
        simulation.cut_until = simulation.now + duration;
    }
}

#[rstest]
#[case::large(allowance(411.0, 411.0), 9)]
#[case::small(allowance(8.0, 8.0), 9)]
#[case::many_hosts(allowance(40.0, 40.0), 40)]
#[case::no_burst(allowance(100.0, 0.0), 9)]
fn requests_that_run_never_exceed_the_allowance(
    #[case] allowance: Allowance,
    #[case] hosts: usize,
) {
    for seed in 0..12 {
        let mut simulation = Simulation::new(hosts, allowance, seed);
        // First below the allowance, then five times the allowance.
        simulation.run_requests(allowance.per_s * 0.6, 4, random_disturbance);
        simulation.run_requests(allowance.per_s * 5.0, 30, random_disturbance);
        let (runs, allowed) = (simulation.max_runs as f64, simulation.max_allowed());
        assert!(
            runs <= allowed,
            "seed {seed}: {runs} of {allowed} in a window"
        );
        assert!(simulation.run > 0);
    }
}

#[rstest]
#[case::large(allowance(411.0, 411.0), 9, 0.99)]
#[case::small(allowance(8.0, 8.0), 9, 0.97)]
#[case::large_at_many_hosts(allowance(411.0, 411.0), 60, 0.99)]
#[case::small_at_many_hosts(allowance(8.0, 8.0), 60, 0.95)]
fn requests_within_the_allowance_are_served_without_disturbances(
    #[case] allowance: Allowance,
    #[case] hosts: usize,
    #[case] share: f64,
) {
    let mut simulation = Simulation::new(hosts, allowance, 1);
    simulation.run_requests(0.0, 6, |_| {});
    simulation.run_requests(allowance.per_s * 0.63, 20, |_| {});
    let served = simulation.run as f64 / simulation.requests as f64;
    assert!(
        served >= share,
        "{} of {} served",
        simulation.run,
        simulation.requests
    );
}

#[test]
fn overload_uses_most_of_the_allowance() {
    let allowance = allowance(100.0, 100.0);
    let mut simulation = Simulation::new(9, allowance, 1);
    simulation.run_requests(0.0, 6, |_| {});
    simulation.run_requests(800.0, 20, |_| {});
    let served = simulation.run as f64 / 20.0;
    assert!(served > 95.0, "{served} a second");
}

#[test]
fn each_side_of_a_partition_continues_with_its_shares() {
    let allowance = allowance(400.0, 400.0);
    let mut simulation = Simulation::new(9, allowance, 1);
    simulation.run_requests(0.0, 6, |_| {});
    for host in 0..9 {
        simulation.hosts[host].side = usize::from(host < 3);
    }
    simulation.cut_until = simulation.now + Duration::from_secs(60);
    simulation.run_requests(800.0, 10, |_| {});
    let run = simulation.run;
    simulation.run_requests(800.0, 10, |_| {});
    let served = (simulation.run - run) as f64 / 10.0;
    assert!(served > 200.0, "{served} a second");
    assert!(simulation.max_runs as f64 <= simulation.max_allowed());
}

#[test]
fn a_lowered_allowance_applies_at_once() {
    let mut simulation = Simulation::new(9, allowance(400.0, 400.0), 1);
    simulation.run_requests(0.0, 6, |_| {});
    simulation.run_requests(800.0, 10, |_| {});
    simulation.allowance = allowance(40.0, 40.0);
    // Lent tokens are spent within a second.
    simulation.run_requests(800.0, 1, |_| {});
    simulation.runs.clear();
    simulation.max_runs = 0;
    simulation.run_requests(800.0, 20, |_| {});
    assert!(
        simulation.max_runs as f64 <= simulation.max_allowed(),
        "{}",
        simulation.max_runs
    );
}

#[rstest]
#[case::as_stated(allowance(100.0, 100.0))]
#[case::small(allowance(1.0, 1.0))]
#[case::no_burst(allowance(400.0, 0.0))]
#[case::large_burst(allowance(10.0, 1_000.0))]
fn a_bucket_stays_within_the_allowance_in_a_window(#[case] allowance: Allowance) {
    let exact = AllowanceTolerance::default();
    for tolerance in [TOLERANCE, exact] {
        let TokenBound { per_s, depth } = TokenBound::new(&allowance, &tolerance);
        let window_s = tolerance.window.as_secs_f64();
        let most = (allowance.per_s * window_s + allowance.burst) * (1.0 + tolerance.over_share);
        // A bucket of less than one token would admit nothing.
        let most = (most + tolerance.over_requests).max(per_s * window_s + 1.0);
        assert!(per_s * window_s + depth <= most + 1e-9, "{per_s} {depth}");
        assert!(depth >= 1.0 && per_s > 0.0, "{per_s} {depth}");
    }
}

/// A host without a share gets tokens from the members' shares for its waiting requests, and adds
/// no share of its own.
#[test]
fn a_host_without_a_share_is_lent_tokens_and_adds_none() {
    let start = Instant::now();
    let bound = TokenBound {
        per_s: 10.0,
        depth: 10.0,
    };
    let mut pool = TokenPool::new(1, start, false);
    let mut ask = |at: Instant, from: &str, has_share: bool, need: u32| {
        let hosts = Some(2);
        let join = TokenRequest {
            group: group_of(CUSTOMER),
            confirms: None,
            leaves: false,
            demands: Vec::new(),
        };
        let reply = pool.handle_request(at, from, has_share, &join, hosts, &|_| Some(bound));
        let TokenReply::Granted { stamp, .. } = reply else {
            panic!("{reply:?}");
        };
        let request = TokenRequest {
            confirms: Some(stamp),
            demands: vec![TokenDemand {
                customer: CUSTOMER.to_owned(),
                held: 0,
                need,
                ahead: 50,
            }],
            ..join
        };
        match pool.handle_request(at, from, has_share, &request, hosts, &|_| Some(bound)) {
            TokenReply::Granted { grants, .. } => grants[0],
            reply => panic!("{reply:?}"),
        }
    };
    let guest = ask(start, "guest", false, 5);
    assert_eq!(guest.needed + guest.ahead, 0, "the pool has no members yet");
    ask(start, "member", true, 0);
    let later = start + Duration::from_secs(2);
    let guest = ask(later, "guest", false, 8);
    // One of two hosts counts, so the pool gains tokens at half the rate, up to half the depth.
    assert_eq!(guest.needed, 5);
    assert_eq!(guest.ahead, 0, "a guest holds no tokens");
}
