//! The command `works`, which lists or changes the work that hosts refuse because it crashes
//! upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;

use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};

const TIMEOUT: Duration = Duration::from_secs(10);

pub fn run(at: SocketAddr, refuse: Option<&str>, clear: Option<&str>) -> Outcome {
    let config = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    let agent = Agent::from(config);
    let works = format!("http://{at}/works");
    let answer = match (refuse, clear) {
        (Some(work), _) => agent.put(format!("{works}/{work}")).send_empty(),
        (None, Some(work)) => agent.delete(format!("{works}/{work}")).call(),
        (None, None) => agent.get(works).call(),
    };
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Outcome::failed(UNAVAILABLE, format!("{at}: {error}")),
    };
    match answer.status().as_u16() {
        200 => Outcome::done(answer.body_mut().read_to_string().unwrap_or_default()),
        204 => Outcome::done(""),
        400 => Outcome::failed(BAD_INPUT, "WORK must be sixteen hexadecimal digits"),
        403 => Outcome::failed(
            BAD_INPUT,
            "changes are accepted from the host's own machine only",
        ),
        404 => Outcome::failed(BAD_INPUT, "WORK: nothing is held against this work"),
        status => Outcome::failed(UNAVAILABLE, format!("{at} answered {status}")),
    }
}
