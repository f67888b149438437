//! The trial run: a small deployment, the whole path, and a count at its end.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use derive_more::Display;
use serde_json::json;
use steering::Document;
use steering::document::{Edit, Kind, ObjectId, Rule};

use crate::deployment::{Deployment, DeploymentPlan, HostPlan, upstreams_in};
use crate::load::{Load, LoadPlan, LoadReport, run_twice};
use crate::trial_caller::{Reply, TrialCaller};
use crate::upstream::Behaviour;

const ARCHIVE_BYTES: u64 = 200 << 20;
const LOAD_CALLERS: usize = 4;
/// Requests between two steps.
const SOME: u64 = 300;
const PAUSE: Duration = Duration::from_millis(2);
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// What the trial counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(
    "try: {answered} answered, {wrong} wrong, {twice} run twice, {cut} cut, drain {drain_ms} ms"
)]
pub struct TrialReport {
    /// Requests answered by an upstream.
    pub answered: u64,
    /// Answers that were not those of the request, and wrong words on whether it ran.
    pub wrong: u64,
    /// Operations that ran more than once.
    pub twice: u64,
    /// Answers that broke off without a host having been lost.
    pub cut: u64,
    /// Time from the start of the drain to the quiet upstream.
    pub drain_ms: u64,
}

impl TrialReport {
    /// Whether nothing was wrong.
    pub fn is_good(&self) -> bool {
        self.wrong == 0 && self.twice == 0 && self.cut == 0
    }
}

/// The trial's configuration.
pub fn document() -> Document {
    serde_json::from_value(json!({
        "regions": [{"name": "sierra"}, {"name": "costa"}],
        "zones": [
            {"name": "quito-norte", "region": "sierra"},
            {"name": "guayaquil-puerto", "region": "costa"}
        ],
        "links": [{"from": "sierra", "to": "costa", "one_way_ms": 35.0}],
        "services": [
            {"name": "surcos", "ticket_mode": "home", "expected_ms": 8.0, "deadline_ms": 3000},
            {"name": "manifiestos", "ticket_mode": "store", "expected_ms": 8.0, "deadline_ms": 5000}
        ],
        "upstreams": upstreams_in(["quito-norte", "guayaquil-puerto"]),
        "rules": [rule(100.0)],
    }))
    .expect("the document is valid")
}

fn rule(sierra_percent: f64) -> Rule {
    serde_json::from_value(json!({
        "name": "consultations",
        "traffic": {"service": {"equals": {"service": "surcos"}}},
        "places": [
            {"zones": {"equals": {"region": "sierra"}}, "share_percent": sierra_percent},
            {"zones": {"equals": {"region": "costa"}}, "share_percent": 100.0 - sierra_percent,
             "cap_in_flight": 12}
        ]
    }))
    .expect("the rule is valid")
}

/// Runs the trial; `say` is given lines as it goes.
pub fn run(log: &str, say: &mut dyn FnMut(&str)) -> io::Result<TrialReport> {
    let host = |name: &str, zone: &str| HostPlan {
        name: name.to_owned(),
        zone: zone.to_owned(),
    };
    let mut deployment = Deployment::start(DeploymentPlan {
        hosts: vec![
            host("norte-1", "quito-norte"),
            host("norte-2", "quito-norte"),
            host("puerto-1", "guayaquil-puerto"),
        ],
        document: document(),
        behaviour: Behaviour::default(),
        log: log.to_owned(),
        tune: |_| {},
        links: true,
    })?;
    say("3 hosts in 2 zones, 8 upstreams, a platform");
    let load = |tag: &str| {
        let plan = LoadPlan {
            callers: LOAD_CALLERS,
            consultations: 9,
            pause: PAUSE,
            tag: tag.to_owned(),
            ..LoadPlan::default()
        };
        Load::start(deployment.entries(), &plan)
    };
    let mut total = Total::default();
    look_up(&deployment, say);
    let callers = load("whole");
    reserve(&deployment, &mut total, say);
    callers.wait_for(SOME)?;
    shift(&deployment, say)?;
    callers.wait_for(SOME)?;
    let drain_ms = drain(&deployment, &mut total, say)?;
    callers.wait_for(SOME)?;
    total.add(callers.stop());

    let callers = load("lost");
    callers.wait_for(SOME)?;
    let begun = Instant::now();
    deployment.kill("norte-1");
    callers.wait_for(SOME)?;
    say(&format!(
        "host norte-1 lost: {SOME} more requests answered after {} ms",
        begun.elapsed().as_millis()
    ));
    // Connections to the lost host break with it: that is no fault.
    let mut lost = callers.stop();
    say(&format!(
        "{} requests broke off with the host",
        lost.consulted.cut + lost.reserved.cut
    ));
    lost.consulted.cut = 0;
    lost.reserved.cut = 0;
    total.add(lost);

    let operations = deployment.operations();
    let lied = total.report_lies(&operations);
    say(&format!(
        "{} refused, {} operations ran",
        total.refused,
        operations.len()
    ));
    Ok(TrialReport {
        answered: total.answered,
        wrong: total.wrong + lied,
        twice: run_twice(&operations) as u64,
        cut: total.cut,
        drain_ms,
    })
}

