//! Ticketed work by mode: throughput and table writes, beside a claim and a
//! receipt written for each request on its own.

use std::io;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::claim::{Receipt, WorkOutcome};
use store::{ClaimRequest, ClaimStore, HttpPlatform, ReceiptWrite};

use super::balance::round;
use crate::deployment::{Deployment, DeploymentPlan};
use crate::load::{Load, LoadPlan, run_twice};

const RUN: Duration = Duration::from_secs(8);
const CALLERS: usize = 48;
const BASELINE_CLAIMS: usize = 500;

struct Measured {
    per_s: f64,
    writes_each: f64,
}

fn by_mode(deployment: &Deployment, service: &str) -> io::Result<Measured> {
    let plan = LoadPlan {
        service: service.to_owned(),
        callers: CALLERS,
        consultations: 0,
        tag: service.to_owned(),
        ..LoadPlan::default()
    };
    let before = deployment.platform.counts().commits;
    let begun = Instant::now();
    let load = Load::start(deployment.entries(), &plan);
    std::thread::sleep(RUN);
    let report = load.stop();
    let took = begun.elapsed();
    // Receipts linger for a tenth of a second.
    std::thread::sleep(Duration::from_millis(500));
    let commits = (deployment.platform.counts().commits - before) as f64;
    let done = report.reserved.answered as f64;
    Ok(Measured {
        per_s: done / took.as_secs_f64(),
        writes_each: commits / done.max(1.0),
    })
}

/// One claim and one receipt for each request, one after another.
fn one_by_one(deployment: &Deployment) -> io::Result<Measured> {
    let platform = HttpPlatform::new(deployment.platform.address(), Duration::from_secs(2));
    let store = ClaimStore::new(&platform, "baseline".to_owned(), 1);
    let before = deployment.platform.counts().commits;
    let begun = Instant::now();
    for number in 0..BASELINE_CLAIMS {
        let id = format!("baseline-{number}");
        let fingerprint = "f".to_owned();
        let receipt = Receipt {
            status: 200,
            content_type: None,
            body: None,
        };
        store.claim(&[ClaimRequest {
            id: id.clone(),
            attempt: number as u64,
            fingerprint: fingerprint.clone(),
        }]);
        let ending = Some(WorkOutcome::Ran(receipt));
        store
            .finish(&[ReceiptWrite {
                id,
                attempt: number as u64,
                fingerprint,
                ending,
            }])
            .map_err(io::Error::other)?;
    }
    let commits = (deployment.platform.counts().commits - before) as f64;
    Ok(Measured {
        per_s: BASELINE_CLAIMS as f64 / begun.elapsed().as_secs_f64(),
        writes_each: commits / BASELINE_CLAIMS as f64,
    })
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let mut plan = DeploymentPlan::small();
    for upstream in &mut plan.document.upstreams {
        upstream.slots = 24;
    }
    let deployment = Deployment::start(plan)?;
    let home = by_mode(&deployment, "surcos")?;
    let store = by_mode(&deployment, "manifiestos")?;
    let baseline = one_by_one(&deployment)?;
    Ok(json!({
        "measure": "claims",
        "callers": CALLERS,
        "home_per_s": home.per_s.round(),
        "home_table_writes_each": round(home.writes_each),
        "store_per_s": store.per_s.round(),
        "store_table_writes_each": round(store.writes_each),
        "one_by_one_per_s": baseline.per_s.round(),
        "one_by_one_table_writes_each": round(baseline.writes_each),
        "ratio_home_writes": round(home.writes_each / baseline.writes_each),
        "ratio_store_writes": round(store.writes_each / baseline.writes_each),
        "run_twice": run_twice(&deployment.operations()),
    }))
}
