//! The platform is down for a while under load, through real hosts.

use std::io;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::balance::round;
use crate::deployment::{Deployment, DeploymentPlan, HostPlan};
use crate::load::{Fates, Load, LoadPlan, run_twice};

const DOWN: Duration = Duration::from_secs(60);

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let mut plan = DeploymentPlan::small();
    plan.hosts.push(HostPlan::new("n2", "norte"));
    let deployment = Deployment::start(plan)?;
    let start = |service: &str, tag: &str| {
        let plan = LoadPlan {
            service: service.to_owned(),
            callers: 3,
            pause: Duration::from_millis(2),
            tag: tag.to_owned(),
            ..LoadPlan::default()
        };
        Load::start(deployment.entries(), &plan)
    };
    let warm = start("surcos", "before");
    warm.wait_for(300)?;
    warm.stop();
    deployment.platform.set_down(true);
    let (home, store) = (start("surcos", "home"), start("manifiestos", "store"));
    thread::sleep(DOWN);
    let (home, store) = (home.stop(), store.stop());
    deployment.platform.set_down(false);
    let after = start("manifiestos", "after");
    after.wait_for(300)?;
    let after = after.stop();
    let operations = deployment.operations();
    let share = |fates: &Fates| round(fates.answered_share());
    Ok(json!({
        "measure": "outage",
        "down_s": DOWN.as_secs(),
        "consultations": home.consulted.answered + store.consulted.answered,
        "consultations_answered": share(&home.consulted),
        "home_reservations": home.reserved.answered,
        "home_reservations_answered": share(&home.reserved),
        "store_reservations_answered": share(&store.reserved),
        "store_reservations_refused": store.reserved.refused,
        "after_store_reservations_answered": share(&after.reserved),
        "run_twice": run_twice(&operations),
        "told_not_run_but_run": home.lies(&operations).len() + store.lies(&operations).len(),
        "wrong": home.wrong + store.wrong + after.wrong,
    }))
}
