//! Handles one request: selects a service and region, sends the request, and decides on retries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::http::request::Parts;
use steering::ids::ServiceName;
use steering::route::{
    Admission, CallerAttempt, Choice, RetryDecision, Route, SendOutcome, Sender, Sends, UpstreamId,
    WorkEvent, WorkIdentity, acceptable_wait,
};
use tokio::task::spawn_local;
use upstream::{ConnectionId, RequestBody};

use super::Traffic;
use super::answers::{Cause, Refusal, UpstreamAnswer};
use super::crash_check::CrashCheck;
use super::destination::{Destination, may_run_in};
use super::forward::DEFAULT_RETRY_AFTER;
use super::head::Head;
use super::request_log::RequestLog;
use super::send::{OutgoingRequest, SendFailure, send};
use super::unanswered_send::{AnswerTerms, UnansweredSends};
use crate::limits::NoToken;

/// Remaining time below which nothing is sent, since no answer could arrive in time.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);
/// Fraction of the wait at a full upstream that the least urgent requests accept.
const MIN_URGENCY: f64 = 0.6;
/// Decrease of this fraction for each level of priority.
const URGENCY_STEP: f64 = 0.2;
/// Maximum number of upstreams without a token of their rate limit that a request tries. Without
/// this bound, a request would try them again and again until its deadline if many upstreams
/// declare limits.
const MAX_TOKEN_REFUSALS: u32 = 4;
/// Number of upstreams to which no host has room to relay a request after which it is refused. A
/// second one may be in a zone that this host reaches itself.
const MAX_RELAY_REFUSALS: u32 = 2;

/// A request in progress.
pub(super) struct Run<'a> {
    pub traffic: &'a Arc<Traffic>,
    pub head: &'a Head,
    pub request_log: &'a mut RequestLog,
    pub route: &'a Route,
    /// Who sent the request.
    pub sender: &'a Sender,
    pub parts: Parts,
    pub body: RequestBody,
    /// Time by which the request must be answered, even with an error.
    pub deadline: Instant,
    /// Whether the caller has sent this request before.
    pub caller_attempt: CallerAttempt,
    /// Progress of each send.
    pub sends: Sends,
    /// Connections on which the request was sent.
    pub connections: Vec<ConnectionId>,
    /// Upstreams that are not tried again, because they refused the request or could not be
    /// reached.
    pub excluded: Vec<UpstreamId>,
    /// Identity of the request and its object for crash detection; the same when the request is
    /// repeated.
    pub work: WorkIdentity,
    /// Crashes attributed to the request when it was admitted.
    pub crashes_known: u32,
    /// Number of selected upstreams that had no token of their rate limit.
    pub token_refusals: u32,
    /// Number of selected upstreams to which no host had room to relay the request.
    pub relay_refusals: u32,
}

/// Why an attempt yielded no answer.
enum AttemptFailure {
    /// The request is not sent again.
    Final(Refusal),
    /// The send failed.
    Send(SendFailure),
}

impl From<Refusal> for AttemptFailure {
    fn from(refusal: Refusal) -> Self {
        AttemptFailure::Final(refusal)
    }
}

impl<'a> Run<'a> {
    /// Sends the request, with retries, until it is answered or fails.
    pub async fn run(&mut self) -> Result<UpstreamAnswer, Refusal> {
        let (admission, crashes_known) = self.traffic.common.suspects.admit(self.work);
        self.crashes_known = crashes_known;
        if admission != Admission::Unrestricted {
            self.request_log.work = Some(self.work.request);
        }
        if let Admission::Refused(time) = admission {
            return Err(self.refusal(Cause::CrashesUpstreams, time));
        }
        let object = self.head.object.as_deref();
        let destination = Destination::find(self.traffic, self.route, self.sender, object);
        self.request_log.service.clone_from(&destination.service);
        self.request_log.region = destination.region.clone().unwrap_or_default();
        self.request_log.object = destination.own_object();
        let terms = self.answer_terms();
        let traffic = self.traffic;
        let mut unanswered = UnansweredSends::default();
        loop {
            let attempt = tokio::select! {
                biased;
                answer = unanswered.next_answer(traffic, &terms) => return Ok(answer),
                attempt = self.attempt(&destination) => attempt,
            };
            let failure = match attempt {
                Ok(answer) => return Ok(answer),
                Err(AttemptFailure::Final(refusal)) => {
                    let answer = unanswered.answer(traffic, &terms).await;
                    return answer.ok_or(refusal);
                }
                Err(AttemptFailure::Send(failure)) => failure,
            };
            if let Some(send) = failure.unanswered {
                unanswered.push(*send);
            }
            if self.after_failure(&destination.service) != RetryDecision::Retry {
                let answer = unanswered.answer(traffic, &terms).await;
                return answer.ok_or_else(|| self.final_refusal());
            }
        }
    }

