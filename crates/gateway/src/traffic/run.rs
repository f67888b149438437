//! A request's run: part, region, upstream, and what follows a miss.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Response;
use hyper::http::request::Parts;
use steering::ids::ServiceName;
use steering::route::{
    Admission, CallerAttempt, Choice, Requirements, RetryDecision, Route, SendOutcome, Sender,
    Unavailable, UnavailableCause, UpstreamId, WorkIdentity, WorkTold, choose, decide_retry,
};
use tokio::task::spawn_local;
use upstream::{Body, WorkBody};

use super::Traffic;
use super::answers::{Cause, Refusal};
use super::destination::Destination;
use super::forward::NO_DOCUMENT_WAIT;
use super::head::Head;
use super::look::Look;
use super::send::{Sending, send};
use super::shares::Shares;
use super::trail::Trail;
use crate::limits::Dry;

/// Time left below which nothing is sent: no answer could come back.
const TIME_LEAST: Duration = Duration::from_millis(5);
/// Usual time of a service that has not answered yet, as a share of the goal.
const USUAL_AT_FIRST: f64 = 0.5;
/// Share of a wait at a full upstream that the least urgent requests accept.
const URGENCY_LEAST: f64 = 0.6;
/// Share that each rank of urgency costs.
const URGENCY_STEP: f64 = 0.2;
/// Upstreams without a token of their limits that a request asks for one. Where many name
/// limits, the first would be asked again and again until the deadline.
const TURNED_AWAY_MOST: u32 = 4;

/// A request on its way.
pub(super) struct Run<'a> {
    pub traffic: &'a Arc<Traffic>,
    pub head: &'a Head,
    pub trail: &'a mut Trail,
    pub route: &'a Route,
    /// Who sends it.
    pub sender: &'a Sender,
    pub parts: Parts,
    pub body: WorkBody,
    /// When it must be answered, whatever with.
    pub deadline: Instant,
    /// Whether its caller came before.
    pub which_try: CallerAttempt,
    /// How far each send got.
    pub sends: Vec<SendOutcome>,
    /// Upstreams that are not asked again: they were full, or could not be reached.
    pub tried: Vec<UpstreamId>,
    /// What it is known by where it comes again.
    pub work: WorkIdentity,
    /// Ends known against it when it was let in.
    pub ends_known: u32,
    /// Upstreams that were chosen and had no token of their limits.
    pub turned_away: u32,
}

/// No upstream could be chosen.
pub(super) struct Unchosen {
    /// What is answered.
    pub refusal: Refusal,
    /// Upstreams that were passed over for what they have said of themselves.
    pub passed_over: Vec<UpstreamId>,
}

impl From<Refusal> for Unchosen {
    fn from(refusal: Refusal) -> Self {
        Unchosen {
            refusal,
            passed_over: Vec::new(),
        }
    }
}

