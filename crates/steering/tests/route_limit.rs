//! Shares of an upstream's limit, simulated over hosts that come, go and are cut off.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use steering::route::{
    HolderSelector, LimitReply, LimitTokenRequest, LimitTokens, LimitTolerance, MAX_HOLDERS,
    holder_share, holders,
};

const STEP: Duration = Duration::from_millis(5);
const STEPS: usize = 4_000;
const START: &str = "i-1 1";

/// How requests obtain a token.
#[derive(Debug, Clone, Copy, PartialEq)]
enum TokenSource {
    /// Each listed host has an equal share, for its own requests.
    EqualParts,
    /// Only the holders send requests, each from its share.
    HoldersAlone,
    /// All hosts ask the holders.
    Asked,
}

/// Disturbances during the simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disturbance {
    None,
    /// For half of the time the two halves of the hosts cannot reach each other.
    Cut,
    /// Every second a host is killed; it starts again half a second later.
    Kills,
    /// A host joins halfway; half of the others learn of it 2 s later.
    Join,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    per_s: f64,
    hosts: usize,
    /// Number of hosts that receive requests from callers.
    with_callers: usize,
    disturbance: Disturbance,
}

struct Host {
    name: String,
    /// The host list as this host knows it.
    listed: Vec<String>,
    tokens: LimitTokens,
    selector: HolderSelector,
    down_until: usize,
}

struct Simulation {
    hosts: Vec<Host>,
    now: Instant,
    step: usize,
    scenario: Scenario,
    source: TokenSource,
}

#[derive(Debug)]
struct Outcome {
    most_in_window: usize,
    sent: usize,
}

fn token_request(per_s: f64) -> LimitTokenRequest {
    LimitTokenRequest {
        upstream: "i-1".to_owned(),
        zone: "quito-norte".to_owned(),
        started_ms: Some(1),
        per_s,
        age_ms: 0,
        urgency: 1.0,
    }
}

impl Simulation {
    fn new(scenario: Scenario, source: TokenSource) -> Self {
        let names: Vec<String> = (0..scenario.hosts).map(|n| format!("h{n}")).collect();
        let host = |name: &String| Host {
            name: name.clone(),
            listed: names.clone(),
            tokens: LimitTokens::default(),
            selector: HolderSelector::default(),
            down_until: 0,
        };
        let hosts = names.iter().map(host).collect();
        Simulation {
            hosts,
            now: Instant::now(),
            step: 0,
            scenario,
            source,
        }
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        let is_cut =
            self.scenario.disturbance == Disturbance::Cut && (1_000..3_000).contains(&self.step);
        let half = self.hosts.len() / 2;
        !is_cut || (one < half) == (other < half)
    }

    fn disturb(&mut self, random: &mut StdRng) {
        let (step, count) = (self.step, self.hosts.len());
        match self.scenario.disturbance {
            Disturbance::Kills if step.is_multiple_of(200) => {
                let host = &mut self.hosts[random.random_range(0..count)];
                host.tokens = LimitTokens::default();
                host.selector = HolderSelector::default();
                host.down_until = step + 100;
            }
            Disturbance::Join if step == 2_000 || step == 2_400 => {
                // A name that ranks first, so that the new host takes over a share.
                let name = (0..).map(|n| format!("new{n}"));
                let is_first = |name: &String| {
                    let listed = self.hosts[0].listed.iter().map(String::as_str);
                    holders(START, self.scenario.per_s, listed.chain([name.as_str()]))[0] == name
                };
                let name = match step {
                    2_000 => name.clone().find(is_first).unwrap(),
                    _ => self.hosts[count - 1].name.clone(),
                };
                let (from, to) = if step == 2_000 {
                    (0, count / 2)
                } else {
                    (count / 2, count - 1)
                };
                for host in &mut self.hosts[from..to] {
                    host.listed.push(name.clone());
                }
                if step == 2_000 {
                    let listed = self.hosts[0].listed.clone();
                    self.hosts.push(Host {
                        name,
                        listed,
                        tokens: LimitTokens::default(),
                        selector: HolderSelector::default(),
                        down_until: 0,
                    });
                }
            }
            _ => {}
        }
    }

