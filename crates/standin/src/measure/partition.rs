//! Zones cut from each other and from the platform, then healed, under load.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::document::{Edit, Kind, ObjectId, ProposalOutcome};

use super::balance::round;
use crate::deployment::{Deployment, DeploymentPlan, HostPlan, eventually};
use crate::link::LinkState;
use crate::load::{Load, LoadPlan, run_twice};

const CUT: Duration = Duration::from_secs(10);
const PUERTO: &[&str] = &["p1", "p2"];

fn label(zone: &str) -> Edit {
    let object = ObjectId {
        kind: Kind::Zone,
        name: zone.to_owned(),
    };
    let labels = BTreeMap::from([("cut".to_owned(), Some("yes".to_owned()))]);
    Edit::Label { object, labels }
}

fn set(deployment: &Deployment, state: LinkState) {
    for (name, links) in &deployment.links {
        links.set_hosts(state);
        if PUERTO.contains(&name.as_str()) {
            links.platform.set(state);
        }
    }
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let mut plan = DeploymentPlan::small();
    plan.hosts = vec![HostPlan::new("n1", "norte"), HostPlan::new("p1", "puerto")];
    let deployment = Deployment::start(plan)?;
    let start = |host: &str| {
        let plan = LoadPlan {
            callers: 3,
            tag: host.to_owned(),
            ..LoadPlan::default()
        };
        Load::start(vec![deployment.addresses(host).caller], &plan)
    };
    let (norte, puerto) = (start("n1"), start("p1"));
    norte.wait_for(200)?;
    puerto.wait_for(200)?;
    set(&deployment, LinkState::Cut);
    let begun = Instant::now();
    let accepted = matches!(
        deployment.propose("n1", label("norte"))?,
        ProposalOutcome::Accepted(_)
    );
    thread::sleep(CUT.saturating_sub(begun.elapsed()));
    let during = (deployment.revision("n1"), deployment.revision("p1"));
    set(&deployment, LinkState::Open);
    let healed = Instant::now();
    eventually("both agree", || {
        let revisions = (deployment.revision("n1"), deployment.revision("p1"));
        revisions.0 == revisions.1 && revisions.0 >= during.0
    })?;
    let agree_ms = healed.elapsed().as_millis() as u64;
    let (norte, puerto) = (norte.stop(), puerto.stop());
    let operations = deployment.operations();
    Ok(json!({
        "measure": "partition",
        "cut_s": CUT.as_secs(),
        "norte_consultations_answered": round(norte.consulted.answered_share()),
        "puerto_consultations_answered": round(puerto.consulted.answered_share()),
        "puerto_reservations_answered": round(puerto.reserved.answered_share()),
        "accepted_beside_the_cut": accepted,
        "revision_norte_during": during.0,
        "revision_puerto_during": during.1,
        "revision_after": deployment.revision("p1"),
        "agree_after_ms": agree_ms,
        "run_twice": run_twice(&operations),
        "told_not_run_but_run": norte.lies(&operations).len() + puerto.lies(&operations).len(),
        "wrong": norte.wrong + puerto.wrong,
    }))
}