    /// Sends the request once, to an upstream that is selected for it.
    async fn attempt(
        &mut self,
        destination: &Destination,
    ) -> Result<UpstreamAnswer, AttemptFailure> {
        let choice = loop {
            let choice = self.select_upstream(destination).map_err(|error| {
                self.request_log.not_selected(&error);
                error.refusal
            })?;
            if self.may_outlast_host(&choice) {
                return Err(self.refusal(Cause::Leaving, Duration::ZERO).into());
            }
            match self.take_token(choice).await {
                Ok(choice) => break choice,
                // The upstream is skipped until a token is available again.
                Err(_) if self.token_refusals < MAX_TOKEN_REFUSALS => {}
                Err(NoToken(wait)) => return Err(self.rate_limited(wait).into()),
            }
        };
        choice.note_sent(clock::now(), destination.own_object());
        let failure = match self.send(&choice).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        if let Some(retry_after) = failure.no_relay {
            self.relay_refusals += 1;
            if self.relay_refusals >= MAX_RELAY_REFUSALS {
                return Err(self.no_relay(retry_after).into());
            }
        }
        Err(AttemptFailure::Send(failure))
    }

    /// What the answers of upstreams are judged by.
    fn answer_terms(&self) -> AnswerTerms<'a> {
        AnswerTerms {
            head: self.head,
            route: &self.route.name,
            goal: self.route.goal,
            deadline: self.deadline,
            work: self.work,
        }
    }

    /// The final answer to a request that is under way when this host stops.
    pub fn cut(&self) -> Refusal {
        self.request_log.cut(self.traffic.stopping_for());
        self.refusal(Cause::Leaving, Duration::ZERO)
    }

    /// Whether this host is stopping, and may end before the answer arrives. Without a recent
    /// response of the route, a request may take all the time that it has left.
    fn may_outlast_host(&self, choice: &Choice) -> bool {
        if !self.traffic.is_leaving() {
            return false;
        }
        let now = clock::now();
        let time_left = self.deadline.saturating_duration_since(now);
        let service = &choice.upstream.report.service;
        let mut stats = self.traffic.stats();
        let seen = stats
            .response_times(service, &self.route.name)
            .upper_bound(now);
        let longest = seen.map_or(time_left, |seen| seen.max(choice.expectation.upper_bound()));
        !self.traffic.has_time_for(longest.min(time_left))
    }

    /// Takes a token of the rate limit that the selected upstream declares, if any. Every send
    /// counts against the limit, however the upstream was selected.
    async fn take_token(&mut self, choice: Choice) -> Result<Choice, NoToken> {
        let Some(declared) = choice.limit(clock::now()) else {
            return Ok(choice);
        };
        let started_at = clock::now();
        let limits = &self.traffic.common.limits;
        let token = limits.take_token(&choice, declared, self.urgency()).await;
        let waited = self.request_log.limit_ms.unwrap_or(0);
        self.request_log.limit_ms = Some(waited + clock::elapsed(started_at).as_millis() as u64);
        self.token_refusals += u32::from(token.is_err());
        token.map(|()| Choice {
            has_token: true,
            ..choice
        })
    }

    /// Sends the request once; fails if there is no answer to pass on.
    async fn send(&mut self, choice: &Choice) -> Result<UpstreamAnswer, SendFailure> {
        let wait = acceptable_wait(self.route.goal, self.urgency());
        let wait_until = self.deadline.min(self.head.arrived + wait);
        let report = &choice.upstream.report;
        self.request_log.selected(choice);
        let terms = self.answer_terms();
        let sent = self.sends.begin();
        let mut outgoing = OutgoingRequest {
            terms,
            parts: &self.parts,
            body: &mut self.body,
            connections: &mut self.connections,
            repeatable: self.route.repeatable,
            wait_until,
            sender: self.sender,
            may_pass: &|region| may_run_in(self.route, self.sender, region),
            crashes_known: self.crashes_known,
        };
        let started_at = clock::now();
        let failure = match send(self.traffic, choice, &mut outgoing, sent).await {
            Ok(answer) => {
                let sent_ms = clock::elapsed(started_at).as_millis() as u32;
                let event = WorkEvent::Answered { sent_ms };
                self.traffic.common.suspects.record_event(self.work, event);
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        let was_sent = failure.sent != SendOutcome::Not;
        let connection = self.connections.last().filter(|_| was_sent);
        tracing::warn!(
            event = "send_missed",
            id = self.head.id,
            upstream = report.id,
            address = %report.address,
            sent = ?failure.sent,
            reason = failure.reason,
            connection,
            marked = failure.evidence.map(|evidence| evidence.is_marked),
            signed = failure.evidence.map(|evidence| evidence.is_signed),
            misdirected = failure.evidence.map(|evidence| evidence.is_misdirected),
            ambiguous = failure.evidence.map(|evidence| evidence.is_ambiguous)
        );
        *sent = failure.sent;
        if failure.was_closed {
            let check = CrashCheck {
                traffic: Arc::clone(self.traffic),
                upstream: Arc::clone(&choice.upstream),
                id: self.head.id.clone(),
                work: self.work,
                sent_at: started_at,
            };
            // The check continues in its own task if the caller disconnects or the request times
            // out.
            let _ = spawn_local(check.run()).await;
        }
        let is_unreachable = failure.sent == SendOutcome::Not && !failure.lacks_token;
        let may_be_asked_again = || choice.upstream.allows_retry(clock::now());
        if is_unreachable || (failure.sent != SendOutcome::Not && !may_be_asked_again()) {
            self.excluded.push(report.id.clone());
        }
        Err(failure)
    }

    /// Fraction of the possible wait that the request accepts. More urgent requests accept longer
    /// waits, so they are refused last.
    pub(super) fn urgency(&self) -> f64 {
        let of_customer = self
            .sender
            .customer()
            .and_then(|customer| customer.priority);
        let priority = of_customer.unwrap_or(self.route.priority);
        let rank = f64::from(priority.saturating_sub(1));
        (1.0 - URGENCY_STEP * rank).max(MIN_URGENCY)
    }

    fn after_failure(&mut self, service: &ServiceName) -> RetryDecision {
        let sent_count = self.sends.sent_count();
        let is_unsafe = self.sends.may_have_run() && !self.route.repeatable;
        let suspects = &self.traffic.common.suspects;
        let may_send_again = !is_unsafe
            && self.body.can_be_sent()
            && sent_count < self.route.attempts
            && suspects.may_be_retried(self.work)
            && (sent_count == 0 || self.take_retry(service));
        self.sends
            .decide_retry(self.route.repeatable, may_send_again)
    }

    fn take_retry(&mut self, service: &ServiceName) -> bool {
        let sharing_hosts = self.traffic.common.view.load().sharing_hosts;
        let now = clock::now();
        let bounds = self.traffic.common.bounds();
        let mut stats = self.traffic.stats();
        let grant = stats.take_retry(service, &bounds, sharing_hosts, self.caller_attempt, now);
        drop(stats);
        self.request_log.retry = Some(grant);
        let allowed = grant.is_allowed;
        metrics::counter!("stagedeck_repeats_total", "allowed" => allowed.to_string()).increment(1);
        let name = || service.clone();
        metrics::gauge!("stagedeck_repeats_used", "service" => name()).set(grant.used as f64);
        metrics::gauge!("stagedeck_repeats_limit", "service" => name()).set(grant.limit);
        allowed
    }

    pub(super) fn is_late(&self, now: Instant) -> bool {
        self.deadline.saturating_duration_since(now) < MIN_TIME_LEFT
    }

    /// The refusal of a request that can't be sent to another upstream.
    fn final_refusal(&self) -> Refusal {
        if self.is_late(clock::now()) {
            return self.out_of_time();
        }
        let suspects = &self.traffic.common.suspects;
        // The request may have been refused because of crashes since it was admitted.
        match suspects.blocked_for(self.work, self.crashes_known) {
            Some(retry_after) => self.refusal(Cause::CrashesUpstreams, retry_after),
            None => self.refusal(Cause::RefusedThere, DEFAULT_RETRY_AFTER),
        }
    }

    /// The refusal after several upstreams had no token of their rate limit; `retry_after` is from
    /// the last one.
    fn rate_limited(&self, retry_after: Duration) -> Refusal {
        self.refusal(Cause::UpstreamsLimit, retry_after)
    }

    /// The refusal after no host had room to relay the request.
    fn no_relay(&self, retry_after: Duration) -> Refusal {
        let spread = retry_after.mul_f64(rand::random());
        self.refusal(Cause::NoRelay, retry_after + spread)
    }

    /// The refusal for `cause` if the request has not run, otherwise one that makes no promise.
    pub(super) fn refusal(&self, cause: Cause, retry_after: Duration) -> Refusal {
        match self.sends.not_run_proof() {
            Some(proof) => Refusal::NotRun {
                proof,
                cause,
                retry_after,
            },
            None if self.is_late(clock::now()) => Refusal::TooLate,
            None => Refusal::MayHaveRun,
        }
    }

    /// The refusal of a request whose time is over.
    pub fn out_of_time(&self) -> Refusal {
        match self.sends.not_run_proof() {
            Some(_) => self.refusal(Cause::NoTime, DEFAULT_RETRY_AFTER),
            None => Refusal::TooLate,
        }
    }
}
