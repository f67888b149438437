//! Records how a request was routed, for the log and metrics.

use std::time::{Duration, Instant};

use steering::ids::{CustomerName, RegionName, RequestId, RuleName, ServiceName};
use steering::route::{Choice, RetryGrant, SoftwareVersion, UpstreamId, WorkKey};

use super::answers::{Cause, Refusal, UpstreamAnswer};
use super::head::Head;
use super::selection::SelectionError;
use crate::suspects;

/// Logs an event with the routing record of its request. The event's own fields come first.
macro_rules! log_request {
    ($level:ident, $event:literal, $request_log:expr $(, $($more:tt)+)?) => {
        tracing::$level!(
            event = $event,
            id = $request_log.id,
            $($($more)+,)?
            ms = clock::elapsed($request_log.arrived).as_millis() as u64,
            route = $request_log.route,
            customer = $request_log.customer,
            token_ms = $request_log.token_ms,
            limit_ms = $request_log.limit_ms,
            version = $request_log.version,
            service = $request_log.service,
            region = $request_log.region,
            object = $request_log.object.map(|object| format!("{object:016x}")),
            upstream = $request_log.upstream,
            rank = $request_log.rank,
            load = $request_log.load,
            load_age_ms = $request_log.load_age_ms,
            cold = $request_log.cold,
            software = $request_log.software,
            expected_ms = $request_log.expected_ms,
            held = $request_log.held,
            speed = $request_log.speed,
            worth = $request_log.worth,
            sends = $request_log.sends,
            retries_used = $request_log.retry.map(|grant| grant.used),
            retries_limit = $request_log.retry.map(|grant| round(grant.limit)),
            retry_tokens = $request_log.retry.map(|grant| round(grant.tokens)),
            retry_hosts = $request_log.retry.and_then(|grant| grant.hosts),
            passed_over = $request_log.passed_over(),
            work = $request_log.work.map(suspects::format_key)
        )
    };
}

/// Inputs of the last routing decision for a request, with their age or version.
///
/// A record that is dropped without [`RequestLog::end`] is logged as a request whose caller has
/// disconnected.
#[derive(Debug)]
pub(super) struct RequestLog {
    id: RequestId,
    arrived: Instant,
    is_finished: bool,
    /// Version of the document that contains the route.
    pub version: u64,
    pub route: RuleName,
    pub service: ServiceName,
    /// Customer that sent the request; none if the route or the document requires no key.
    pub customer: Option<CustomerName>,
    /// Time spent waiting for a token of the customer's allowance; none if no token was needed, or
    /// the request was refused before.
    pub token_ms: Option<u64>,
    /// Time spent waiting for tokens of upstreams' rate limits; none if none was needed.
    pub limit_ms: Option<u64>,
    /// Region selected to serve the request.
    pub region: RegionName,
    /// Hash of the request's object; none if it has none. The object itself is not logged because
    /// it may identify the caller.
    pub object: Option<u64>,
    /// Upstream of the last send; empty if the request was not sent.
    pub upstream: UpstreamId,
    /// Rank of the upstream in the object's order of preference.
    pub rank: usize,
    /// Estimated load of the upstream.
    pub load: f64,
    /// Age of the upstream's last load report; none if it has reported none.
    pub load_age_ms: Option<u64>,
    /// Whether the upstream was considered to be warming up.
    pub cold: bool,
    /// Version of the upstream's software; none if it reports none.
    pub software: Option<SoftwareVersion>,
    /// Expected time until the answer, in milliseconds.
    pub expected_ms: u64,
    /// Estimated probability that the upstream holds the object.
    pub held: f64,
    /// Estimated response time of the upstream as a multiple of the usual one.
    pub speed: f64,
    /// Expected value of sending the request to the upstream.
    pub worth: f64,
    /// Number of sends.
    pub sends: usize,
    /// What the retry budget last answered; none if no retry was asked for.
    pub retry: Option<RetryGrant>,
    /// Upstreams skipped in the last selection because of what they declared about themselves.
    pub passed_over: Vec<UpstreamId>,
    /// Key of the request; none unless similar requests have crashed upstreams.
    pub work: Option<WorkKey>,
    /// Wait at the least loaded of the object's preferred upstreams, in milliseconds, if all were
    /// full.
    pub least_wait_ms: Option<u64>,
}

impl RequestLog {
    /// A record before any routing decision.
    pub fn new(head: &Head) -> Self {
        RequestLog {
            id: head.id.clone(),
            arrived: head.arrived,
            is_finished: false,
            version: 0,
            route: RuleName::new(),
            service: ServiceName::new(),
            customer: None,
            token_ms: None,
            limit_ms: None,
            region: RegionName::new(),
            object: None,
            upstream: UpstreamId::new(),
            rank: 0,
            load: 0.0,
            load_age_ms: None,
            cold: false,
            software: None,
            expected_ms: 0,
            held: 0.0,
            speed: 0.0,
            worth: 0.0,
            sends: 0,
            retry: None,
            passed_over: Vec::new(),
            work: None,
            least_wait_ms: None,
        }
    }