/// Sums over all of the trial's requests.
#[derive(Default)]
struct Total {
    answered: u64,
    refused: u64,
    wrong: u64,
    cut: u64,
    reports: Vec<LoadReport>,
}

impl Total {
    fn add(&mut self, report: LoadReport) {
        for fates in [report.consulted, report.reserved] {
            self.answered += fates.answered;
            self.refused += fates.refused;
            self.cut += fates.cut;
        }
        self.wrong += report.wrong;
        self.reports.push(report);
    }

    fn report_lies(&self, operations: &BTreeMap<String, u32>) -> u64 {
        self.reports
            .iter()
            .map(|report| report.lies(operations).len() as u64)
            .sum()
    }
}

fn look_up(deployment: &Deployment, say: &mut dyn FnMut(&str)) {
    let mut caller = TrialCaller::new("surcos", deployment.entries());
    say(&format!("look-up: {:?}", caller.hosts()));
}

fn reserve(deployment: &Deployment, total: &mut Total, say: &mut dyn FnMut(&str)) {
    for service in ["surcos", "manifiestos"] {
        let mut caller = TrialCaller::new(service, deployment.entries());
        let Some((ticket, host)) = caller.ticket() else {
            say(&format!("{service}: no ticket"));
            total.wrong += 1;
            continue;
        };
        let operation = format!("once-{service}");
        let first = caller.post_at(host, "/reservations", &operation, &ticket);
        let again = caller.post_at(host, "/reservations", &operation, &ticket);
        let same = first == again && matches!(first, Reply::Answered(_));
        say(&format!(
            "{service}: reserved with a ticket, sent again: same answer {same}"
        ));
        total.answered += 2 * u64::from(same);
        total.wrong += u64::from(!same);
    }
}

fn shift(deployment: &Deployment, say: &mut dyn FnMut(&str)) -> io::Result<()> {
    let took = deployment.put_in_force("norte-1", Edit::Rule(rule(60.0)))?;
    say(&format!(
        "share of costa moved to 40 percent: in force on every host after {} ms",
        took.as_millis()
    ));
    Ok(())
}

/// Drains an upstream while a download runs on it.
fn drain(deployment: &Deployment, total: &mut Total, say: &mut dyn FnMut(&str)) -> io::Result<u64> {
    let mut caller = TrialCaller::new("manifiestos", deployment.entries());
    let path = format!("/archive?{ARCHIVE_BYTES}");
    let download = thread::spawn(move || caller.download(&path));
    let begun = Instant::now();
    let busy = loop {
        let busy = deployment
            .upstreams
            .iter()
            .find(|(name, upstream)| name.starts_with("manifiestos") && upstream.in_flight() > 0);
        if let Some((name, _)) = busy {
            break name.clone();
        }
        if begun.elapsed() > WAIT_LIMIT {
            return Err(io::Error::other("the download did not start"));
        }
        thread::sleep(PAUSE);
    };
    let begun = Instant::now();
    let object = ObjectId {
        kind: Kind::Upstream,
        name: busy.clone(),
    };
    let labels = [("state".to_owned(), Some("draining".to_owned()))].into();
    let took = deployment.put_in_force("norte-1", Edit::Label { object, labels })?;
    let downloaded = download
        .join()
        .unwrap_or_else(|_| Err("the caller panicked".to_owned()));
    while deployment.upstreams[&busy].in_flight() > 0 {
        thread::sleep(PAUSE);
    }
    let drain_ms = begun.elapsed().as_millis() as u64;
    match &downloaded {
        Ok(ARCHIVE_BYTES) => total.answered += 1,
        _ => total.cut += 1,
    }
    say(&format!(
        "{busy} drained under a download of {} MB: in force after {} ms, quiet after {drain_ms} ms, {downloaded:?} bytes came",
        ARCHIVE_BYTES >> 20,
        took.as_millis()
    ));
    Ok(drain_ms)
}
