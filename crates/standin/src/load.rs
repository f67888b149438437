//! Callers that consult and reserve until they are stopped, and what they saw.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::deployment::eventually;
use crate::trial_caller::{Reply, TrialCaller};

const RESERVATION_PATH: &str = "/reservations";

/// What the callers do.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// The service.
    pub service: String,
    /// Callers at the same time.
    pub callers: usize,
    /// Consultations for each round; the round ends with a reservation where `reserves`.
    pub consultations: u32,
    /// Whether they reserve, with tickets.
    pub reserves: bool,
    /// Time between two requests of a caller.
    pub pause: Duration,
    /// Part of the operations' identities, so that those of two loads differ.
    pub tag: String,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            service: "surcos".to_owned(),
            callers: 3,
            consultations: 1,
            reserves: true,
            pause: Duration::ZERO,
            tag: "load".to_owned(),
        }
    }
}

/// How requests of one kind went.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fates {
    /// Answered by an upstream.
    pub answered: u64,
    /// Answered with an error of the system's own.
    pub refused: u64,
    /// Broken off, or not answered at all.
    pub cut: u64,
}

impl Fates {
    /// Answered, of all.
    pub fn answered_share(&self) -> f64 {
        let all = self.answered + self.refused + self.cut;
        self.answered as f64 / all.max(1) as f64
    }

    fn count(&mut self, reply: &Reply) {
        match reply {
            Reply::Answered(_) => self.answered += 1,
            Reply::Refused { .. } => self.refused += 1,
            Reply::Cut(_) => self.cut += 1,
        }
    }

    fn add(&mut self, other: Fates) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.cut += other.cut;
    }
}

/// What the callers saw.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Consultations.
    pub consulted: Fates,
    /// Reservations.
    pub reserved: Fates,
    /// Answers that were not those of the request.
    pub wrong: u64,
    /// Operations of which a caller was told that they did not run.
    pub told_not_run: Vec<String>,
    /// Requests sent to hosts, those after a refusal included.
    pub asked: u64,
}

impl LoadReport {
    /// Operations that ran although a caller was told that they did not.
    pub fn lies(&self, operations: &BTreeMap<String, u32>) -> Vec<String> {
        let told = self.told_not_run.iter();
        told.filter(|id| operations.contains_key(*id))
            .cloned()
            .collect()
    }

    /// Both together.
    pub fn and(mut self, other: LoadReport) -> LoadReport {
        self.consulted.add(other.consulted);
        self.reserved.add(other.reserved);
        self.wrong += other.wrong;
        self.told_not_run.extend(other.told_not_run);
        self.asked += other.asked;
        self
    }

    fn take(&mut self, reply: &Reply, path: &str, operation: Option<&str>) {
        match operation {
            None => self.consulted.count(reply),
            Some(_) => self.reserved.count(reply),
        }
        match reply {
            Reply::Answered(echo) => {
                let own = operation.is_none_or(|id| echo["operation"] == id);
                self.wrong += u64::from(echo["path"] != path || !own);
            }
            Reply::Refused { not_run, .. } if not_run == "true" => {
                self.told_not_run.extend(operation.map(str::to_owned));
            }
            Reply::Refused { .. } | Reply::Cut(_) => {}
        }
    }
}

/// Operations that ran more than once.
pub fn run_twice(operations: &BTreeMap<String, u32>) -> usize {
    operations.values().filter(|times| **times > 1).count()
}

#[derive(Default)]
struct Progress {
    over: AtomicBool,
    answered: AtomicU64,
}

/// Callers at work.
pub struct Load {
    progress: Arc<Progress>,
    callers: Vec<JoinHandle<LoadReport>>,
}

impl Load {
    /// Starts callers that know these hosts at first.
    pub fn start(entries: Vec<SocketAddr>, plan: &LoadPlan) -> Load {
        let progress = Arc::new(Progress::default());
        let start = |number| {
            let caller = TrialCaller::new(&plan.service, entries.clone());
            let (progress, plan) = (Arc::clone(&progress), plan.clone());
            thread::spawn(move || call(caller, &progress, &plan, number))
        };
        let callers = (0..plan.callers).map(start).collect();
        Load { progress, callers }
    }

    /// Requests answered so far.
    pub fn answered(&self) -> u64 {
        self.progress.answered.load(Ordering::Acquire)
    }

    /// Waits until so many more have been answered.
    pub fn wait_for(&self, more: u64) -> std::io::Result<()> {
        let before = self.answered();
        eventually("more is answered", || self.answered() >= before + more)
    }

    /// Stops the callers after their current requests.
    pub fn stop(self) -> LoadReport {
        self.progress.over.store(true, Ordering::Release);
        let reports = self
            .callers
            .into_iter()
            .filter_map(|caller| caller.join().ok());
        reports.fold(LoadReport::default(), LoadReport::and)
    }
}

fn call(
    mut caller: TrialCaller,
    progress: &Progress,
    plan: &LoadPlan,
    number: usize,
) -> LoadReport {
    let mut report = LoadReport::default();
    let mut round = 0_u64;
    let over = || progress.over.load(Ordering::Acquire);
    while !over() {
        round += 1;
        for part in 0..plan.consultations {
            let path = format!("/paths/{number}/{round}/{part}");
            let reply = caller.get(&path);
            if matches!(reply, Reply::Answered(_)) {
                progress.answered.fetch_add(1, Ordering::AcqRel);
            }
            report.take(&reply, &path, None);
            thread::sleep(plan.pause);
            if over() {
                break;
            }
        }
        if plan.reserves
            && let Some((ticket, host)) = caller.ticket()
        {
            let operation = format!("{}-{number}-{round}", plan.tag);
            let reply = caller.post_at(host, RESERVATION_PATH, &operation, &ticket);
            if matches!(reply, Reply::Answered(_)) {
                progress.answered.fetch_add(1, Ordering::AcqRel);
            }
            report.take(&reply, RESERVATION_PATH, Some(&operation));
            thread::sleep(plan.pause);
        }
    }
    report.asked = caller.asked();
    report
}