    /// The reply of `holder` to `asker`; `None` if it cannot be reached.
    fn answer(&mut self, asker: usize, holder: &str) -> Option<LimitReply> {
        let at = self.hosts.iter().position(|host| host.name == holder)?;
        if self.hosts[at].down_until > self.step || !self.can_reach(asker, at) {
            return None;
        }
        let asker_name = self.hosts[asker].name.clone();
        let host = &mut self.hosts[at];
        let own = holders(
            START,
            self.scenario.per_s,
            host.listed.iter().map(String::as_str),
        );
        if !own.contains(&holder) {
            return Some(LimitReply::NotAHolder);
        }
        let (request, tolerance) = (
            token_request(self.scenario.per_s),
            LimitTolerance::default(),
        );
        Some(
            host.tokens
                .take(self.now, &asker_name, &request, own.len(), &tolerance)
                .0,
        )
    }

    /// Whether a host obtains a token for a request.
    fn obtains_token(&mut self, asker: usize) -> bool {
        let (request, tolerance) = (
            token_request(self.scenario.per_s),
            LimitTolerance::default(),
        );
        let host = &mut self.hosts[asker];
        let listed = host.listed.clone();
        let known = holders(
            START,
            self.scenario.per_s,
            listed.iter().map(String::as_str),
        );
        let holders = match self.source {
            TokenSource::EqualParts => listed.len(),
            TokenSource::HoldersAlone if known.contains(&host.name.as_str()) => known.len(),
            TokenSource::HoldersAlone => return false,
            TokenSource::Asked => return self.obtains_token_from_holders(asker, &known),
        };
        let reply = host
            .tokens
            .take(self.now, "own", &request, holders, &tolerance)
            .0;
        reply == LimitReply::Granted
    }

    fn obtains_token_from_holders(&mut self, asker: usize, known: &[&str]) -> bool {
        loop {
            let host = &mut self.hosts[asker];
            let next = host.selector.next(self.now, START, known, &host.name);
            let Ok(holder) = next else { return false };
            let reply = self.answer(asker, holder);
            if reply == Some(LimitReply::Granted) {
                return true;
            }
            let selector = &mut self.hosts[asker].selector;
            selector.answered(self.now, START, holder, reply);
        }
    }

    /// Runs the simulation with requests at four times the upstream's limit.
    fn run(mut self, seed: u64) -> Outcome {
        let mut random = StdRng::seed_from_u64(seed);
        let wanted =
            4.0 * self.scenario.per_s * STEP.as_secs_f64() / self.scenario.with_callers as f64;
        let mut sent: VecDeque<usize> = VecDeque::new();
        let mut outcome = Outcome {
            most_in_window: 0,
            sent: 0,
        };
        let window = (LimitTolerance::default().window.as_millis() / STEP.as_millis()) as usize;
        for step in 0..STEPS {
            (self.step, self.now) = (step, self.now + STEP);
            self.disturb(&mut random);
            for host in 0..self.scenario.with_callers {
                let arrives = random.random_bool(wanted.min(1.0));
                let is_up = self.hosts[host].down_until <= step;
                if arrives && is_up && self.obtains_token(host) {
                    sent.push_back(step);
                    outcome.sent += 1;
                }
            }
            while sent.front().is_some_and(|at| at + window <= step) {
                sent.pop_front();
            }
            outcome.most_in_window = outcome.most_in_window.max(sent.len());
        }
        outcome
    }
}

fn max_in_window(per_s: f64) -> usize {
    let tolerance = LimitTolerance::default();
    (per_s * tolerance.window.as_secs_f64() * (1.0 + tolerance.over_share)
        + tolerance.over_requests) as usize
}

/// Fraction of the limit that was used.
fn used(per_s: f64, outcome: &Outcome) -> f64 {
    outcome.sent as f64 / (per_s * STEP.as_secs_f64() * STEPS as f64)
}

const LIMITS: &[f64] = &[0.5, 1.5, 4.8, 12.0, 50.0];
const SEEDS: u64 = 4;

