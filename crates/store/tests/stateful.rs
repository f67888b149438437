//! Random histories of claims and configurations over a store that fails,
//! against an oracle that knows only what ran, what was told, and what was
//! accepted. More cases with `STAGEDECK_CASES`.

mod fake;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fake::{FakePlatform, StoreFault};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::StdRng;
use steering::Document;
use steering::claim::{
    AttemptId, ClaimOutcome, Receipt, SpentLimits, SpentTickets, TicketDecision, WorkOutcome,
    decide_existing_claim,
};
use steering::document::{Change, Edit, Proposal, ProposalOutcome, Region, TicketMode};
use steering::history::{History, Snapshot};
use steering::ticket::Issuer;
use store::{ClaimRequest, ClaimStore, ConfigStore, ReceiptWrite};

const HOSTS: usize = 3;
const OPERATIONS: usize = 4;
const SERVICE: &str = "s";

#[derive(Debug, Clone)]
enum Step {
    Fault(StoreFault),
    /// A keyed request reaches a host, which claims it.
    Claim {
        host: usize,
        operation: usize,
    },
    /// The host sends what it holds to an upstream, where it runs.
    Dispatch {
        host: usize,
        operation: usize,
    },
    /// The upstream sheds what the host sends: it certainly does not run.
    Shed {
        host: usize,
        operation: usize,
    },
    /// A home ticket of `home` reaches a host.
    Ticket {
        home: usize,
        host: usize,
        operation: usize,
    },
    /// Another start of a host; what it held is gone.
    Restart(usize),
    Propose {
        host: usize,
        region: usize,
    },
    Poll(usize),
    Exchange {
        from: usize,
        to: usize,
    },
    /// Receipts that wait for the store are written.
    Flush(usize),
    /// A host keeps its document in a message that will come late.
    SendSnapshot(usize),
    /// A late message comes.
    TakeSnapshot {
        message: usize,
        to: usize,
    },
}

/// Nothing decides which steps are possible: every one is, at any time.
#[derive(Debug, Clone)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (host, operation) = (0..HOSTS, 0..OPERATIONS);
        let fault = prop_oneof![
            3 => Just(StoreFault::None),
            1 => Just(StoreFault::Down),
            1 => Just(StoreFault::AnswerLost),
        ];
        prop_oneof![
            3 => fault.prop_map(Step::Fault),
            6 => (host.clone(), operation.clone()).prop_map(|(host, operation)| Step::Claim { host, operation }),
            6 => (host.clone(), operation.clone()).prop_map(|(host, operation)| Step::Dispatch { host, operation }),
            2 => (host.clone(), operation.clone()).prop_map(|(host, operation)| Step::Shed { host, operation }),
            4 => (host.clone(), host.clone(), operation)
                .prop_map(|(home, host, operation)| Step::Ticket { home, host, operation }),
            2 => host.clone().prop_map(Step::Restart),
            3 => (host.clone(), 0..3_usize).prop_map(|(host, region)| Step::Propose { host, region }),
            3 => host.clone().prop_map(Step::Poll),
            3 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Exchange { from, to }),
            4 => host.clone().prop_map(Step::Flush),
            1 => host.clone().prop_map(Step::SendSnapshot),
            2 => (0..20_usize, host).prop_map(|(message, to)| Step::TakeSnapshot { message, to }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// One start of a host.
struct Host {
    name: String,
    incarnation: u64,
    issuer: Issuer,
    spent: SpentTickets,
    /// Operations that it has claimed and not yet sent, with the try that did.
    held: BTreeMap<usize, AttemptId>,
    history: History,
    /// Receipts that the store has not taken yet.
    unwritten: Vec<ReceiptWrite>,
}

impl Host {
    fn new(number: usize, incarnation: u64) -> Self {
        let name = format!("h{number}");
        let mut rng = StdRng::seed_from_u64(number as u64 * 1_000 + incarnation);
        Host {
            issuer: Issuer::new(name.clone(), incarnation, &mut rng),
            name,
            incarnation,
            spent: SpentTickets::new(SpentLimits {
                count: 100,
                bytes: 1_000,
            }),
            held: BTreeMap::new(),
            history: History::default(),
            unwritten: Vec::new(),
        }
    }

    fn claims<'a>(&self, platform: &'a FakePlatform) -> ClaimStore<'a> {
        ClaimStore::new(platform, self.name.clone(), self.incarnation)
    }
}

