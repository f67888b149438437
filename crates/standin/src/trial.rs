//! The trial run: a small deployment, the whole path, and a count at its end.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde_json::json;
use steering::Document;
use steering::document::{Edit, Kind, ObjectId, Rule};

use crate::deployment::{Deployment, DeploymentPlan, HostPlan};
use crate::trial_caller::{Reply, TrialCaller};
use crate::upstream::Behaviour;

const ARCHIVE_BYTES: u64 = 200 << 20;
const LOAD_THREADS: usize = 4;
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

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    wrong: AtomicU64,
    cut: AtomicU64,
    /// While true, broken connections are the lost host's doing.
    host_lost: AtomicBool,
    /// Operations of which a caller was told that they did not run.
    told_not_run: Mutex<Vec<String>>,
}

impl Counts {
    fn take(&self, reply: &Reply, path: &str, operation: Option<&str>) {
        match reply {
            Reply::Answered(echo) => {
                let same_path = echo["path"] == path;
                let same_operation = operation.is_none_or(|id| echo["operation"] == id);
                let counter = if same_path && same_operation {
                    &self.answered
                } else {
                    &self.wrong
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
            Reply::Refused { not_run, .. } => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                if let Some(operation) = operation.filter(|_| not_run == "true") {
                    let mut told = self
                        .told_not_run
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner);
                    told.push(operation.to_owned());
                }
            }
            Reply::Cut(_) if self.host_lost.load(Ordering::Acquire) => {}
            Reply::Cut(_) => {
                self.cut.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// The trial's configuration.
pub fn document() -> Document {
    let mut upstreams = Vec::new();
    for (service, slots) in [("surcos", 9), ("manifiestos", 3)] {
        for zone in ["quito-norte", "guayaquil-puerto"] {
            for number in 1..=2 {
                upstreams.push(json!({
                    "name": format!("{service}-{zone}-{number}"),
                    "service": service,
                    "zone": zone,
                    "address": format!("127.0.0.1:{}", upstreams.len() + 1),
                    "slots": slots,
                }));
            }
        }
    }
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
        "upstreams": upstreams,
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
    })?;
    say("3 hosts in 2 zones, 8 upstreams, a platform");
    let counts = Arc::new(Counts::default());
    let over = Arc::new(AtomicBool::new(false));
    let load = start_load(&deployment.entries(), &counts, &over);

    look_up(&deployment, say);
    reserve(&deployment, &counts, say);
    serve_some(&counts);
    shift(&deployment, say)?;
    serve_some(&counts);
    let drain_ms = drain(&deployment, &counts, say)?;
    lose_host(&mut deployment, &counts, say);

    over.store(true, Ordering::Release);
    for thread in load {
        let _ = thread.join();
    }
    let operations = deployment.operations();
    let twice = operations.values().filter(|times| **times > 1).count() as u64;
    let told = counts
        .told_not_run
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let lied = told
        .iter()
        .filter(|id| operations.contains_key(*id))
        .count() as u64;
    let refused = counts.refused.load(Ordering::Acquire);
    say(&format!(
        "{refused} refused, {} operations ran",
        operations.len()
    ));
    Ok(TrialReport {
        answered: counts.answered.load(Ordering::Acquire),
        wrong: counts.wrong.load(Ordering::Acquire) + lied,
        twice,
        cut: counts.cut.load(Ordering::Acquire),
        drain_ms,
    })
}

/// Consultations and reservations from several callers until `over`.
fn start_load(
    entries: &[SocketAddr],
    counts: &Arc<Counts>,
    over: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |number: usize| {
        let (counts, over) = (Arc::clone(counts), Arc::clone(over));
        let mut caller = TrialCaller::new("surcos", entries.to_vec());
        thread::spawn(move || {
            let mut round = 0;
            while !over.load(Ordering::Acquire) {
                round += 1;
                let path = format!("/paths/{number}/{round}");
                counts.take(&caller.get(&path), &path, None);
                if round % 10 == 0 {
                    let operation = format!("load-{number}-{round}");
                    reserve_once(&mut caller, &counts, &operation);
                }
                thread::sleep(PAUSE);
            }
        })
    };
    (0..LOAD_THREADS).map(start).collect()
}

fn reserve_once(caller: &mut TrialCaller, counts: &Counts, operation: &str) -> Option<Reply> {
    let (ticket, host) = caller.ticket()?;
    let path = "/reservations";
    let reply = caller.post_at(host, path, operation, &ticket);
    counts.take(&reply, path, Some(operation));
    Some(reply)
}

fn look_up(deployment: &Deployment, say: &mut dyn FnMut(&str)) {
    let mut caller = TrialCaller::new("surcos", deployment.entries());
    say(&format!("look-up: {:?}", caller.hosts()));
}

fn reserve(deployment: &Deployment, counts: &Counts, say: &mut dyn FnMut(&str)) {
    for service in ["surcos", "manifiestos"] {
        let mut caller = TrialCaller::new(service, deployment.entries());
        let Some((ticket, host)) = caller.ticket() else {
            say(&format!("{service}: no ticket"));
            counts.wrong.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let operation = format!("once-{service}");
        let first = caller.post_at(host, "/reservations", &operation, &ticket);
        let again = caller.post_at(host, "/reservations", &operation, &ticket);
        counts.take(&first, "/reservations", Some(&operation));
        counts.take(&again, "/reservations", Some(&operation));
        let same = first == again;
        say(&format!(
            "{service}: reserved with a ticket, sent again: same answer {same}"
        ));
        if !same {
            counts.wrong.fetch_add(1, Ordering::Relaxed);
        }
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
fn drain(
    deployment: &Deployment,
    counts: &Arc<Counts>,
    say: &mut dyn FnMut(&str),
) -> io::Result<u64> {
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
        Ok(ARCHIVE_BYTES) => {
            counts.answered.fetch_add(1, Ordering::Relaxed);
        }
        _ => {
            counts.cut.fetch_add(1, Ordering::Relaxed);
        }
    }
    say(&format!(
        "{busy} drained under a download of {} MB: in force after {} ms, quiet after {drain_ms} ms, {downloaded:?} bytes came",
        ARCHIVE_BYTES >> 20,
        took.as_millis()
    ));
    Ok(drain_ms)
}

/// Waits until some more requests have been answered.
fn serve_some(counts: &Counts) {
    let before = counts.answered.load(Ordering::Acquire);
    let begun = Instant::now();
    while counts.answered.load(Ordering::Acquire) < before + SOME && begun.elapsed() < WAIT_LIMIT {
        thread::sleep(PAUSE);
    }
}

fn lose_host(deployment: &mut Deployment, counts: &Counts, say: &mut dyn FnMut(&str)) {
    counts.host_lost.store(true, Ordering::Release);
    deployment.kill("norte-1");
    let begun = Instant::now();
    serve_some(counts);
    say(&format!(
        "host norte-1 lost: {SOME} more requests answered after {} ms",
        begun.elapsed().as_millis()
    ));
}