#[rstest]
#[case::quiet(Disturbance::None)]
#[case::a_cut(Disturbance::Cut)]
#[case::hosts_are_killed(Disturbance::Kills)]
#[case::a_host_joins(Disturbance::Join)]
fn the_sum_stays_within_the_tolerance_under_disturbances(
    #[case] disturbance: Disturbance,
    #[values(1, 2, 4, 9, 67)] hosts: usize,
) {
    for &per_s in LIMITS {
        for seed in 0..SEEDS {
            for with_callers in [1, hosts] {
                let scenario = Scenario {
                    per_s,
                    hosts,
                    with_callers,
                    disturbance,
                };
                let outcome = Simulation::new(scenario, TokenSource::Asked).run(seed);
                let allowed = max_in_window(per_s);
                assert!(
                    outcome.most_in_window <= allowed,
                    "{scenario:?}, seed {seed}: {outcome:?}, {allowed} allowed"
                );
            }
        }
    }
}

#[rstest]
fn most_of_the_limit_is_used_wherever_requests_arrive(#[values(1, 2, 4, 9, 67)] hosts: usize) {
    for &per_s in LIMITS {
        for with_callers in [1, hosts] {
            let scenario = Scenario {
                per_s,
                hosts,
                with_callers,
                disturbance: Disturbance::None,
            };
            let outcome = Simulation::new(scenario, TokenSource::Asked).run(1);
            let share = used(per_s, &outcome);
            assert!(share >= 0.6, "{scenario:?}: {share} used");
        }
    }
}

/// Prints the figures that compare the ways to obtain tokens. See docs/decisions/limits-named.md.
#[test]
#[ignore = "prints figures for the decision's page"]
fn compare_token_sources() {
    for source in [
        TokenSource::EqualParts,
        TokenSource::HoldersAlone,
        TokenSource::Asked,
    ] {
        for disturbance in [
            Disturbance::None,
            Disturbance::Cut,
            Disturbance::Kills,
            Disturbance::Join,
        ] {
            for (hosts, with_callers) in [(4, 4), (4, 1), (9, 9), (9, 1), (67, 67), (67, 1)] {
                let (mut over, mut least) = (0.0_f64, f64::INFINITY);
                let (mut total, mut runs) = (0.0, 0.0);
                for &per_s in LIMITS {
                    for seed in 0..SEEDS {
                        let scenario = Scenario {
                            per_s,
                            hosts,
                            with_callers,
                            disturbance,
                        };
                        let outcome = Simulation::new(scenario, source).run(seed);
                        over =
                            over.max(outcome.most_in_window as f64 / max_in_window(per_s) as f64);
                        let used = used(per_s, &outcome);
                        least = least.min(used);
                        total += used;
                        runs += 1.0;
                    }
                }
                println!(
                    "{source:?} {disturbance:?} hosts {hosts} callers {with_callers}: most {over:.2} of \
                     allowed, used {least:.2} at least, {:.2} on the mean",
                    total / runs
                );
            }
        }
    }
}

#[rstest]
fn shares_stay_within_the_tolerance_with_one_more_holder(
    #[values(0.25, 0.5, 1.5, 4.8, 50.0, 99_999.0)] per_s: f64,
    #[values(1, 2, 3, 4)] holders: usize,
) {
    assert!(holders <= MAX_HOLDERS);
    let tolerance = LimitTolerance::default();
    let share = holder_share(per_s, holders, &tolerance);
    let window_s = tolerance.window.as_secs_f64();
    let all = (holders + 1) as f64 * (share.depth + share.per_s * window_s);
    let most = per_s * window_s * (1.0 + tolerance.over_share) + tolerance.over_requests;
    assert!(all <= most + 1e-6, "{all} of {most}");
    assert!(share.per_s * holders as f64 <= per_s);
    assert!(
        share.depth >= 1.0,
        "a bucket that never holds a token would admit nothing"
    );
}

#[test]
fn a_share_starts_without_tokens() {
    let (now, tolerance) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let (reply, change) = tokens.take(now, "h", &token_request(4.0), 1, &tolerance);
    assert!(matches!(reply, LimitReply::Exhausted(_)), "{reply:?}");
    assert!(change.is_some(), "the new share is returned");
    let (reply, change) = tokens.take(
        now + Duration::from_secs(1),
        "h",
        &token_request(4.0),
        1,
        &tolerance,
    );
    assert_eq!(reply, LimitReply::Granted);
    assert_eq!(change, None);
}

