//! What decided a request's way, for the log and the metrics.

use std::time::{Duration, Instant};

use hyper::Response;
use steering::ids::{CustomerName, RegionName, RequestId, RuleName, ServiceName};
use steering::route::{Choice, UpstreamId, WorkKey};
use upstream::Body;

use super::answers::{Cause, Refusal};
use super::head::Head;
use super::run::Unchosen;
use crate::suspects;

/// Writes a request's line: an event of its own, then what decided its way.
macro_rules! tell {
    ($level:ident, $event:literal, $trail:expr $(, $($more:tt)+)?) => {
        tracing::$level!(
            event = $event,
            id = $trail.id,
            $($($more)+,)?
            ms = clock::elapsed($trail.arrived).as_millis() as u64,
            route = $trail.route,
            customer = $trail.customer,
            token_ms = $trail.token_ms,
            limit_ms = $trail.limit_ms,
            version = $trail.version,
            service = $trail.service,
            region = $trail.region,
            object = $trail.object.map(|object| format!("{object:016x}")),
            upstream = $trail.upstream,
            rank = $trail.rank,
            load = $trail.load,
            load_age_ms = $trail.load_age_ms,
            cold = $trail.cold,
            expected_ms = $trail.expected_ms,
            held = $trail.held,
            speed = $trail.speed,
            worth = $trail.worth,
            sends = $trail.sends,
            passed_over = $trail.passed_over(),
            work = $trail.work.map(suspects::name)
        )
    };
}

/// The inputs of a request's last decision, with their age or version.
///
/// Dropped before its end was noted, it tells that the caller has left.
#[derive(Debug)]
pub(super) struct Trail {
    id: RequestId,
    arrived: Instant,
    ended: bool,
    /// Version of the document that named the route.
    pub version: u64,
    pub route: RuleName,
    pub service: ServiceName,
    /// Customer that it is from; none where the route or the document asks for no key.
    pub customer: Option<CustomerName>,
    /// Time that it waited for a token of its customer's allowance; none where it needed none,
    /// or had none.
    pub token_ms: Option<u64>,
    /// Time that it waited for tokens of limits that upstreams name; none where it needed none.
    pub limit_ms: Option<u64>,
    /// Region that was to serve it.
    pub region: RegionName,
    /// Hash of its object; none where it is about none. The object itself may say who
    /// the caller is.
    pub object: Option<u64>,
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
    /// Time that its answer was expected to take.
    pub expected_ms: u64,
    /// Probability that its object was believed to be held there.
    pub held: f64,
    /// Times as long as usual that the upstream was believed to take.
    pub speed: f64,
    /// What sending it there was expected to be worth.
    pub worth: f64,
    /// Sends so far.
    pub sends: usize,
    /// Upstreams that were passed over for what they have said, at the last choice.
    pub passed_over: Vec<UpstreamId>,
    /// What it is known by, where others like it have ended upstreams.
    pub work: Option<WorkKey>,
    /// Wait at the emptiest of the object's homes, where all were too full.
    pub least_wait_ms: Option<u64>,
}

impl Trail {
    /// Of a request that nothing was decided on yet.
    pub fn new(head: &Head) -> Self {
        Trail {
            id: head.id.clone(),
            arrived: head.arrived,
            ended: false,
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
            expected_ms: 0,
            held: 0.0,
            speed: 0.0,
            worth: 0.0,
            sends: 0,
            passed_over: Vec::new(),
            work: None,
            least_wait_ms: None,
        }
    }

    /// Notes a choice.
    pub fn chose(&mut self, choice: &Choice) {
        self.upstream.clone_from(&choice.upstream.report.id);
        self.rank = choice.rank;
        self.load = choice.load;
        self.load_age_ms = choice.load_age.map(|age| age.as_millis() as u64);
        self.cold = choice.cold;
        let expected = &choice.expectation;
        self.expected_ms = (expected.wait + expected.work.mean()).as_millis() as u64;
        self.held = round(expected.work.hit_probability);
        self.speed = round(expected.speed);
        self.worth = round(expected.worth);
        self.sends += 1;
        self.passed_over.clone_from(&choice.passed_over);
    }

    /// Notes that no upstream could be chosen.
    pub fn unchosen(&mut self, unchosen: &Unchosen) {
        if let Refusal::NotRun {
            cause: Cause::NoRoom,
            come_back,
        } = unchosen.refusal
        {
            self.least_wait_ms = Some(come_back.as_millis() as u64);
        }
        self.passed_over.clone_from(&unchosen.passed_over);
    }

    /// The upstreams passed over, for the line; none where there were none.
    fn passed_over(&self) -> Option<String> {
        (!self.passed_over.is_empty()).then(|| self.passed_over.join(","))
    }

    /// Writes the line of an answered or refused request, and counts it.
    pub fn end(&mut self, head: &Head, answered: &Result<Response<Body>, Refusal>) {
        self.ended = true;
        let outcome = outcome(answered);
        let took = self.count(outcome);
        metrics::histogram!("stagedeck_request_latency_seconds", "outcome" => outcome)
            .record(took.as_secs_f64());
        match answered {
            Ok(answer) => {
                let status = answer.status().as_u16();
                tell!(info, "request", self, status);
            }
            Err(Refusal::NotRun { cause, come_back }) => {
                metrics::counter!("stagedeck_refusals_total", "cause" => cause.to_string())
                    .increment(1);
                let come_back_ms = come_back.as_millis() as u64;
                let least_wait_ms = self.least_wait_ms;
                tell!(info, "request_refused", self, %cause, come_back_ms, least_wait_ms);
            }
            Err(Refusal::NoAccess) => tell!(info, "request_unauthorized", self),
            Err(Refusal::BeyondAllowance { come_back }) => {
                let come_back_ms = come_back.as_millis() as u64;
                tell!(info, "request_beyond_allowance", self, come_back_ms);
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
            Err(_) => tell!(warn, "request_failed", self, outcome),
        }
    }

    /// Counts the request; the time since it came.
    fn count(&self, outcome: &'static str) -> Duration {
        metrics::counter!("stagedeck_requests_total", "outcome" => outcome).increment(1);
        clock::elapsed(self.arrived)
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if !self.ended {
            self.count("left");
            tell!(info, "request_left", self);
        }
    }
}

/// Two digits are enough for a reader.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn outcome(answered: &Result<Response<Body>, Refusal>) -> &'static str {
    match answered {
        Ok(answer) if answer.status().is_success() => "answered",
        Ok(_) => "failed_there",
        Err(Refusal::NoRoute) => "no_route",
        Err(Refusal::NoAccess) => "no_access",
        Err(Refusal::BeyondAllowance { .. }) => "beyond_allowance",
        Err(Refusal::BadRequest(_)) => "bad_request",
        Err(Refusal::NotRun { .. }) => "not_run",
        Err(Refusal::MayHaveRun) => "may_have_run",
        Err(Refusal::TooLate) => "too_late",
    }
}
