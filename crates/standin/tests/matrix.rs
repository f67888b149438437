//! The fault matrix: every fault at every step, alone and in pairs.
//!
//! Each cell brings its faults about, takes its step, heals, and then asks an
//! oracle that knows only what ran, what callers were told and which revisions
//! were accepted. docs/FAULTS.md is this table for people.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rstest::rstest;
use standin::{
    Deployment, DeploymentPlan, Fault, Health, HostPlan, LinkState, PlatformFaults, Reply,
    TrialCaller, eventually, run_twice,
};
use steering::document::{Edit, Kind, ObjectId, ProposalOutcome};

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wrong {
    StoreDown,
    StoreSlow,
    StoreAnswerLost,
    HostKilled,
    ZoneCutOff,
    ZoneCutFromPlatform,
    ReportsStopped,
    HostListLags,
    PeerMessagesLate,
    PeerMessagesLost,
    UpstreamBreaks,
}

/// Every fault, in the order of their pairs.
const ALL: &[Wrong] = &[
    Wrong::StoreDown,
    Wrong::StoreSlow,
    Wrong::StoreAnswerLost,
    Wrong::HostKilled,
    Wrong::ZoneCutOff,
    Wrong::ZoneCutFromPlatform,
    Wrong::ReportsStopped,
    Wrong::HostListLags,
    Wrong::PeerMessagesLate,
    Wrong::PeerMessagesLost,
    Wrong::UpstreamBreaks,
];

/// What is done meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    LookUp,
    Consult,
    HomeTicket,
    StoreTicket,
    OwnKey,
    Download,
    Configuration,
    Drain,
    PlannedStop,
}

const ZONE_HOSTS: &[&str] = &["n1", "n2"];

/// Adds faults of the platform's service; one that is down already stays so.
fn trouble_platform(deployment: &Deployment, fault: Fault, writes_only: bool) {
    deployment.platform.add_faults(|faults| {
        let PlatformFaults {
            reads,
            writes,
            hosts,
            ..
        } = faults;
        let troubled = match writes_only {
            true => vec![writes],
            false => vec![reads, writes, hosts],
        };
        for known in troubled {
            if *known != Fault::Down {
                *known = fault;
            }
        }
    });
}

fn bring_about(deployment: &mut Deployment, wrong: Wrong) {
    match wrong {
        Wrong::StoreDown => trouble_platform(deployment, Fault::Down, false),
        Wrong::StoreSlow => {
            let slow = Fault::Slow(Duration::from_millis(150));
            trouble_platform(deployment, slow, false);
        }
        Wrong::StoreAnswerLost => trouble_platform(deployment, Fault::AnswerLost, true),
        Wrong::HostKilled => deployment.kill("n2"),
        Wrong::ZoneCutOff => {
            for links in deployment.links.values() {
                links.set_hosts(LinkState::Cut);
            }
            deployment.links["p1"].platform.set(LinkState::Cut);
        }
        Wrong::ZoneCutFromPlatform => {
            for host in ZONE_HOSTS {
                if let Some(links) = deployment.links.get(*host) {
                    links.platform.set(LinkState::Cut);
                }
            }
        }
        Wrong::ReportsStopped => {
            for upstream in deployment.upstreams.values() {
                upstream.behave(|behaviour| behaviour.load_lie = -100);
            }
            deployment.upstreams["surcos-norte-1"]
                .behave(|behaviour| behaviour.health = Health::Silent);
        }
        Wrong::HostListLags => deployment.platform.add_faults(|faults| {
            faults.list_lag = Duration::from_secs(3_600);
        }),
        Wrong::PeerMessagesLate => {
            let late = LinkState::Slow(Duration::from_millis(60));
            for link in deployment
                .links
                .values()
                .filter_map(|links| links.peers.as_ref())
            {
                link.set(late);
            }
        }
        Wrong::PeerMessagesLost => {
            for link in deployment
                .links
                .values()
                .filter_map(|links| links.peers.as_ref())
            {
                link.set(LinkState::Cut);
            }
        }
        Wrong::UpstreamBreaks => {
            for name in ["surcos-norte-1", "manifiestos-norte-1"] {
                deployment.upstreams[name].behave(|behaviour| behaviour.drop_after_run = true);
            }
        }
    }
}

