//! What decided a request's way, for the log and the metrics.

use hyper::Response;
use steering::ids::{RegionName, RuleName, ServiceName};
use steering::route::{Choice, UpstreamId};
use upstream::Body;

use super::answers::Refusal;
use super::head::Head;

/// The inputs of a request's last decision, with their age or version.
#[derive(Debug, Default)]
pub(super) struct Trail {
    /// Version of the document that named the route.
    pub version: u64,
    pub route: RuleName,
    pub service: ServiceName,
    /// Region that was to serve it.
    pub region: RegionName,
    /// Upstream that it was last sent to; empty where it was sent to none.
    pub upstream: UpstreamId,
    /// Place of that upstream among the object's homes.
    pub rank: usize,
    /// Load that it was believed to have.
    pub load: f64,
    /// Age of its own report of load, where it had reported any.
    pub load_age_ms: Option<u64>,
    /// Whether it was believed to be cold.
    pub cold: bool,
    /// Sends so far.
    pub sends: usize,
}

impl Trail {
    /// Notes a choice.
    pub fn chose(&mut self, choice: &Choice) {
        self.upstream.clone_from(&choice.upstream.report.id);
        self.rank = choice.rank;
        self.load = choice.load;
        self.load_age_ms = choice.load_age.map(|age| age.as_millis() as u64);
        self.cold = choice.cold;
        self.sends += 1;
    }

    /// Writes the line of an answered or refused request, and counts it.
    pub fn end(&self, head: &Head, answered: &Result<Response<Body>, Refusal>) {
        let took = head.arrived.elapsed();
        let outcome = outcome(answered);
        metrics::counter!("stagedeck_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("stagedeck_request_latency_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        let ms = took.as_millis() as u64;
        let Trail {
            version,
            route,
            service,
            region,
            upstream,
            rank,
            load,
            load_age_ms,
            cold,
            sends,
        } = self;
        let id = &head.id;
        match answered {
            Ok(answer) => tracing::info!(
                event = "request",
                id,
                status = answer.status().as_u16(),
                ms,
                route,
                version,
                service,
                region,
                upstream,
                rank,
                load,
                load_age_ms,
                cold,
                sends
            ),
            Err(Refusal::NotRun { cause, come_back }) => {
                metrics::counter!("stagedeck_refusals_total", "cause" => cause.to_string())
                    .increment(1);
                tracing::info!(
                    event = "request_refused",
                    id,
                    %cause,
                    come_back_ms = come_back.as_millis() as u64,
                    ms,
                    route,
                    version,
                    service,
                    region,
                    upstream,
                    load,
                    load_age_ms,
                    sends
                );
            }
            Err(Refusal::NoRoute) => {
                tracing::info!(
                    event = "request_unrouted",
                    id,
                    domain = head.domain,
                    version,
                    ms
                );
            }
            Err(_) => tracing::warn!(
                event = "request_failed",
                id,
                outcome,
                ms,
                route,
                version,
                service,
                region,
                upstream,
                rank,
                load,
                load_age_ms,
                cold,
                sends
            ),
        }
    }
}

fn outcome(answered: &Result<Response<Body>, Refusal>) -> &'static str {
    match answered {
        Ok(answer) if answer.status().is_success() => "answered",
        Ok(_) => "failed_there",
        Err(Refusal::NoRoute) => "no_route",
        Err(Refusal::BadRequest(_)) => "bad_request",
        Err(Refusal::NotRun { .. }) => "not_run",
        Err(Refusal::MayHaveRun) => "may_have_run",
        Err(Refusal::TooLate) => "too_late",
    }
}
