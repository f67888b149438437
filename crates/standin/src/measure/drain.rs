//! Drains through real hosts: new work after the change, cuts, time to quiet.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::document::{Edit, Kind, ObjectId, ProposalOutcome};

use crate::deployment::{Deployment, DeploymentPlan, HostPlan};
use crate::load::{Load, LoadPlan};
use crate::trial_caller::TrialCaller;

const DOWNLOAD_BYTES: u64 = 1 << 30;
const WATCH: Duration = Duration::from_secs(3);

struct Drained {
    /// Last new request, after the start of the drain.
    last_new_work_ms: u64,
    quiet_ms: u64,
}

fn drain(deployment: &Deployment, upstream: &str) -> io::Result<Drained> {
    let begun = Instant::now();
    let object = ObjectId {
        kind: Kind::Upstream,
        name: upstream.to_owned(),
    };
    let labels = BTreeMap::from([("state".to_owned(), Some("draining".to_owned()))]);
    let verdict = deployment.propose("n1", Edit::Label { object, labels })?;
    if !matches!(verdict, ProposalOutcome::Accepted(_)) {
        return Err(io::Error::other(format!("{verdict:?}")));
    }
    let target = &deployment.upstreams[upstream];
    let mut quiet_since = Instant::now();
    loop {
        if target.in_flight() > 0 {
            quiet_since = Instant::now();
        }
        if quiet_since.elapsed() > WATCH {
            break;
        }
        thread::sleep(Duration::from_millis(1));
    }
    let since = |at: Option<Instant>| {
        at.map_or(0, |at| {
            at.saturating_duration_since(begun).as_millis() as u64
        })
    };
    Ok(Drained {
        last_new_work_ms: since(target.last_arrival()),
        quiet_ms: since(Some(quiet_since)),
    })
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let mut plan = DeploymentPlan::small();
    plan.hosts.push(HostPlan::new("n2", "norte"));
    plan.hosts.push(HostPlan::new("p2", "puerto"));
    let deployment = Deployment::start(plan)?;
    let load = Load::start(
        deployment.entries(),
        &LoadPlan {
            callers: 6,
            ..LoadPlan::default()
        },
    );
    load.wait_for(500)?;
    let short = drain(&deployment, "surcos-norte-1")?;
    let mut caller = TrialCaller::new("surcos", vec![deployment.addresses("n1").caller]);
    let download = thread::spawn(move || caller.download(&format!("/archive?{DOWNLOAD_BYTES}")));
    // The longest in flight is the download: its upstream is the one that stays busy.
    let busy = loop {
        thread::sleep(Duration::from_millis(200));
        let steady = deployment
            .upstreams
            .iter()
            .find(|(name, upstream)| name.starts_with("surcos") && upstream.downloads() > 0);
        if let Some((name, _)) = steady {
            break name.clone();
        }
        if download.is_finished() {
            return Err(io::Error::other("the download was over before the drain"));
        }
    };
    let long = drain(&deployment, &busy)?;
    let bytes = download
        .join()
        .unwrap_or_else(|_| Err("the caller panicked".to_owned()));
    let report = load.stop();
    let cut = report.consulted.cut + report.reserved.cut + u64::from(bytes != Ok(DOWNLOAD_BYTES));
    Ok(json!({
        "measure": "drain",
        "last_new_work_ms": short.last_new_work_ms,
        "quiet_ms": short.quiet_ms,
        "with_download_last_new_work_ms": long.last_new_work_ms,
        "with_download_quiet_ms": long.quiet_ms,
        "download_bytes": bytes.unwrap_or(0),
        "cut": cut,
        "refused": report.consulted.refused + report.reserved.refused,
        "answered": report.consulted.answered + report.reserved.answered,
    }))
}