fn heal(deployment: &Deployment) {
    deployment.platform.set_faults(PlatformFaults::default());
    for links in deployment.links.values() {
        links.set_hosts(LinkState::Open);
        links.platform.set(LinkState::Open);
    }
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| {
            behaviour.load_lie = 0;
            behaviour.health = Health::Well;
            behaviour.drop_after_run = false;
        });
    }
}

/// What callers and operators were told, for the oracle.
#[derive(Default)]
struct Told {
    wrong: Vec<String>,
    /// Operations called not run although they had run.
    lies: Vec<String>,
    /// Operations whose last answer called them not run.
    last_not_run: BTreeSet<String>,
    accepted: Vec<u64>,
    /// Revisions seen on each host, in the order of looking.
    revisions: BTreeMap<String, Vec<u64>>,
}

impl Told {
    fn reply(
        &mut self,
        deployment: &Deployment,
        reply: &Reply,
        path: &str,
        operation: Option<&str>,
    ) {
        if let Some(operation) = operation {
            self.last_not_run.remove(operation);
        }
        match reply {
            Reply::Answered(echo) => {
                let own =
                    echo["path"] == path && operation.is_none_or(|id| echo["operation"] == id);
                if !own {
                    self.wrong.push(format!("{path}: {echo}"));
                }
            }
            Reply::Refused { not_run, .. } if not_run == "true" => {
                let Some(operation) = operation.map(str::to_owned) else {
                    return;
                };
                if deployment.operations().contains_key(&operation) {
                    self.lies.push(operation.clone());
                }
                self.last_not_run.insert(operation);
            }
            Reply::Refused { .. } | Reply::Cut(_) => {}
        }
    }

    fn look(&mut self, deployment: &Deployment) {
        for host in deployment.hosts.keys() {
            let revision = deployment.revision(host);
            self.revisions
                .entry(host.clone())
                .or_default()
                .push(revision);
        }
    }

    fn check(&self, deployment: &Deployment, cell: &str) {
        let operations = deployment.operations();
        assert_eq!(self.wrong, Vec::<String>::new(), "{cell}: wrong answers");
        assert_eq!(
            run_twice(&operations),
            0,
            "{cell}: run twice: {operations:?}"
        );
        let ran = |id: &&String| operations.contains_key(*id);
        let lies: Vec<&String> = self
            .lies
            .iter()
            .chain(self.last_not_run.iter().filter(ran))
            .collect();
        assert!(lies.is_empty(), "{cell}: told not run, but ran: {lies:?}");
        for (host, revisions) in &self.revisions {
            assert!(
                revisions.is_sorted(),
                "{cell}: {host} reverted: {revisions:?}"
            );
        }
    }
}

fn label(value: &str) -> Edit {
    let object = ObjectId {
        kind: Kind::Zone,
        name: "norte".to_owned(),
    };
    Edit::Label {
        object,
        labels: [("cell".to_owned(), Some(value.to_owned()))].into(),
    }
}

fn drain() -> Edit {
    let object = ObjectId {
        kind: Kind::Upstream,
        name: "surcos-norte-2".to_owned(),
    };
    Edit::Label {
        object,
        labels: [("state".to_owned(), Some("draining".to_owned()))].into(),
    }
}

fn reserve(deployment: &Deployment, service: &str, told: &mut Told) {
    let mut caller = TrialCaller::new(service, deployment.entries());
    for number in 0..3 {
        let Some((ticket, home)) = caller.ticket() else {
            continue;
        };
        let operation = format!("{service}-{number}");
        // Sent to its home and, as after a lost answer, to every other host.
        for host in [home].into_iter().chain(deployment.entries()) {
            let reply = caller.post_at(host, "/reservations", &operation, &ticket);
            told.reply(deployment, &reply, "/reservations", Some(&operation));
        }
    }
}

