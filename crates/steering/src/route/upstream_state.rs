//! Tracks load and health of an upstream as observed by this host.

use std::time::{Duration, Instant};

use super::average::Average;
use super::cold_sends::ColdSends;
use super::health::{AnswerOutcome, Health};
use super::sent_objects::SentObjects;
use super::speed::Speed;
use super::suspect::AbandonedRequests;
use crate::statement::{ActiveStatements, Obstacle};

/// Lifetime of a load report.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Time constant for the average of this host's own requests in flight, which separates
/// them from those of other hosts. It spans several answers of an upstream.
const OWN_LOAD_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
/// Shape of the Gamma distribution assumed for the loads of a region's upstreams. With 2,
/// the load of an upstream deviates from the typical load by about 0.7 of it, as is the
/// case where each upstream serves a few objects.
const LOAD_PRIOR_SHAPE: f64 = 2.0;
/// Minimum time without any answer to the requests in flight after which an upstream gets
/// no more requests.
const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// Multiple of the longest expected work in flight after which an upstream counts as
/// silent, if that is longer than [`SILENT_AFTER`]. Work of 2.2 s and more is not a sign of
/// a vanished upstream.
const SILENT_WORK_FACTOR: f64 = 1.5;

/// Load and health of one start of an upstream process, as observed by this host.
#[derive(Debug, Default)]
pub struct UpstreamState {
    /// Requests of this host in flight to the upstream.
    in_flight: u32,
    /// Average of `in_flight` over time.
    own_average: Average,
    /// Requests of other hosts at the last load report, and the time of the report.
    other_hosts: Option<(f64, Instant)>,
    health: Health,
    /// Time since which no answer arrived while requests are in flight.
    unanswered_since: Option<Instant>,
    /// Longest work time of the requests in flight if their object is not held; zero if
    /// none is in flight.
    longest_work: Duration,
    /// Whether another process start has taken over the address.
    replaced: bool,
    /// Requests that were sent to the upstream and then abandoned.
    pub abandoned: AbandonedRequests,
    /// Statements of the upstream about itself.
    pub statements: ActiveStatements,
    /// Response time relative to the service's typical one.
    pub speed: Speed,
    /// Objects recently sent to the upstream by this host.
    pub sent_objects: SentObjects,
    /// This host's sends within its share of the limit for a cold upstream.
    pub cold_sends: ColdSends,
}

impl UpstreamState {
    /// Counts a request that is about to be sent.
    pub fn request_sent(&mut self, now: Instant) {
        self.own_average
            .note(now, f64::from(self.in_flight), OWN_LOAD_TIME_CONSTANT);
        self.in_flight += 1;
        if self.in_flight == 1 {
            self.unanswered_since = Some(now);
        }
        self.statements.sent(now);
    }

    /// Records the work time that a request in flight may need.
    pub fn note_expected_work(&mut self, work: Duration) {
        self.longest_work = self.longest_work.max(work);
    }

    /// Records the head of an answer, or its absence.
    pub fn answered(&mut self, now: Instant, outcome: AnswerOutcome) {
        self.health.take(now, outcome);
        if outcome.proves_alive() {
            self.unanswered_since = (self.in_flight > 0).then_some(now);
        }
    }

    /// Forgets what failures and silence on a path that is not used any more have shown.
    pub fn path_changed(&mut self, now: Instant) {
        self.health.path_changed();
        self.unanswered_since = (self.in_flight > 0).then_some(now);
    }

    /// Counts a request whose answer has ended.
    pub fn request_ended(&mut self, now: Instant) {
        self.own_average
            .note(now, f64::from(self.in_flight), OWN_LOAD_TIME_CONSTANT);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.unanswered_since = None;
            self.longest_work = Duration::ZERO;
        }
    }

    /// Records a report of the upstream's whole load, this host's requests included.
    pub fn load_reported(&mut self, now: Instant, running: u32, waiting: u32) {
        // The report may or may not count the request whose answer carries the report.
        let all = f64::from(running) + f64::from(waiting);
        let others = all - f64::from(self.in_flight);
        self.other_hosts = Some((others.max(0.0), now));
    }

    /// Records that another process start has taken over the address.
    pub fn replaced(&mut self) {
        self.replaced = true;
    }

    /// Returns the number of requests running and waiting at the upstream. Without a
    /// current report, the load of other hosts is estimated from this host's own requests
    /// and the typical load. `hosts` is the number of hosts that send to the upstream, this
    /// one included; `typical_load` is the typical load of such an upstream, if known.
    pub fn load(&self, now: Instant, hosts: usize, typical_load: Option<f64>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = match self.other_hosts.filter(|_| self.load_age(now).is_some()) {
            Some((others, _)) => others,
            None => estimate_others(
                self.own_average.at(now, own, OWN_LOAD_TIME_CONSTANT),
                hosts,
                typical_load,
            ),
        };
        own + others
    }

    /// Returns the age of the last load report; `None` if it has expired.
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        let age = self
            .other_hosts
            .map(|(_, at)| now.saturating_duration_since(at));
        age.filter(|age| *age < REPORT_LIFETIME)
    }

    /// Returns whether a request that the upstream refused or broke off may be sent there
    /// again.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let is_stated = |obstacle: Obstacle| obstacle.is_stated();
        !self.obstacle(now).is_some_and(is_stated) && self.health.allows_retry(now)
    }

    /// Returns the reason not to send a request to the upstream now. Every selection must
    /// check this function and nothing else: a separate check could miss a statement of the
    /// upstream.
    pub fn obstacle(&self, now: Instant) -> Option<Obstacle> {
        let replaced = self.replaced.then_some(Obstacle::Replaced);
        let failed = || self.health.is_ejected(now).then_some(Obstacle::Failed);
        let silent = || self.is_silent(now).then_some(Obstacle::Silent);
        let stated = replaced.or_else(|| self.statements.obstacle(now));
        stated.or_else(failed).or_else(silent)
    }

    /// Returns whether requests of this host are in flight.
    pub fn is_working(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns whether the upstream may be sent a request.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.obstacle(now).is_none()
    }

    fn is_silent(&self, now: Instant) -> bool {
        let silence_limit = SILENT_AFTER.max(self.longest_work.mul_f64(SILENT_WORK_FACTOR));
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > silence_limit)
    }
}

/// Estimates the requests of other hosts at an upstream at which this host has `own`
/// requests on average.
///
/// The requests of one host out of many are a small sample: two of its requests that happen
/// to be at one upstream would be extrapolated to two hundred. The sample is therefore
/// weighed against the typical load, as a Poisson count with a Gamma prior (Gelman et al.,
/// "Bayesian Data Analysis", section 2.6).
pub(super) fn estimate_others(own: f64, hosts: usize, typical_load: Option<f64>) -> f64 {
    let sample = 1.0 / hosts.saturating_sub(1).max(1) as f64;
    match typical_load.filter(|typical_load| *typical_load > 0.0) {
        Some(typical_load) => (LOAD_PRIOR_SHAPE + own) / (LOAD_PRIOR_SHAPE / typical_load + sample),
        None if hosts > 1 => own / sample,
        None => 0.0,
    }
}
