//! Allowances that hosts keep together, played with messages that are late or lost, cuts,
//! kills and changes of the limit: no network, no clock.

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
/// Longest wait of a caller for an answer; late ones are not heard.
const CALL_LIMIT: Duration = Duration::from_millis(500);
const CUSTOMER: &str = "huka270";
const WINDOW: Duration = Duration::from_secs(5);
const TERMS: AllowanceTolerance = AllowanceTolerance {
    window: WINDOW,
    over_share: 0.1,
    over_requests: 20.0,
};

struct Host {
    name: String,
    incarnation: u64,
    leases: TokenLeases,
    pool: TokenPool,
    /// The call under way: when it was made, of whom, and what was asked.
    call: Option<(Instant, usize, TokenRequest)>,
    next: Instant,
    /// Down until then.
    down: Option<Instant>,
    /// Side of the cut that it stands on.
    side: usize,
}

enum Message {
    Ask(usize, u64, TokenRequest),
    Reply(usize, u64, TokenReply),
}

struct World {
    now: Instant,
    random: StdRng,
    hosts: Vec<Host>,
    /// Messages under way: when they come, to whom, from whom.
    wire: Vec<(Instant, usize, usize, Message)>,
    /// Until when messages between the sides are held up.
    cut_until: Instant,
    allowance: Allowance,
    runs: VecDeque<Instant>,
    most_runs: usize,
    asks: usize,
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

impl World {
    fn new(hosts: usize, allowance: Allowance, seed: u64) -> World {
        let now = Instant::now();
        World {
            now,
            random: StdRng::seed_from_u64(seed),
            hosts: (0..hosts).map(|n| host(n, now, n as u64, false)).collect(),
            wire: Vec::new(),
            cut_until: now,
            allowance,
            runs: VecDeque::new(),
            most_runs: 0,
            asks: 0,
            refused: 0,
            run: 0,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now < self.cut_until && self.hosts[a].side != self.hosts[b].side
    }

    fn post(&mut self, to: usize, from: usize, message: Message) {
        let mut comes = self.now + Duration::from_millis(self.random.random_range(0..60));
        if self.is_cut(to, from) {
            // Lost, or held up until the cut heals.
            if self.random.random_bool(0.5) {
                return;
            }
            comes = self.cut_until + Duration::from_millis(self.random.random_range(0..60));
        }
        self.wire.push((comes, to, from, message));
    }

    /// Whom a host may ask, the first first: two for all, itself for a cut.
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
        let (due, later): (Vec<_>, Vec<_>) = self.wire.drain(..).partition(|m| m.0 <= now);
        self.wire = later;
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
                self.post(from, to, message);
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
        let bound = TokenBound::new(&self.allowance, &TERMS);
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
                    self.post(number, me, Message::Ask(number, incarnation, ask));
                }
            }
        }
    }

    /// A request of the customer at a host; one that finds no token in time is refused.
    fn request(&mut self, at: usize) {
        if self.hosts[at].down.is_some() {
            return;
        }
        self.asks += 1;
        let host = &mut self.hosts[at];
        match host.leases.take(self.now, CUSTOMER) {
            TakeResult::Taken => self.run(),
            TakeResult::Exhausted(_) => self.refused += 1,
            TakeResult::Wait => {
                // The driver of the test looks again in its next steps.
                host.next = self.now;
            }
        }
    }

    /// Looks again for requests that wait.
    fn look_again(&mut self, waiting: &mut Vec<(usize, u64, Instant)>) {
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
        self.most_runs = self.most_runs.max(self.runs.len());
    }

    fn most(&self) -> f64 {
        let Allowance { per_s, burst } = self.allowance;
        (per_s * WINDOW.as_secs_f64() + burst) * (1.0 + TERMS.over_share) + TERMS.over_requests
    }

    /// Plays requests at a rate for a time, spread over hosts by chance.
    fn play(&mut self, per_s: f64, seconds: u64, trouble: impl Fn(&mut World)) {
        let end = self.now + Duration::from_secs(seconds);
        let mut waiting: Vec<(usize, u64, Instant)> = Vec::new();
        let mut due = 0.0;
        while self.now < end {
            trouble(self);
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
            self.look_again(&mut waiting);
        }
    }
}

fn allowance(per_s: f64, burst: f64) -> Allowance {
    Allowance { per_s, burst }
}

/// Kills, cuts and heals by chance, some ten a minute.
fn any_trouble(world: &mut World) {
    if world.random.random_bool(0.002) {
        let count = world.random.random_range(1..=world.hosts.len());
        let down = world.now + Duration::from_millis(world.random.random_range(300..3_000));
        for _ in 0..count {
            let at = world.random.random_range(0..world.hosts.len());
            world.hosts[at].down.get_or_insert(down);
        }
    }
    if world.random.random_bool(0.002) && world.now >= world.cut_until {
        for at in 0..world.hosts.len() {
            world.hosts[at].side = world.random.random_range(0..3);
        }
        let lasts = Duration::from_millis(world.random.random_range(500..9_000));
        world.cut_until = world.now + lasts;
    }
}

#[rstest]
#[case::large(allowance(411.0, 411.0), 9)]
#[case::small(allowance(8.0, 8.0), 9)]
#[case::many_hosts(allowance(40.0, 40.0), 40)]
#[case::no_burst(allowance(100.0, 0.0), 9)]
fn what_runs_never_exceeds_the_allowance(#[case] allowance: Allowance, #[case] hosts: usize) {
    for seed in 0..12 {
        let mut world = World::new(hosts, allowance, seed);
        // Calm, then eight times the usual.
        world.play(allowance.per_s * 0.6, 4, any_trouble);
        world.play(allowance.per_s * 5.0, 30, any_trouble);
        let (runs, most) = (world.most_runs as f64, world.most());
        assert!(runs <= most, "seed {seed}: {runs} of {most} in a window");
        assert!(world.run > 0);
    }
}