fn take(deployment: &mut Deployment, step: Step, told: &mut Told) {
    match step {
        Step::LookUp => {
            let mut caller = TrialCaller::new("surcos", deployment.entries());
            assert!(!caller.hosts().is_empty(), "a look-up is always answered");
        }
        Step::Consult => {
            let mut caller = TrialCaller::new("surcos", deployment.entries());
            for number in 0..20 {
                let path = format!("/p/{number}");
                told.reply(deployment, &caller.get(&path), &path, None);
            }
        }
        Step::HomeTicket => reserve(deployment, "surcos", told),
        Step::StoreTicket => reserve(deployment, "manifiestos", told),
        Step::OwnKey => {
            let caller = TrialCaller::new("surcos", Vec::new());
            for host in deployment.entries() {
                let reply = caller.post_keyed(host, "/filings", "keyed", "the-key");
                told.reply(deployment, &reply, "/filings", Some("keyed"));
            }
        }
        Step::Download => {
            let mut caller = TrialCaller::new("surcos", deployment.entries());
            // Whole, or seen to be cut: never a shorter one that looks whole.
            if let Ok(bytes) = caller.download("/archive?5000000") {
                assert_eq!(bytes, 5_000_000);
            }
        }
        Step::Configuration | Step::Drain => {
            let edit = if step == Step::Drain {
                drain()
            } else {
                label("a")
            };
            if let Ok(ProposalOutcome::Accepted(revision)) = deployment.propose("n1", edit) {
                told.accepted.push(revision);
            }
            let _racing = deployment.propose("p1", label("b"));
        }
        Step::PlannedStop => {
            if let Some(host) = deployment.take("p1") {
                let mut caller = TrialCaller::new("surcos", deployment.entries());
                let stopping = std::thread::spawn(move || host.stop());
                for number in 0..20 {
                    let path = format!("/stop/{number}");
                    told.reply(deployment, &caller.get(&path), &path, None);
                }
                stopping.join().unwrap();
            }
        }
    }
}

fn run_cell(faults: &[Wrong], step: Step) {
    let cell = format!("{faults:?} at {step:?}");
    let mut plan = DeploymentPlan::small();
    plan.hosts.push(HostPlan::new("n2", "norte"));
    plan.tune = |config| {
        config.platform_timeout_ms = 500;
        config.ticket_ttl_ms = 1_000;
        config.look_up_ttl_ms = 200;
    };
    let mut deployment = Deployment::start(plan).unwrap();
    let mut told = Told::default();
    for fault in faults {
        bring_about(&mut deployment, *fault);
    }
    told.look(&deployment);
    take(&mut deployment, step, &mut told);
    told.look(&deployment);
    heal(&deployment);
    let highest = told.accepted.iter().max().copied().unwrap_or(1);
    eventually(
        "every host is at least at the last accepted revision",
        || {
            deployment
                .hosts
                .keys()
                .all(|host| deployment.revision(host) >= highest)
        },
    )
    .unwrap_or_else(|error| panic!("{cell}: {error}"));
    told.look(&deployment);
    let mut caller = TrialCaller::new("surcos", deployment.entries());
    eventually("it serves after healing", || {
        matches!(caller.get("/after"), Reply::Answered(_))
    })
    .unwrap_or_else(|error| panic!("{cell}: {error}"));
    told.check(&deployment, &cell);
}

#[rstest]
fn one_fault(
    #[values(
        Wrong::StoreDown,
        Wrong::StoreSlow,
        Wrong::StoreAnswerLost,
        Wrong::HostKilled,
        Wrong::ZoneCutOff,
        Wrong::ZoneCutFromPlatform,
        Wrong::ReportsStopped,
        Wrong::HostListLags,
        Wrong::PeerMessagesLate,
        Wrong::PeerMessagesLost,
        Wrong::UpstreamBreaks
    )]
    wrong: Wrong,
    #[values(
        Step::LookUp,
        Step::Consult,
        Step::HomeTicket,
        Step::StoreTicket,
        Step::OwnKey,
        Step::Download,
        Step::Configuration,
        Step::Drain,
        Step::PlannedStop
    )]
    step: Step,
) {
    run_cell(&[wrong], step);
}

/// Each fault with each that comes after it in the list.
#[rstest]
fn two_faults(
    #[values(
        Wrong::StoreDown,
        Wrong::StoreSlow,
        Wrong::StoreAnswerLost,
        Wrong::HostKilled,
        Wrong::ZoneCutOff,
        Wrong::ZoneCutFromPlatform,
        Wrong::ReportsStopped,
        Wrong::HostListLags,
        Wrong::PeerMessagesLate,
        Wrong::PeerMessagesLost
    )]
    first: Wrong,
    #[values(
        Step::Consult,
        Step::HomeTicket,
        Step::StoreTicket,
        Step::OwnKey,
        Step::Configuration
    )]
    step: Step,
) {
    let after = ALL.iter().skip_while(|wrong| **wrong != first).skip(1);
    for second in after {
        run_cell(&[first, *second], step);
    }
}
