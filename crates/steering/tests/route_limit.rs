//! Parts of a limit that an upstream names, over hosts that come, go and can't hear each other.

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

/// How requests find a token.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Each listed host has an equal part, for its own requests.
    EqualParts,
    /// Only the holders send, each from its part.
    HoldersAlone,
    /// All ask the holders.
    Asked,
}

/// What befalls hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// For half of the time no host hears another one of the other half.
    Cut,
    /// A host is killed every second, and starts again half a second later.
    Kills,
    /// A host joins halfway; half of the others know it 2 s later.
    Join,
}

#[derive(Debug, Clone, Copy)]
struct World {
    per_s: f64,
    hosts: usize,
    /// Hosts that have callers.
    with_callers: usize,
    trouble: Trouble,
}

struct Host {
    name: String,
    /// Hosts of the list as it has it.
    listed: Vec<String>,
    tokens: LimitTokens,
    asks: HolderSelector,
    down_until: usize,
}

struct Play {
    hosts: Vec<Host>,
    now: Instant,
    step: usize,
    world: World,
    way: Way,
}

#[derive(Debug)]
struct Outcome {
    most_in_window: usize,
    sent: usize,
}

fn ask(per_s: f64) -> LimitTokenRequest {
    LimitTokenRequest {
        upstream: "i-1".to_owned(),
        zone: "quito-norte".to_owned(),
        started_ms: Some(1),
        per_s,
        age_ms: 0,
        urgency: 1.0,
    }
}

impl Play {
    fn new(world: World, way: Way) -> Self {
        let names: Vec<String> = (0..world.hosts).map(|n| format!("h{n}")).collect();
        let host = |name: &String| Host {
            name: name.clone(),
            listed: names.clone(),
            tokens: LimitTokens::default(),
            asks: HolderSelector::default(),
            down_until: 0,
        };
        let hosts = names.iter().map(host).collect();
        Play {
            hosts,
            now: Instant::now(),
            step: 0,
            world,
            way,
        }
    }

    fn hear_each_other(&self, one: usize, other: usize) -> bool {
        let is_cut = self.world.trouble == Trouble::Cut && (1_000..3_000).contains(&self.step);
        let half = self.hosts.len() / 2;
        !is_cut || (one < half) == (other < half)
    }