#[test]
fn the_most_recently_received_limit_applies() {
    let (now, tolerance) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    tokens.take(now, "h", &token_request(4.0), 1, &tolerance);
    let old = LimitTokenRequest {
        age_ms: 1_000,
        ..token_request(50.0)
    };
    let later = now + Duration::from_millis(100);
    assert_eq!(
        tokens.take(later, "h", &old, 1, &tolerance).1,
        None,
        "the received limit is older"
    );
    let change = tokens
        .take(later, "h", &token_request(2.0), 1, &tolerance)
        .1;
    assert_eq!(change.unwrap().per_s, 2.0);
}

#[test]
fn waiting_hosts_return_one_after_the_other() {
    let (now, tolerance) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let mut wait = |asker: &str| match tokens
        .take(now, asker, &token_request(4.0), 1, &tolerance)
        .0
    {
        LimitReply::Exhausted(ms) => ms,
        reply => panic!("{reply:?}"),
    };
    let hosts: Vec<String> = (0..100).map(|n| format!("h{n}")).collect();
    let waits: Vec<u32> = hosts[..4].iter().map(|host| wait(host)).collect();
    let share = holder_share(4.0, 1, &tolerance);
    let apart_ms = (1_000.0 / share.per_s) as u32;
    for (position, wait) in waits.iter().enumerate() {
        let expected = apart_ms * (position as u32 + 1);
        assert!(wait.abs_diff(expected) <= 4, "{waits:?}");
    }
    assert_eq!(
        wait("h3"),
        waits[3],
        "a host's own promise does not delay the host"
    );
    let longest = hosts.iter().map(|host| wait(host)).max().unwrap();
    assert!(longest <= 5_000, "nobody is told to wait for longer");
}

#[test]
fn the_last_tokens_are_reserved_for_the_most_urgent() {
    let (now, tolerance) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let share = holder_share(4.0, 1, &tolerance);
    tokens.take(now, "h", &token_request(4.0), 1, &tolerance);
    let one_token = now + Duration::from_secs_f64(1.01 / share.per_s);
    let less_urgent = LimitTokenRequest {
        urgency: 0.6,
        ..token_request(4.0)
    };
    let reply = tokens.take(one_token, "h", &less_urgent, 1, &tolerance).0;
    assert!(matches!(reply, LimitReply::Exhausted(_)));
    let reply = tokens
        .take(one_token, "h", &token_request(4.0), 1, &tolerance)
        .0;
    assert_eq!(reply, LimitReply::Granted);
}

#[test]
fn a_holder_asks_itself_first_and_others_start_at_different_holders() {
    let now = Instant::now();
    let known = ["a", "b", "c", "d"];
    let mut selector = HolderSelector::default();
    assert_eq!(selector.next(now, START, &known, "c"), Ok("c"));
    let first = |me: &str| {
        HolderSelector::default()
            .next(now, START, &known, me)
            .unwrap()
    };
    let firsts: std::collections::BTreeSet<&str> =
        (0..40).map(|n| first(&format!("h{n}"))).collect();
    assert_eq!(firsts.len(), known.len());
}

#[test]
fn holders_without_tokens_or_replies_are_skipped() {
    let now = Instant::now();
    let known = ["a", "b"];
    let mut selector = HolderSelector::default();
    let first = selector.next(now, START, &known, "h").unwrap();
    selector.answered(now, START, first, Some(LimitReply::Exhausted(300)));
    let second = selector.next(now, START, &known, "h").unwrap();
    assert_ne!(first, second);
    selector.answered(now, START, second, None);
    let wait = selector.next(now, START, &known, "h").unwrap_err();
    assert_eq!(wait, Duration::from_millis(300));
    assert!(
        selector.next(now, "i-2 1", &known, "h").is_ok(),
        "the holder is skipped only for the first upstream start"
    );
    let later = now + Duration::from_millis(300);
    assert_eq!(selector.next(later, START, &known, "h"), Ok(first));
    assert!(
        selector.next(now, START, &[], "h").is_err(),
        "nobody is listed"
    );
}
