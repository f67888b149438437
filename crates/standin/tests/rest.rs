//! An upstream that refuses work and asks for rest is left alone for that long.

use std::time::Duration;

use standin::{Deployment, DeploymentPlan, Reply, TrialCaller};

/// Longer than the test.
const REST: Duration = Duration::from_secs(600);
const REQUESTS: usize = 30;

#[test]
fn upstreams_that_want_rest_are_asked_once_each() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| {
            behaviour.shed_all = true;
            behaviour.rest = Some(REST);
        });
    }
    let mut caller = TrialCaller::new("surcos", deployment.entries());
    for _ in 0..REQUESTS {
        let reply = caller.get("/paths");
        assert!(
            matches!(&reply, Reply::Refused { not_run, .. } if not_run == "true"),
            "{reply:?}"
        );
    }
    for (name, upstream) in &deployment.upstreams {
        let shed = upstream.counts().shed;
        assert!(shed <= 1, "{name} was asked {shed} times in its rest");
    }
}