    fn befall(&mut self, random: &mut StdRng) {
        let (step, count) = (self.step, self.hosts.len());
        match self.world.trouble {
            Trouble::Kills if step.is_multiple_of(200) => {
                let host = &mut self.hosts[random.random_range(0..count)];
                host.tokens = LimitTokens::default();
                host.asks = HolderSelector::default();
                host.down_until = step + 100;
            }
            Trouble::Join if step == 2_000 || step == 2_400 => {
                // A name that ranks high: it takes a part from another one.
                let name = (0..).map(|n| format!("new{n}"));
                let is_first = |name: &String| {
                    let listed = self.hosts[0].listed.iter().map(String::as_str);
                    holders(START, self.world.per_s, listed.chain([name.as_str()]))[0] == name
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
                        asks: HolderSelector::default(),
                        down_until: 0,
                    });
                }
            }
            _ => {}
        }
    }

    /// What `holder` answers to `asker`; none where it can't be heard.
    fn answer(&mut self, asker: usize, holder: &str) -> Option<LimitReply> {
        let at = self.hosts.iter().position(|host| host.name == holder)?;
        if self.hosts[at].down_until > self.step || !self.hear_each_other(asker, at) {
            return None;
        }
        let asker_name = self.hosts[asker].name.clone();
        let host = &mut self.hosts[at];
        let own = holders(
            START,
            self.world.per_s,
            host.listed.iter().map(String::as_str),
        );
        if !own.contains(&holder) {
            return Some(LimitReply::NotAHolder);
        }
        let (question, terms) = (ask(self.world.per_s), LimitTolerance::default());
        Some(
            host.tokens
                .take(self.now, &asker_name, &question, own.len(), &terms)
                .0,
        )
    }

    /// Whether a request of a host may be sent.
    fn sends(&mut self, asker: usize) -> bool {
        let (question, terms) = (ask(self.world.per_s), LimitTolerance::default());
        let host = &mut self.hosts[asker];
        let listed = host.listed.clone();
        let known = holders(START, self.world.per_s, listed.iter().map(String::as_str));
        let parts = match self.way {
            Way::EqualParts => listed.len(),
            Way::HoldersAlone if known.contains(&host.name.as_str()) => known.len(),
            Way::HoldersAlone => return false,
            Way::Asked => return self.sends_asked(asker, &known),
        };
        let reply = host
            .tokens
            .take(self.now, "own", &question, parts, &terms)
            .0;
        reply == LimitReply::Granted
    }

    fn sends_asked(&mut self, asker: usize, known: &[&str]) -> bool {
        loop {
            let host = &mut self.hosts[asker];
            let next = host.asks.next(self.now, START, known, &host.name);
            let Ok(holder) = next else { return false };
            let reply = self.answer(asker, holder);
            if reply == Some(LimitReply::Granted) {
                return true;
            }
            let asks = &mut self.hosts[asker].asks;
            asks.answered(self.now, START, holder, reply);
        }
    }

    /// Callers want four times what the upstream takes.
    fn run(mut self, seed: u64) -> Outcome {
        let mut random = StdRng::seed_from_u64(seed);
        let wanted = 4.0 * self.world.per_s * STEP.as_secs_f64() / self.world.with_callers as f64;
        let mut sent: VecDeque<usize> = VecDeque::new();
        let mut outcome = Outcome {
            most_in_window: 0,
            sent: 0,
        };
        let window = (LimitTolerance::default().window.as_millis() / STEP.as_millis()) as usize;
        for step in 0..STEPS {
            (self.step, self.now) = (step, self.now + STEP);
            self.befall(&mut random);
            for host in 0..self.world.with_callers {
                let comes = random.random_bool(wanted.min(1.0));
                let is_up = self.hosts[host].down_until <= step;
                if comes && is_up && self.sends(host) {
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

fn allowed(per_s: f64) -> usize {
    let terms = LimitTolerance::default();
    (per_s * terms.window.as_secs_f64() * (1.0 + terms.over_share) + terms.over_requests) as usize
}

/// Share of the limit that was used.
fn used(per_s: f64, outcome: &Outcome) -> f64 {
    outcome.sent as f64 / (per_s * STEP.as_secs_f64() * STEPS as f64)
}

const LIMITS: &[f64] = &[0.5, 1.5, 4.8, 12.0, 50.0];
const SEEDS: u64 = 4;

#[rstest]
#[case::quiet(Trouble::None)]
#[case::a_cut(Trouble::Cut)]
#[case::hosts_are_killed(Trouble::Kills)]
#[case::a_host_joins(Trouble::Join)]
fn the_sum_holds_whatever_befalls_hosts(
    #[case] trouble: Trouble,
    #[values(1, 2, 4, 9, 67)] hosts: usize,
) {
    for &per_s in LIMITS {
        for seed in 0..SEEDS {
            for with_callers in [1, hosts] {
                let world = World {
                    per_s,
                    hosts,
                    with_callers,
                    trouble,
                };
                let outcome = Play::new(world, Way::Asked).run(seed);
                let allowed = allowed(per_s);
                assert!(
                    outcome.most_in_window <= allowed,
                    "{world:?}, seed {seed}: {outcome:?}, {allowed} allowed"
                );
            }
        }
    }
}

#[rstest]
fn what_is_wanted_is_used_whoever_has_the_callers(#[values(1, 2, 4, 9, 67)] hosts: usize) {
    for &per_s in LIMITS {
        for with_callers in [1, hosts] {
            let world = World {
                per_s,
                hosts,
                with_callers,
                trouble: Trouble::None,
            };
            let outcome = Play::new(world, Way::Asked).run(1);
            let share = used(per_s, &outcome);
            assert!(share >= 0.6, "{world:?}: {share} used");
        }
    }
}

/// The ways that were weighed, on the same worlds: docs/decisions/limits-named.md.
#[test]
#[ignore = "prints figures for the decision's page"]
fn ways_compared() {
    for way in [Way::EqualParts, Way::HoldersAlone, Way::Asked] {
        for trouble in [Trouble::None, Trouble::Cut, Trouble::Kills, Trouble::Join] {
            for (hosts, with_callers) in [(4, 4), (4, 1), (9, 9), (9, 1), (67, 67), (67, 1)] {
                let (mut over, mut least) = (0.0_f64, f64::INFINITY);
                let (mut total, mut plays) = (0.0, 0.0);
                for &per_s in LIMITS {
                    for seed in 0..SEEDS {
                        let world = World {
                            per_s,
                            hosts,
                            with_callers,
                            trouble,
                        };
                        let outcome = Play::new(world, way).run(seed);
                        over = over.max(outcome.most_in_window as f64 / allowed(per_s) as f64);
                        let used = used(per_s, &outcome);
                        least = least.min(used);
                        total += used;
                        plays += 1.0;
                    }
                }
                println!(
                    "{way:?} {trouble:?} hosts {hosts} callers {with_callers}: most {over:.2} of \
                     allowed, used {least:.2} at least, {:.2} on the mean",
                    total / plays
                );
            }
        }
    }
}

#[rstest]
fn parts_add_up_to_the_terms_with_one_holder_more(
    #[values(0.25, 0.5, 1.5, 4.8, 50.0, 99_999.0)] per_s: f64,
    #[values(1, 2, 3, 4)] holders: usize,
) {
    assert!(holders <= MAX_HOLDERS);
    let terms = LimitTolerance::default();
    let part = holder_share(per_s, holders, &terms);
    let window_s = terms.window.as_secs_f64();
    let all = (holders + 1) as f64 * (part.depth + part.per_s * window_s);
    let most = per_s * window_s * (1.0 + terms.over_share) + terms.over_requests;
    assert!(all <= most + 1e-6, "{all} of {most}");
    assert!(part.per_s * holders as f64 <= per_s);
    assert!(
        part.depth >= 1.0,
        "a bucket that never holds a token is of no use"
    );
}

#[test]
fn a_part_begins_with_no_token() {
    let (now, terms) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let (reply, change) = tokens.take(now, "h", &ask(4.0), 1, &terms);
    assert!(matches!(reply, LimitReply::Exhausted(_)), "{reply:?}");
    assert!(change.is_some(), "it is told");
    let (reply, change) = tokens.take(now + Duration::from_secs(1), "h", &ask(4.0), 1, &terms);
    assert_eq!(reply, LimitReply::Granted);
    assert_eq!(change, None);
}

#[test]
fn the_limit_that_was_heard_last_holds() {
    let (now, terms) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    tokens.take(now, "h", &ask(4.0), 1, &terms);
    let old = LimitTokenRequest {
        age_ms: 1_000,
        ..ask(50.0)
    };
    let later = now + Duration::from_millis(100);
    assert_eq!(
        tokens.take(later, "h", &old, 1, &terms).1,
        None,
        "it is older"
    );
    let change = tokens.take(later, "h", &ask(2.0), 1, &terms).1;
    assert_eq!(change.unwrap().per_s, 2.0);
}

#[test]
fn who_is_told_to_wait_comes_back_one_after_the_other() {
    let (now, terms) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let mut wait = |asker: &str| match tokens.take(now, asker, &ask(4.0), 1, &terms).0 {
        LimitReply::Exhausted(ms) => ms,
        reply => panic!("{reply:?}"),
    };
    let hosts: Vec<String> = (0..100).map(|n| format!("h{n}")).collect();
    let waits: Vec<u32> = hosts[..4].iter().map(|host| wait(host)).collect();
    let part = holder_share(4.0, 1, &terms);
    let apart_ms = (1_000.0 / part.per_s) as u32;
    for (place, wait) in waits.iter().enumerate() {
        let expected = apart_ms * (place as u32 + 1);
        assert!(wait.abs_diff(expected) <= 4, "{waits:?}");
    }
    assert_eq!(wait("h3"), waits[3], "its own promise is not in its way");
    let endless = hosts.iter().map(|host| wait(host)).max().unwrap();
    assert!(endless <= 5_000, "nobody is told to wait for longer");
}

#[test]
fn the_last_tokens_are_for_the_most_urgent() {
    let (now, terms) = (Instant::now(), LimitTolerance::default());
    let mut tokens = LimitTokens::default();
    let part = holder_share(4.0, 1, &terms);
    tokens.take(now, "h", &ask(4.0), 1, &terms);
    let one_token = now + Duration::from_secs_f64(1.01 / part.per_s);
    let less_urgent = LimitTokenRequest {
        urgency: 0.6,
        ..ask(4.0)
    };
    let reply = tokens.take(one_token, "h", &less_urgent, 1, &terms).0;
    assert!(matches!(reply, LimitReply::Exhausted(_)));
    let reply = tokens.take(one_token, "h", &ask(4.0), 1, &terms).0;
    assert_eq!(reply, LimitReply::Granted);
}

#[test]
fn a_holder_asks_itself_first_and_others_begin_apart() {
    let now = Instant::now();
    let known = ["a", "b", "c", "d"];
    let mut asks = HolderSelector::default();
    assert_eq!(asks.next(now, START, &known, "c"), Ok("c"));
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
fn holders_that_have_no_token_or_are_silent_are_put_off() {
    let now = Instant::now();
    let known = ["a", "b"];
    let mut asks = HolderSelector::default();
    let first = asks.next(now, START, &known, "h").unwrap();
    asks.answered(now, START, first, Some(LimitReply::Exhausted(300)));
    let second = asks.next(now, START, &known, "h").unwrap();
    assert_ne!(first, second);
    asks.answered(now, START, second, None);
    let wait = asks.next(now, START, &known, "h").unwrap_err();
    assert_eq!(wait, Duration::from_millis(300));
    assert!(
        asks.next(now, "i-2 1", &known, "h").is_ok(),
        "of another start"
    );
    let later = now + Duration::from_millis(300);
    assert_eq!(asks.next(later, START, &known, "h"), Ok(first));
    assert!(asks.next(now, START, &[], "h").is_err(), "nobody is listed");
}