#[rstest]
#[case::large(allowance(411.0, 411.0), 9, 0.99)]
#[case::small(allowance(8.0, 8.0), 9, 0.97)]
#[case::large_at_many_hosts(allowance(411.0, 411.0), 60, 0.99)]
#[case::small_at_many_hosts(allowance(8.0, 8.0), 60, 0.95)]
fn what_is_allowed_is_served_while_all_is_calm(
    #[case] allowance: Allowance,
    #[case] hosts: usize,
    #[case] share: f64,
) {
    let mut world = World::new(hosts, allowance, 1);
    world.play(0.0, 6, |_| {});
    world.play(allowance.per_s * 0.63, 20, |_| {});
    let served = world.run as f64 / world.asks as f64;
    assert!(served >= share, "{} of {} served", world.run, world.asks);
}

#[test]
fn beyond_the_allowance_most_of_it_is_served() {
    let allowance = allowance(100.0, 100.0);
    let mut world = World::new(9, allowance, 1);
    world.play(0.0, 6, |_| {});
    world.play(800.0, 20, |_| {});
    let served = world.run as f64 / 20.0;
    assert!(served > 95.0, "{served} a second");
}

#[test]
fn a_side_of_a_cut_goes_on_with_its_part() {
    let allowance = allowance(400.0, 400.0);
    let mut world = World::new(9, allowance, 1);
    world.play(0.0, 6, |_| {});
    for host in 0..9 {
        world.hosts[host].side = usize::from(host < 3);
    }
    world.cut_until = world.now + Duration::from_secs(60);
    world.play(800.0, 10, |_| {});
    let run = world.run;
    world.play(800.0, 10, |_| {});
    let served = (world.run - run) as f64 / 10.0;
    assert!(served > 200.0, "{served} a second");
    assert!(world.most_runs as f64 <= world.most());
}

#[test]
fn a_lowered_allowance_binds_at_once() {
    let mut world = World::new(9, allowance(400.0, 400.0), 1);
    world.play(0.0, 6, |_| {});
    world.play(800.0, 10, |_| {});
    world.allowance = allowance(40.0, 40.0);
    // What is lent is spent within a second.
    world.play(800.0, 1, |_| {});
    world.runs.clear();
    world.most_runs = 0;
    world.play(800.0, 20, |_| {});
    assert!(
        world.most_runs as f64 <= world.most(),
        "{}",
        world.most_runs
    );
}

#[rstest]
#[case::as_stated(allowance(100.0, 100.0))]
#[case::small(allowance(1.0, 1.0))]
#[case::no_burst(allowance(400.0, 0.0))]
#[case::large_burst(allowance(10.0, 1_000.0))]
fn a_bucket_keeps_to_the_allowance_in_a_window(#[case] allowance: Allowance) {
    let exact = AllowanceTolerance::default();
    for terms in [TERMS, exact] {
        let TokenBound { per_s, depth } = TokenBound::new(&allowance, &terms);
        let window_s = terms.window.as_secs_f64();
        let most = (allowance.per_s * window_s + allowance.burst) * (1.0 + terms.over_share);
        // A bucket of less than one token would admit nothing.
        let most = (most + terms.over_requests).max(per_s * window_s + 1.0);
        assert!(per_s * window_s + depth <= most + 1e-9, "{per_s} {depth}");
        assert!(depth >= 1.0 && per_s > 0.0, "{per_s} {depth}");
    }
}

/// A host that others do not count asks a pool like its members: it gets of their parts what
/// its requests wait for, and adds none of its own.
#[test]
fn who_is_not_counted_is_lent_tokens_and_adds_none() {
    let start = Instant::now();
    let bound = TokenBound {
        per_s: 10.0,
        depth: 10.0,
    };
    let mut pool = TokenPool::new(1, start, false);
    let mut ask = |at: Instant, from: &str, counts: bool, need: u32| {
        let hosts = Some(2);
        let join = TokenRequest {
            group: group_of(CUSTOMER),
            confirms: None,
            leaves: false,
            wants: Vec::new(),
        };
        let reply = pool.handle_request(at, from, counts, &join, hosts, &|_| Some(bound));
        let TokenReply::Granted { stamp, .. } = reply else {
            panic!("{reply:?}");
        };
        let want = TokenRequest {
            confirms: Some(stamp),
            wants: vec![TokenDemand {
                customer: CUSTOMER.to_owned(),
                held: 0,
                need,
                ahead: 50,
            }],
            ..join
        };
        match pool.handle_request(at, from, counts, &want, hosts, &|_| Some(bound)) {
            TokenReply::Granted { grants, .. } => grants[0],
            reply => panic!("{reply:?}"),
        }
    };
    let guest = ask(start, "guest", false, 5);
    assert_eq!(guest.needed + guest.ahead, 0, "nobody has a part here");
    ask(start, "member", true, 0);
    let later = start + Duration::from_secs(2);
    let guest = ask(later, "guest", false, 8);
    // One of two hosts counts: half of what has come up since, as deep as half of the whole.
    assert_eq!(guest.needed, 5);
    assert_eq!(guest.ahead, 0, "it holds none");
}
