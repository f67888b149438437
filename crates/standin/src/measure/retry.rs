//! Extra load while every upstream sheds, through real hosts.

use std::io;
use std::time::Duration;

use serde_json::{Value, json};

use super::balance::round;
use crate::deployment::{Deployment, DeploymentPlan};
use crate::load::{Load, LoadPlan};

const REQUESTS: u64 = 4_000;
/// Attempts of a client that tries each request again up to three times.
const NAIVE_ATTEMPTS: f64 = 4.0;

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let deployment = Deployment::start(DeploymentPlan::small())?;
    let plan = LoadPlan {
        reserves: false,
        callers: 6,
        ..LoadPlan::default()
    };
    let well = Load::start(deployment.entries(), &plan);
    well.wait_for(500)?;
    well.stop();
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.shed_all = true);
    }
    let shed = || -> u64 { deployment.upstreams.values().map(|u| u.counts().shed).sum() };
    let before = shed();
    let load = Load::start(deployment.entries(), &plan);
    let begun = std::time::Instant::now();
    while shed() < before + REQUESTS && begun.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(10));
    }
    let report = load.stop();
    let attempts = (shed() - before) as f64;
    // Each reply is one look-up's worth of hosts asked: count what the hosts were asked.
    let refused = report.consulted.refused as f64;
    let asked = report.asked as f64;
    Ok(json!({
        "measure": "retry",
        "asked_of_hosts": asked,
        "replies_to_callers": refused,
        "attempts_at_upstreams": attempts,
        "extra_load": round((attempts / asked - 1.0).max(0.0)),
        "ratio_attempts_to_naive": round(attempts / (asked * NAIVE_ATTEMPTS)),
        "answered": report.consulted.answered,
    }))
}