impl Run<'_> {
    /// Sends it until it is answered or given up.
    pub async fn run(&mut self) -> Result<Response<Body>, Refusal> {
        let (admission, ends_known) = self.traffic.common.suspects.admit(self.work);
        self.ends_known = ends_known;
        if admission != Admission::Free {
            self.trail.work = Some(self.work.request);
        }
        if let Admission::Refused(time) = admission {
            return Err(Refusal::NotRun {
                cause: Cause::EndsUpstreams,
                come_back: time,
            });
        }
        let object = self.head.object.as_deref();
        let destination = Destination::find(self.traffic, self.route, self.sender, object);
        self.trail.service.clone_from(&destination.service);
        self.trail.region = destination.region.clone().unwrap_or_default();
        self.trail.object = destination.own_object();
        loop {
            let choice = self.choose(&destination).map_err(|unchosen| {
                self.trail.unchosen(&unchosen);
                unchosen.refusal
            })?;
            let choice = match self.take_token(choice).await {
                Ok(choice) => choice,
                // It is passed over from now on, until there is a token again.
                Err(_) if self.turned_away < TURNED_AWAY_MOST => continue,
                Err(Dry(wait)) => return Err(self.limited(wait)),
            };
            choice.note_sent(clock::now(), destination.own_object());
            if let Some(answer) = self.send(&choice).await {
                return Ok(answer);
            }
            if self.after_miss(&destination.service) != RetryDecision::Retry {
                return Err(self.given_up());
            }
        }
    }

    /// Takes a token of the limit that the chosen upstream names, where it names one: any send
    /// counts, whichever way it was chosen.
    async fn take_token(&mut self, choice: Choice) -> Result<Choice, Dry> {
        let Some(heard) = choice.limit(clock::now()) else {
            return Ok(choice);
        };
        let begun = clock::now();
        let limits = &self.traffic.common.limits;
        let token = limits.token(&choice, heard, self.urgency()).await;
        let waited = self.trail.limit_ms.unwrap_or(0);
        self.trail.limit_ms = Some(waited + clock::elapsed(begun).as_millis() as u64);
        self.turned_away += u32::from(token.is_err());
        token.map(|()| Choice {
            has_token: true,
            ..choice
        })
    }

    /// Sends it once; none where no answer came that may be passed on.
    async fn send(&mut self, choice: &Choice) -> Option<Response<Body>> {
        let report = &choice.upstream.report;
        self.trail.chose(choice);
        self.sends.push(SendOutcome::Not);
        let sent = self.sends.last_mut().expect("it was just pushed");
        let mut sending = Sending {
            head: self.head,
            parts: &self.parts,
            body: &mut self.body,
            repeatable: self.route.repeatable,
            deadline: self.deadline,
            route: &self.route.name,
            sender: self.sender,
            work: self.work,
            ends_known: self.ends_known,
        };
        let begun = clock::now();
        let missed = match send(self.traffic, choice, &mut sending, sent).await {
            Ok(answer) => {
                let sent_ms = clock::elapsed(begun).as_millis() as u32;
                let told = WorkTold::Answered { sent_ms };
                self.traffic.common.suspects.learn(self.work, told);
                return Some(answer);
            }
            Err(missed) => missed,
        };
        tracing::warn!(
            event = "send_missed",
            id = self.head.id,
            upstream = report.id,
            address = %report.address,
            sent = ?missed.sent,
            reason = missed.reason
        );
        *sent = missed.sent;
        if missed.was_closed {
            let look = Look {
                traffic: Arc::clone(self.traffic),
                upstream: Arc::clone(&choice.upstream),
                id: self.head.id.clone(),
                work: self.work,
                sent: begun,
            };
            // It goes on where the caller leaves, or the request's time is over.
            let _ = spawn_local(look.run()).await;
        }
        let is_lost = missed.sent == SendOutcome::Not && !missed.lacks_token;
        let may_be_asked = || choice.upstream.allows_retry(clock::now());
        if is_lost || (missed.sent != SendOutcome::Not && !may_be_asked()) {
            self.tried.push(report.id.clone());
        }
        None
    }

    fn choose(&self, destination: &Destination) -> Result<Choice, Unchosen> {
        let service = &destination.service;
        let now = clock::now();
        if self.is_late(now) {
            return Err(self.out_of_time().into());
        }
        let view = self.traffic.common.view.load_full();
        let nowhere = Unavailable::unreachable(NO_DOCUMENT_WAIT);
        let Some(pool) = view.services.get(service) else {
            return Err(self.unchosen(nowhere));
        };
        let (usual, estimate) = {
            let mut shares = self.traffic.shares();
            (shares.usual(service), shares.estimate(service, self.route))
        };
        let settings = &self.traffic.common.settings;
        let bounds = self.traffic.common.bounds();
        let mut wish = Requirements {
            object: destination.object,
            by_object: destination.by_object,
            latency_goal: self.route.goal,
            urgency: self.urgency(),
            excluded: &self.tried,
            typical_work: usual.unwrap_or(self.route.goal.mul_f64(USUAL_AT_FIRST)),
            estimate: &estimate,
            elapsed: now.saturating_duration_since(self.head.arrived),
            terms: pool.terms.as_ref(),
            cold_limit_per_s: &|bears| Shares::cold_bound(&bounds, bears),
            this_host: &settings.host,
            region_hosts: None,
        };
        let mut no_room = nowhere;
        for (region, pool) in destination.regions_to_ask(pool, self.route, self.sender) {
            let near = *region == settings.region;
            wish.region_hosts = view.region_hosts.as_deref().filter(|_| near);
            match choose(pool, &wish, now) {
                Ok(choice) => return Ok(choice),
                Err(refused) => no_room = refused,
            }
            // A full region is not left at once: shares between regions move slowly.
            if no_room.is_reachable() {
                break;
            }
        }
        Err(self.unchosen(no_room))
    }

    /// More urgent requests accept longer waits, so that they are refused last.
    fn urgency(&self) -> f64 {
        let of_customer = self
            .sender
            .customer()
            .and_then(|customer| customer.priority);
        let priority = of_customer.unwrap_or(self.route.priority);
        let rank = f64::from(priority.saturating_sub(1));
        (1.0 - URGENCY_STEP * rank).max(URGENCY_LEAST)
    }

    fn after_miss(&self, service: &ServiceName) -> RetryDecision {
        let reached = self.sends.iter().filter(|sent| **sent != SendOutcome::Not);
        let reached = reached.count() as u32;
        let may_have_run = self.sends.contains(&SendOutcome::Perhaps);
        let pointless = may_have_run && !self.route.repeatable;
        let suspects = &self.traffic.common.suspects;
        let may_send_again = !pointless
            && reached < self.route.attempts
            && suspects.may_be_repeated(self.work)
            && (reached == 0 || self.take_repeat(service));
        decide_retry(&self.sends, self.route.repeatable, may_send_again)
    }

    fn take_repeat(&self, service: &ServiceName) -> bool {
        let sharers = self.traffic.common.view.load().sharing_hosts;
        let now = clock::now();
        let bounds = self.traffic.common.bounds();
        let mut shares = self.traffic.shares();
        let allowed = shares.repeat(service, &bounds, sharers, self.which_try, now);
        drop(shares);
        metrics::counter!("stagedeck_repeats_total", "allowed" => allowed.to_string()).increment(1);
        allowed
    }

    fn is_late(&self, now: Instant) -> bool {
        self.deadline.saturating_duration_since(now) < TIME_LEAST
    }

    /// What is answered where it may be sent to no other upstream.
    fn given_up(&self) -> Refusal {
        if self.is_late(clock::now()) {
            return self.out_of_time();
        }
        match decide_retry(&self.sends, self.route.repeatable, false) {
            RetryDecision::NotRun => self.not_sent(),
            _ => Refusal::MayHaveRun,
        }
    }

    /// What is answered where nothing has run: the upstreams refused it, or its work is refused
    /// since it was let in.
    fn not_sent(&self) -> Refusal {
        let suspects = &self.traffic.common.suspects;
        match suspects.barred_for(self.work, self.ends_known) {
            Some(come_back) => Refusal::NotRun {
                cause: Cause::EndsUpstreams,
                come_back,
            },
            None => Refusal::NotRun {
                cause: Cause::RefusedThere,
                come_back: NO_DOCUMENT_WAIT,
            },
        }
    }

    fn unchosen(&self, no_room: Unavailable) -> Unchosen {
        Unchosen {
            refusal: self.given_up_with(not_run(&no_room)),
            passed_over: no_room.passed_over,
        }
    }

    /// What is answered where several upstreams had no token, the last one for so long.
    fn limited(&self, come_back: Duration) -> Refusal {
        self.given_up_with(Refusal::NotRun {
            cause: Cause::UpstreamsLimit,
            come_back,
        })
    }

    /// `not_run` where that is true.
    fn given_up_with(&self, not_run: Refusal) -> Refusal {
        match self.given_up() {
            Refusal::NotRun { .. } => not_run,
            refusal => refusal,
        }
    }

    /// What is answered when its time is over.
    pub fn out_of_time(&self) -> Refusal {
        match decide_retry(&self.sends, self.route.repeatable, false) {
            RetryDecision::NotRun => Refusal::NotRun {
                cause: Cause::NoTime,
                come_back: NO_DOCUMENT_WAIT,
            },
            _ => Refusal::TooLate,
        }
    }
}

/// The refusal of a request that has not run. Callers that are refused together are told
/// times apart.
fn not_run(no_room: &Unavailable) -> Refusal {
    Refusal::NotRun {
        cause: match no_room.cause {
            UnavailableCause::Unreachable => Cause::NoUpstream,
            UnavailableCause::Resting => Cause::UpstreamsRest,
            UnavailableCause::RateLimited => Cause::UpstreamsLimit,
            UnavailableCause::Full => Cause::NoRoom,
        },
        come_back: no_room.retry_after + no_room.retry_spread.mul_f64(rand::random()),
    }
}
