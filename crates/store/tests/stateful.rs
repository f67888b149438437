//! Random sequences of claims, tickets and configuration changes over a store with faults.
//!
//! The results are compared with an oracle, which records only the operations that ran and the
//! changes that were reported as accepted. The environment variable `STAGEDECK_CASES` sets the
//! number of cases.

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
    /// A host receives a request with a key and claims the key.
    Claim {
        host: usize,
        operation: usize,
    },
    /// The host sends a claimed operation to an upstream, which runs it.
    Dispatch {
        host: usize,
        operation: usize,
    },
    /// The upstream sheds a claimed operation, which therefore certainly does not run.
    Shed {
        host: usize,
        operation: usize,
    },
    /// A host receives a ticket with mode `Home` that `home` has issued.
    Ticket {
        home: usize,
        host: usize,
        operation: usize,
    },
    /// A host restarts and loses its state.
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
    /// A host writes its pending receipts to the store.
    Flush(usize),
    /// A host sends its document in a message that will be delayed.
    SendSnapshot(usize),
    /// A delayed message is delivered.
    DeliverSnapshot {
        message: usize,
        to: usize,
    },
}

/// Reference without state: every step is possible at any time.
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
            2 => (0..20_usize, host).prop_map(|(message, to)| Step::DeliverSnapshot { message, to }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// One incarnation of a host.
struct Host {
    name: String,
    incarnation: u64,
    issuer: Issuer,
    spent: SpentTickets,
    /// Claimed operations that were not sent yet, with the attempt that claimed them.
    claimed: BTreeMap<usize, AttemptId>,
    history: History,
    /// Receipts that were not written to the store yet.
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
            claimed: BTreeMap::new(),
            history: History::default(),
            unwritten: Vec::new(),
        }
    }

    fn claims<'a>(&self, platform: &'a FakePlatform) -> ClaimStore<'a> {
        ClaimStore::new(platform, self.name.clone(), self.incarnation)
    }
}

/// Hosts, the store and the state of the oracle.
struct World {
    platform: FakePlatform,
    hosts: Vec<Host>,
    now: Instant,
    /// Oracle: number of times that each operation ran.
    ran: BTreeMap<String, u32>,
    /// Oracle: revisions reported to operators as accepted, with the ids of their changes.
    accepted: BTreeMap<u64, String>,
    /// Issued tickets, by issuing host and operation.
    tickets: BTreeMap<(usize, usize), String>,
    changes: u64,
    attempts: AttemptId,
    /// Snapshots in messages that were not delivered yet.
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

    /// Does what the crate `caller` does for a key: marks the key as spent on the host, then
    /// claims the key in the store.
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
                this.claimed.insert(operation, attempt);
            }
            ClaimOutcome::Failed(_) => {
                this.spent.release(&id(operation));
                self.finish(host, operation, attempt, None);
            }
            ClaimOutcome::Taken(row) => {
                let is_own = row.host == this.name && row.incarnation == this.incarnation;
                if is_own && row.ending.is_none() {
                    this.spent.release(&id(operation));
                    self.finish(host, operation, row.attempt, None);
                    return;
                }
                // The row belongs to an earlier incarnation of this host, which is gone, or to
                // another host, which may be alive.
                let is_gone = row.host == this.name;
                match decide_existing_claim(&row, "f", is_gone) {
                    TicketDecision::Replay(ending) => this.spent.complete(&id(operation), ending),
                    _ => this.spent.release(&id(operation)),
                }
            }
        }
    }

    /// Records the outcome of an operation; a later flush writes the outcome to the store.
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

    /// Does what the crate `caller` does for a home ticket: only the incarnation that issued the
    /// ticket runs the operation.
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
        let outcome = ConfigStore::new(&self.platform).propose(&mut this.history, &proposal);
        if let ProposalOutcome::Accepted(revision) = outcome {
            let previous = self.accepted.insert(revision, change_id);
            assert_eq!(previous, None, "revision {revision} was accepted twice");
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let theirs = self.hosts[to].history.revision();
        let source = self.hosts[from].history.clone();
        let target = &mut self.hosts[to].history;
        match source.entries_after(theirs) {
            Some(entries) => {
                for entry in &entries {
                    target
                        .accept(entry)
                        .expect("entries of a peer follow this history");
                }
            }
            None => {
                target
                    .install(&source.snapshot())
                    .expect("a peer's snapshot is valid");
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
            // An accepted change has the same revision on every host that applied the change.
            for (revision, change) in self.accepted.range(..=after) {
                let known = host.history.find(change).map(|entry| entry.revision);
                assert!(
                    known.is_none_or(|known| known == *revision),
                    "{change} has another revision"
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
                "two hosts have different histories of one revision"
            );
        }
    }
}

struct Deployment;

impl StateMachineTest for Deployment {
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
            Step::Fault(fault) => world.platform.set_fault(fault),
            Step::Claim { host, operation } => world.claim(host, operation),
            Step::Dispatch { host, operation } => {
                if let Some(attempt) = world.hosts[host].claimed.remove(&operation) {
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
                if let Some(attempt) = world.hosts[host].claimed.remove(&operation) {
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
            Step::DeliverSnapshot { message, to } if !world.snapshots.is_empty() => {
                let message = message % world.snapshots.len();
                let snapshot = world.snapshots[message].clone();
                world.hosts[to]
                    .history
                    .install(&snapshot)
                    .expect("the snapshot is valid");
            }
            Step::DeliverSnapshot { .. } => {}
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
    fn no_operation_runs_twice_and_no_revision_reverts(sequential 1..120 => Deployment);
}

#[test]
fn the_first_document_is_empty() {
    assert_eq!(**History::default().document(), Document::default());
}