    /// Records the selected upstream.
    pub fn selected(&mut self, choice: &Choice) {
        self.upstream.clone_from(&choice.upstream.report.id);
        self.rank = choice.rank;
        self.load = choice.load;
        self.load_age_ms = choice.load_age.map(|age| age.as_millis() as u64);
        self.cold = choice.cold;
        let version = &choice.upstream.report.version;
        self.software = (!version.is_empty()).then(|| version.clone());
        let expected = &choice.expectation;
        self.expected_ms = (expected.wait + expected.work.mean()).as_millis() as u64;
        self.held = round(expected.work.hit_probability);
        self.speed = round(expected.speed);
        self.worth = round(expected.worth);
        self.sends += 1;
        self.passed_over.clone_from(&choice.passed_over);
    }

    /// Records that no upstream could be selected.
    pub fn not_selected(&mut self, error: &SelectionError) {
        if let Refusal::NotRun {
            cause: Cause::NoRoom,
            retry_after,
            ..
        } = error.refusal
        {
            self.least_wait_ms = Some(retry_after.as_millis() as u64);
        }
        self.passed_over.clone_from(&error.passed_over);
    }

    /// Skipped upstreams as logged; none if there were none.
    fn passed_over(&self) -> Option<String> {
        (!self.passed_over.is_empty()).then(|| self.passed_over.join(","))
    }

    /// Logs a request that is given up because the process stops, `stopping_for` after the signal.
    pub fn cut(&self, stopping_for: Option<Duration>) {
        metrics::counter!("stagedeck_requests_cut_total").increment(1);
        let stopping_ms = stopping_for.map(|time| time.as_millis() as u64);
        log_request!(warn, "request_cut", self, stopping_ms);
    }

    /// Logs and counts a request that was answered or refused.
    pub fn finish(&mut self, head: &Head, answered: &Result<UpstreamAnswer, Refusal>) {
        self.is_finished = true;
        let outcome = outcome(answered);
        let took = self.count(outcome);
        if let Err(refusal) = answered
            && let Some(proof) = refusal.proof()
        {
            let evidence = proof.evidence().to_string();
            metrics::counter!("stagedeck_not_run_total", "evidence" => evidence).increment(1);
        }
        metrics::histogram!("stagedeck_request_latency_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        match answered {
            Ok(answer) => {
                let status = answer.status().as_u16();
                log_request!(info, "request", self, status);
            }
            Err(Refusal::NotRun {
                cause, retry_after, ..
            }) => {
                metrics::counter!("stagedeck_refusals_total", "cause" => cause.to_string())
                    .increment(1);
                let come_back_ms = retry_after.as_millis() as u64;
                let least_wait_ms = self.least_wait_ms;
                log_request!(info, "request_refused", self, %cause, come_back_ms, least_wait_ms);
            }
            Err(Refusal::NoAccess) => log_request!(info, "request_unauthorized", self),
            Err(Refusal::BeyondAllowance { retry_after, .. }) => {
                let come_back_ms = retry_after.as_millis() as u64;
                log_request!(info, "request_beyond_allowance", self, come_back_ms);
            }
            Err(Refusal::NoRoute) => {
                let (id, version) = (&self.id, self.version);
                tracing::info!(
                    event = "request_unrouted",
                    id,
                    domain = head.domain,
                    version
                );
            }
            Err(_) => log_request!(warn, "request_failed", self, outcome),
        }
    }

    /// Counts the request. Returns the time since it arrived.
    fn count(&self, outcome: &'static str) -> Duration {
        metrics::counter!("stagedeck_requests_total", "outcome" => outcome).increment(1);
        clock::elapsed(self.arrived)
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_finished {
            self.count("left");
            log_request!(info, "request_left", self);
        }
    }
}

/// Rounds to two decimal places, which are enough for the log.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn outcome(answered: &Result<UpstreamAnswer, Refusal>) -> &'static str {
    match answered {
        Ok(answer) if answer.status().is_success() => "answered",
        Ok(_) => "failed_there",
        Err(Refusal::NoRoute) => "no_route",
        Err(Refusal::NoAccess) => "no_access",
        Err(Refusal::BeyondAllowance { .. }) => "beyond_allowance",
        Err(Refusal::BadRequest | Refusal::TooLarge | Refusal::SlowBody(_)) => "bad_request",
        Err(Refusal::NotRun { .. }) => "not_run",
        Err(Refusal::MayHaveRun) => "may_have_run",
        Err(Refusal::TooLate) => "too_late",
    }
}
