//! Rates, escrow and rosters compared with a simple oracle.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use steering::limiter::{Escrow, LOAN_LAPSE, LoanGrant, LoanRequest, RateCounter, Roster};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_rate_is_not_exceeded_in_any_second() {
    let start = Instant::now();
    let mut rate = RateCounter::new(start);
    rate.allow(start, 10);
    let mut admitted: VecDeque<Instant> = VecDeque::new();
    let mut total = 0;
    for step in 0..20_000 {
        let now = start + step * MS;
        if rate.admit(now) {
            total += 1;
            admitted.push_back(now);
        }
        while admitted
            .front()
            .is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1))
        {
            admitted.pop_front();
        }
        assert!(admitted.len() <= 10);
    }
    assert!(total > 150, "only {total} in 20 s");
}

#[test]
fn a_raised_rate_applies_only_after_a_window() {
    let start = Instant::now();
    let mut rate = RateCounter::new(start);
    rate.allow(start, 5);
    assert!(!rate.admit(start + 500 * MS));
    assert!(rate.admit(start + 1_100 * MS));
    rate.allow(start + 1_200 * MS, 1);
    assert!(!rate.admit(start + 1_300 * MS), "the only unit is used");
}

#[test]
fn shares_of_a_roster_never_exceed_the_whole() {
    let mut roster = Roster::default();
    assert_eq!(roster.take("a", 1, 1_000), Ok(1_000));
    assert_eq!(roster.take("b", 1, 500), Ok(0));
    assert_eq!(roster.give("a", 1, 500), Ok(500));
    assert_eq!(roster.take("b", 1, 500), Ok(500));
    assert!(roster.is_whole());
    assert!(
        roster.take("a", 2, 500).is_err(),
        "an earlier start holds the share"
    );
    roster.free("a", 2);
    assert_eq!(roster.permille("a", 1), 500, "`free` names another start");
    roster.free("a", 1);
    assert_eq!(roster.take("a", 2, 500), Ok(500));
    assert!(roster.is_whole());
    assert_eq!(
        roster.owned_units("a", 2, 5) + roster.owned_units("b", 1, 5),
        4
    );
}

const HOSTS: usize = 3;
const LIMIT: u32 = 12;

/// One start of a host with a share of the limit.
struct Start {
    incarnation: u64,
    escrow: Escrow,
    /// Units in use by requests in flight, counted by the oracle.
    used: u32,
}

impl Start {
    fn new(host: usize, incarnation: u64, owned: u32) -> Self {
        let mut escrow = Escrow::new(host.to_string(), incarnation);
        escrow.set_owned(owned);
        Start {
            incarnation,
            escrow,
            used: 0,
        }
    }
}

/// Hosts, and all messages in flight.
struct Simulation {
    now: Instant,
    starts: Vec<Start>,
    /// Shares of gone starts that were not taken over yet.
    orphaned: [u32; HOSTS],
    requests: Vec<(usize, usize, LoanRequest)>,
    grants: Vec<(usize, usize, LoanGrant)>,
}

#[derive(Debug, Clone)]
enum Step {
    Use(usize),
    Release(usize),
    Ask {
        from: usize,
        to: usize,
        demand: u32,
    },
    Deliver {
        message: usize,
        keep_copy: bool,
    },
    Lose(usize),
    Wait(u32),
    /// A crash that the platform's host list reports, followed by a new start.
    Restart(usize),
    /// The roster gives the share of a gone start to the new one, if no host holds units of it.
    TakeOver(usize),
}