/// Hosts, the store, and the oracle's notes.
struct World {
    platform: FakePlatform,
    hosts: Vec<Host>,
    now: Instant,
    /// The oracle: times that each operation ran.
    ran: BTreeMap<String, u32>,
    /// The oracle: revisions that operators were told of, with their changes.
    accepted: BTreeMap<u64, String>,
    /// Tickets that were issued, by home and operation, with the home's start.
    tickets: BTreeMap<(usize, usize), String>,
    changes: u64,
    attempts: AttemptId,
    /// Snapshots on their way.
    snapshots: Vec<Snapshot>,
}

fn id(operation: usize) -> String {
    format!("op-{operation}")
}

fn receipt() -> Option<WorkOutcome> {
    Some(WorkOutcome::Ran(Receipt {
        status: 200,
        content_type: None,
        body: None,
    }))
}

impl World {
    fn run(&mut self, operation: String) {
        let times = self.ran.entry(operation.clone()).or_default();
        *times += 1;
        assert_eq!(*times, 1, "{operation} ran twice");
    }

    /// As `caller` does for a key: spend here, then claim in the store.
    fn claim(&mut self, host: usize, operation: usize) {
        let (now, lapse) = (self.now, self.now + Duration::from_secs(3_600));
        let spend = self.hosts[host]
            .spent
            .begin(now, &id(operation), "f", lapse);
        if spend != TicketDecision::Run {
            return;
        }
        self.attempts += 1;
        let attempt = self.attempts;
        let request = ClaimRequest {
            id: id(operation),
            attempt,
            fingerprint: "f".to_owned(),
        };
        let outcome = self.hosts[host]
            .claims(&self.platform)
            .claim(&[request])
            .remove(0);
        let this = &mut self.hosts[host];
        match outcome {
            ClaimOutcome::Held => {
                this.held.insert(operation, attempt);
            }
            ClaimOutcome::Failed(_) => {
                this.spent.release(&id(operation));
                self.finish(host, operation, attempt, None);
            }
            ClaimOutcome::Taken(row) => {
                let mine = row.host == this.name && row.incarnation == this.incarnation;
                if mine && row.ending.is_none() {
                    this.spent.release(&id(operation));
                    self.finish(host, operation, row.attempt, None);
                    return;
                }
                // A start of this host that is gone, or another host that may be there.
                let gone = row.host == this.name;
                match decide_existing_claim(&row, "f", gone) {
                    TicketDecision::Replay(ending) => this.spent.complete(&id(operation), ending),
                    _ => this.spent.release(&id(operation)),
                }
            }
        }
    }

    /// Notes how an operation ended; the store is told now or by a later flush.
    fn finish(
        &mut self,
        host: usize,
        operation: usize,
        attempt: AttemptId,
        ending: Option<WorkOutcome>,
    ) {
        self.hosts[host].unwritten.push(ReceiptWrite {
            id: id(operation),
            attempt,
            fingerprint: "f".to_owned(),
            ending,
        });
    }

    fn flush(&mut self, host: usize) {
        let unwritten = self.hosts[host].unwritten.clone();
        if self.hosts[host]
            .claims(&self.platform)
            .finish(&unwritten)
            .is_ok()
        {
            self.hosts[host].unwritten.clear();
        }
    }

    /// As `caller` does for a home ticket: only the start that issued it runs it.
    fn ticket(&mut self, home: usize, host: usize, operation: usize) {
        let mut rng = StdRng::seed_from_u64(operation as u64);
        let issuer = &self.hosts[home].issuer;
        let ticket = self.tickets.entry((home, operation)).or_insert_with(|| {
            issuer.issue(
                SERVICE,
                TicketMode::Home,
                Duration::from_secs(3_600),
                &mut rng,
            )
        });
        let text = ticket.clone();
        let now = Duration::from_secs(1);
        let Ok(ticket) = self.hosts[host].issuer.verify(&text, SERVICE, now) else {
            return;
        };
        let lapse = self.now + Duration::from_secs(3_600);
        let spend = self.hosts[host]
            .spent
            .begin(self.now, &ticket.id, "f", lapse);
        if spend == TicketDecision::Run {
            self.run(format!("ticket-{home}-{operation}"));
            if let Some(ending) = receipt() {
                self.hosts[host].spent.complete(&ticket.id, ending);
            }
        }
    }

