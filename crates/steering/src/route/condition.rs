//! What this host has seen of an upstream.

use std::time::{Duration, Instant};

use super::average::Average;
use super::health::{Answered, Health};
use super::holding::Holding;
use super::pace::ColdPart;
use super::speed::Speed;
use super::suspect::AbandonedRequests;
use crate::statement::{ActiveStatements, Obstacle};

/// Time for which a report of load is believed.
const REPORT_HOLDS: Duration = Duration::from_secs(2);
/// Time over which this host's own requests are averaged, to tell from them those of
/// other hosts: some answers of an upstream.
const AVERAGED_OVER: Duration = Duration::from_millis(1_500);
/// How alike the loads of a region's upstreams are: the shape of their distribution. With 2
/// an upstream's load lies off the usual by some 0.7 of it, as where each looks after a few
/// objects.
const USUAL_SHAPE: f64 = 2.0;
/// Least silence on all requests in flight after which an upstream gets no more.
const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// Times the longest work that is in flight at an upstream after which it is silent, where
/// that is more: work of 2.2 s and more is no sign of one that has vanished.
const SILENT_TIMES: f64 = 1.5;

/// Load and health of one start of an upstream, as this host sees them.
#[derive(Debug, Default)]
pub struct Condition {
    /// Requests of this host that are in flight there.
    in_flight: u32,
    /// Average of these.
    own: Average,
    /// Load by other hosts at the last report, and when that came.
    others: Option<(f64, Instant)>,
    health: Health,
    /// Since when nothing has come back although something is in flight.
    unanswered_since: Option<Instant>,
    /// Longest work in flight, if its object is not held; zero where nothing is.
    work: Duration,
    /// Whether another start has its address.
    replaced: bool,
    /// Requests that it was sent and that were given up.
    pub abandoned: AbandonedRequests,
    /// What it has said of itself.
    pub stated: ActiveStatements,
    /// How much longer than usual it takes.
    pub speed: Speed,
    /// What this host has lately sent it.
    pub holding: Holding,
    /// This host's part of what the upstream bears while cold.
    pub cold_part: ColdPart,
}

impl Condition {
    /// Counts a request that is about to be sent.
    pub fn sent(&mut self, now: Instant) {
        self.own.note(now, f64::from(self.in_flight), AVERAGED_OVER);
        self.in_flight += 1;
        if self.in_flight == 1 {
            self.unanswered_since = Some(now);
        }
        self.stated.sent(now);
    }

    /// Notes how long the work of a request in flight may take.
    pub fn works_for(&mut self, work: Duration) {
        self.work = self.work.max(work);
    }

    /// Takes the head of an answer, or its absence.
    pub fn answered(&mut self, now: Instant, answered: Answered) {
        self.health.take(now, answered);
        if answered.shows_life() {
            self.unanswered_since = (self.in_flight > 0).then_some(now);
        }
    }

    /// Counts a request whose answer has ended.
    pub fn ended(&mut self, now: Instant) {
        self.own.note(now, f64::from(self.in_flight), AVERAGED_OVER);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.unanswered_since = None;
            self.work = Duration::ZERO;
        }
    }

    /// Takes a report of all its load, this host's included.
    pub fn reported(&mut self, now: Instant, running: u32, waiting: u32) {
        // The request whose answer carries the report may be counted or not.
        let all = f64::from(running) + f64::from(waiting);
        let others = all - f64::from(self.in_flight);
        self.others = Some((others.max(0.0), now));
    }

    /// Notes that another start has its address.
    pub fn replaced(&mut self) {
        self.replaced = true;
    }

    /// Requests running and waiting there. Where it has not told lately, other hosts are
    /// taken to send it what this one's own requests and the usual load together let
    /// expect; `hosts` send to it, this one among them. `usual` is the load of such an
    /// upstream, where it is known.
    pub fn load(&self, now: Instant, hosts: usize, usual: Option<f64>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = match self.others.filter(|_| self.load_age(now).is_some()) {
            Some((others, _)) => others,
            None => others(self.own.at(now, own, AVERAGED_OVER), hosts, usual),
        };
        own + others
    }

    /// Age of its last report of load, where it is still believed.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let age = self.others.map(|(_, at)| now.saturating_duration_since(at));
        age.filter(|age| *age < REPORT_HOLDS)
    }

    /// Whether a request that it refused or broke off may be sent to it once more.
    pub fn may_be_asked_again(&self, now: Instant) -> bool {
        let bars = |obstacle: Obstacle| obstacle.is_stated();
        !self.obstacle(now).is_some_and(bars) && self.health.may_be_asked_again(now)
    }

    /// What stands against sending it a request now. All who choose an upstream ask this,
    /// and nothing else: a statement that one of them did not ask for would not be heeded.
    pub fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        let replaced = self.replaced.then_some(Obstacle::Replaced);
        let failed = || self.health.is_paused(now).then_some(Obstacle::Failed);
        let silent = || self.is_silent(now).then_some(Obstacle::Silent);
        let stated = replaced.or_else(|| self.stated.obstacle(now));
        stated.or_else(failed).or_else(silent)
    }

    /// Whether it may be sent a request.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.obstacle(now).is_none()
    }

    fn is_silent(&self, now: Instant) -> bool {
        let patience = SILENT_AFTER.max(self.work.mul_f64(SILENT_TIMES));
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > patience)
    }
}

/// Requests of other hosts at an upstream to which this host has `own` on average.
///
/// What one host of many sends is a small sample: two of its requests at one upstream by
/// chance would stand for two hundred. It is weighed against the usual load as in a Poisson
/// count with a Gamma prior (Gelman et al., "Bayesian Data Analysis", section 2.6).
fn others(own: f64, hosts: usize, usual: Option<f64>) -> f64 {
    let sample = 1.0 / hosts.saturating_sub(1).max(1) as f64;
    match usual.filter(|usual| *usual > 0.0) {
        Some(usual) => (USUAL_SHAPE + own) / (USUAL_SHAPE / usual + sample),
        None if hosts > 1 => own / sample,
        None => 0.0,
    }
}