impl Simulation {
    fn new() -> Self {
        let owned = LIMIT / HOSTS as u32;
        Simulation {
            now: Instant::now(),
            starts: (0..HOSTS).map(|host| Start::new(host, 1, owned)).collect(),
            orphaned: [0; HOSTS],
            requests: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Use(host) => {
                let start = &mut self.starts[host];
                if start.used < start.escrow.available(self.now) {
                    start.used += 1;
                }
            }
            Step::Release(host) => {
                self.starts[host].used = self.starts[host].used.saturating_sub(1);
            }
            Step::Ask { from, to, demand } if from != to => {
                let Start { escrow, used, .. } = &mut self.starts[from];
                let keep = used.saturating_sub(escrow.own());
                let request = escrow.request(self.now, &to.to_string(), keep, demand);
                self.requests.push((from, to, request));
            }
            Step::Ask { .. } => {}
            Step::Deliver { message, keep_copy } => self.deliver(message, keep_copy),
            Step::Lose(message) if !self.requests.is_empty() => {
                self.requests.remove(message % self.requests.len());
            }
            Step::Lose(_) => {}
            Step::Wait(ms) => self.now += ms * MS,
            Step::Restart(host) => self.restart(host),
            Step::TakeOver(host) => self.take_over(host),
        }
    }

    fn restart(&mut self, host: usize) {
        let gone = &self.starts[host];
        let incarnation = gone.incarnation;
        self.orphaned[host] += gone.escrow.own() + gone.escrow.lent();
        self.starts[host] = Start::new(host, incarnation + 1, 0);
        for other in 0..HOSTS {
            self.starts[other]
                .escrow
                .confirm_gone(&host.to_string(), incarnation);
        }
        self.now += LOAN_LAPSE;
    }

    fn take_over(&mut self, host: usize) {
        let name = host.to_string();
        for start in &mut self.starts {
            start.escrow.settle(self.now, start.used);
        }
        let held = |start: &Start| start.escrow.lenders().any(|lender| *lender == name);
        if !self.starts.iter().any(held) {
            let share = std::mem::take(&mut self.orphaned[host]);
            let escrow = &mut self.starts[host].escrow;
            let owned = escrow.own() + escrow.lent() + share;
            escrow.set_owned(owned);
        }
    }

    fn deliver(&mut self, message: usize, keep_copy: bool) {
        let count = self.requests.len() + self.grants.len();
        if count == 0 {
            return;
        }
        let message = message % count;
        if message < self.requests.len() {
            let (from, to, request) = match keep_copy {
                true => self.requests[message].clone(),
                false => self.requests.remove(message),
            };
            let Start { escrow, used, .. } = &mut self.starts[to];
            let spare = escrow.available(self.now).saturating_sub(*used);
            if let Some(grant) = escrow.lend(&request, spare) {
                self.grants.push((from, to, grant));
            }
        } else {
            let message = message - self.requests.len();
            let (from, to, grant) = match keep_copy {
                true => self.grants[message].clone(),
                false => self.grants.remove(message),
            };
            self.starts[from].escrow.take(&to.to_string(), &grant);
        }
    }

    fn used(&self) -> u32 {
        self.starts.iter().map(|start| start.used).sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    prop_oneof![
        8 => host().prop_map(Step::Use),
        3 => host().prop_map(Step::Release),
        5 => (host(), host(), 0..8_u32).prop_map(|(from, to, demand)| Step::Ask { from, to, demand }),
        8 => (0..100_usize, prop::bool::weighted(0.2))
            .prop_map(|(message, keep_copy)| Step::Deliver { message, keep_copy }),
        1 => (0..100_usize).prop_map(Step::Lose),
        1 => (0..5_000_u32).prop_map(Step::Wait),
        1 => host().prop_map(Step::Restart),
        2 => host().prop_map(Step::TakeOver),
    ]
}

/// Number of cases; set by `STAGEDECK_CASES`.
fn cases() -> u32 {
    std::env::var("STAGEDECK_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(500)
}

#[test]
fn units_in_use_never_exceed_the_limit() {
    let config = ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        ..Default::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = prop::collection::vec(step(), 1..250);
    let result = runner.run(&histories, |steps| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            prop_assert!(
                simulation.used() <= LIMIT,
                "{} of {LIMIT} after {step:?}",
                simulation.used()
            );
        }
        Ok(())
    });
    result.unwrap();
}