    fn propose(&mut self, host: usize, region: usize) {
        self.changes += 1;
        let change_id = format!("c{}", self.changes);
        let labels = [("n".to_owned(), self.changes.to_string())].into();
        let region = Region {
            name: format!("r{region}"),
            labels,
            limit_in_flight: None,
        };
        let change = Change {
            id: change_id.clone(),
            edits: vec![Edit::Region(region)],
        };
        let this = &mut self.hosts[host];
        let base = this.history.revision();
        let proposal = Proposal { change, base };
        let verdict = ConfigStore::new(&self.platform).propose(&mut this.history, &proposal);
        if let ProposalOutcome::Accepted(revision) = verdict {
            let before = self.accepted.insert(revision, change_id);
            assert_eq!(before, None, "revision {revision} was accepted twice");
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let theirs = self.hosts[to].history.revision();
        let source = self.hosts[from].history.clone();
        let target = &mut self.hosts[to].history;
        match source.entries_after(theirs) {
            Some(entries) => {
                for entry in &entries {
                    target.accept(entry).expect("entries of a peer follow");
                }
            }
            None => {
                target
                    .install(&source.snapshot())
                    .expect("a peer's snapshot is whole");
            }
        }
    }

    fn check(&self, before: &[u64]) {
        for (host, before) in self.hosts.iter().zip(before) {
            let after = host.history.revision();
            assert!(
                after >= *before,
                "{} went from revision {before} to {after}",
                host.name
            );
            // What operators were told of is what is in force, on every host.
            for (revision, change) in self.accepted.range(..=after) {
                let known = host.history.find(change).map(|entry| entry.revision);
                assert!(
                    known.is_none_or(|known| known == *revision),
                    "{change} moved"
                );
            }
        }
        let by_revision: BTreeMap<u64, &str> = self
            .hosts
            .iter()
            .map(|host| {
                (
                    host.history.revision(),
                    host.history.position().digest.as_str(),
                )
            })
            .collect();
        for host in &self.hosts {
            let digest = host.history.position().digest.as_str();
            assert_eq!(
                by_revision[&host.history.revision()],
                digest,
                "two histories of one revision"
            );
        }
    }
}

struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World {
            platform: FakePlatform::default(),
            hosts: (0..HOSTS).map(|number| Host::new(number, 1)).collect(),
            now: Instant::now(),
            ran: BTreeMap::new(),
            accepted: BTreeMap::new(),
            tickets: BTreeMap::new(),
            changes: 0,
            attempts: 0,
            snapshots: Vec::new(),
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        let mut before: Vec<u64> = world
            .hosts
            .iter()
            .map(|host| host.history.revision())
            .collect();
        match step {
            Step::Fault(fault) => world.platform.set(fault),
            Step::Claim { host, operation } => world.claim(host, operation),
            Step::Dispatch { host, operation } => {
                if let Some(attempt) = world.hosts[host].held.remove(&operation) {
                    world.run(id(operation));
                    if let Some(ending) = receipt() {
                        world.hosts[host]
                            .spent
                            .complete(&id(operation), ending.clone());
                        world.finish(host, operation, attempt, Some(ending));
                    }
                }
            }
            Step::Shed { host, operation } => {
                if let Some(attempt) = world.hosts[host].held.remove(&operation) {
                    world.hosts[host].spent.release(&id(operation));
                    world.finish(host, operation, attempt, None);
                }
            }
            Step::Ticket {
                home,
                host,
                operation,
            } => world.ticket(home, host, operation),
            Step::Restart(host) => {
                let incarnation = world.hosts[host].incarnation + 1;
                world.hosts[host] = Host::new(host, incarnation);
                before[host] = 0;
            }
            Step::Propose { host, region } => world.propose(host, region),
            Step::Poll(host) => {
                let history = &mut world.hosts[host].history;
                let _ = ConfigStore::new(&world.platform).poll(history);
            }
            Step::Exchange { from, to } => world.exchange(from, to),
            Step::Flush(host) => world.flush(host),
            Step::SendSnapshot(host) => {
                let snapshot = world.hosts[host].history.snapshot();
                world.snapshots.push(snapshot);
            }
            Step::TakeSnapshot { message, to } if !world.snapshots.is_empty() => {
                let message = message % world.snapshots.len();
                let snapshot = world.snapshots[message].clone();
                world.hosts[to]
                    .history
                    .install(&snapshot)
                    .expect("it is whole");
            }
            Step::TakeSnapshot { .. } => {}
        }
        world.check(&before);
        world
    }
}

fn config() -> Config {
    let cases = std::env::var("STAGEDECK_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn nothing_runs_twice_and_nothing_reverts(sequential 1..120 => Machine);
}

#[test]
fn the_first_document_is_empty() {
    assert_eq!(**History::default().document(), Document::default());
}
