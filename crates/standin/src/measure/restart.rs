//! All hosts replaced one by one under load, as planned and by crashes.

use std::io;
use std::thread;

use serde_json::{Value, json};

use crate::deployment::{Deployment, DeploymentPlan, HostPlan};
use crate::load::{Load, LoadPlan, LoadReport, run_twice};

const HOSTS: &[(&str, &str)] = &[
    ("n1", "norte"),
    ("n2", "norte"),
    ("p1", "puerto"),
    ("p2", "puerto"),
];
const SOME: u64 = 200;

fn replace_all(crash: bool) -> io::Result<(LoadReport, usize, usize)> {
    let mut plan = DeploymentPlan::small();
    plan.hosts = HOSTS
        .iter()
        .map(|(name, zone)| HostPlan::new(name, zone))
        .collect();
    let mut deployment = Deployment::start(plan)?;
    let mut total = Vec::new();
    for (name, zone) in HOSTS {
        deployment.start_host(&HostPlan::new(&format!("{name}-next"), zone))?;
        deployment.settle()?;
        let plan = LoadPlan {
            callers: 6,
            tag: (*name).to_owned(),
            ..LoadPlan::default()
        };
        let load = Load::start(deployment.entries(), &plan);
        load.wait_for(SOME)?;
        match crash {
            true => deployment.kill(name),
            false => {
                let leaving = deployment.take(name);
                let stopping = thread::spawn(move || leaving.map(stagedeck::Host::stop));
                let stopped = stopping.join();
                debug_assert!(stopped.is_ok());
            }
        }
        deployment.platform.remove_host(name);
        load.wait_for(SOME)?;
        total.push(load.stop());
    }
    let operations = deployment.operations();
    let lies = total
        .iter()
        .map(|report| report.lies(&operations).len())
        .sum();
    let total = total
        .into_iter()
        .fold(LoadReport::default(), LoadReport::and);
    Ok((total, run_twice(&operations), lies))
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let (planned, planned_twice, planned_lies) = replace_all(false)?;
    let (crashed, crashed_twice, crashed_lies) = replace_all(true)?;
    let figures = |report: &LoadReport, twice: usize, lies: usize| {
        json!({
            "hosts_replaced": HOSTS.len(),
            "answered": report.consulted.answered + report.reserved.answered,
            "refused": report.consulted.refused + report.reserved.refused,
            "cut": report.consulted.cut + report.reserved.cut,
            "run_twice": twice,
            "told_not_run_but_run": lies,
            "wrong": report.wrong,
        })
    };
    Ok(json!({
        "measure": "restart",
        "planned": figures(&planned, planned_twice, planned_lies),
        "crashed": figures(&crashed, crashed_twice, crashed_lies),
    }))
}
