//! Selects the upstream of a request.

use std::time::Instant;

use steering::ids::RegionName;
use steering::route::{
    Choice, LastResort, RegionPool, Requirements, ServicePool, Unavailable, UnavailableCause,
    UpstreamId, choose,
};

use super::answers::{Cause, Refusal};
use super::destination::{Destination, knows_rollout};
use super::forward::DEFAULT_RETRY_AFTER;
use super::run::Run;
use super::stats::TrafficStats;

/// Assumed response time of a service that has not answered yet, as a fraction of the latency goal.
const INITIAL_LATENCY_FRACTION: f64 = 0.5;

/// No upstream could be selected.
pub(super) struct SelectionError {
    /// The refusal to answer with.
    pub refusal: Refusal,
    /// Upstreams skipped because of what they declared about themselves.
    pub passed_over: Vec<UpstreamId>,
}

impl From<Refusal> for SelectionError {
    fn from(refusal: Refusal) -> Self {
        SelectionError {
            refusal,
            passed_over: Vec::new(),
        }
    }
}

impl Run<'_> {
    pub(super) fn select_upstream(
        &self,
        destination: &Destination,
    ) -> Result<Choice, SelectionError> {
        let service = &destination.service;
        let now = clock::now();
        if self.is_late(now) {
            return Err(self.out_of_time().into());
        }
        let view = self.traffic.common.view.load_full();
        let unreachable = Unavailable::unreachable(DEFAULT_RETRY_AFTER);
        let Some(pool) = view.services.get(service) else {
            return Err(self.selection_error(unreachable));
        };
        let (average_latency, estimate) = {
            let mut stats = self.traffic.stats();
            (
                stats.average_latency(service),
                stats.estimate(service, self.route),
            )
        };
        let typical_work =
            average_latency.unwrap_or(self.route.goal.mul_f64(INITIAL_LATENCY_FRACTION));
        let settings = &self.traffic.common.settings;
        let bounds = self.traffic.common.bounds();
        let mut requirements = Requirements {
            object: destination.object,
            by_object: destination.by_object,
            latency_goal: self.route.goal,
            urgency: self.urgency(),
            excluded: &self.excluded,
            part: None,
            typical_work,
            estimate: &estimate,
            elapsed: now.saturating_duration_since(self.head.arrived),
            terms: pool.terms.as_ref(),
            cold_limit_per_s: &|capacity_per_s| {
                TrafficStats::cold_send_rate(&bounds, capacity_per_s)
            },
            this_host: &settings.host,
            region_hosts: None,
            running_for: now.saturating_duration_since(self.traffic.common.started_at),
        };
        let mut unavailable = unreachable;
        for (region, pool) in destination.regions_to_ask(pool, self.route, self.sender) {
            let is_own_region = *region == settings.region;
            requirements.region_hosts = view.region_hosts.as_deref().filter(|_| is_own_region);
            let part = self.traffic.stats().part(service, self.route, region);
            let part = part.filter(|_| pool.is_divisible());
            requirements.part = part.map(|(part, _)| part);
            requirements.typical_work = part.map_or(typical_work, |(_, average)| average);
            let chosen = match pool.other_version.as_deref() {
                Some(other) => self.choose_version(pool, other, destination, &requirements, now),
                None => choose(pool, &requirements, now),
            };
            match chosen {
                Ok(choice) => return Ok(choice),
                Err(error) => unavailable = error,
            }
            // A request does not leave a region that is merely full: the shares between regions are
            // shifted gradually.
            if unavailable.is_reachable() {
                break;
            }
        }
        let last_resort = self.versions_of_last_resort(pool, destination, &unavailable, now);
        for (region, other) in last_resort {
            let is_own_region = *region == settings.region;
            requirements.region_hosts = view.region_hosts.as_deref().filter(|_| is_own_region);
            if let Ok(choice) = choose(other, &requirements, now) {
                metrics::counter!("stagedeck_last_resort_sends_total").increment(1);
                return Ok(choice);
            }
        }
        Err(self.selection_error(unavailable))
    }

    /// The upstreams on trial by region, if this host may use them because it is cut off and
    /// the old version is gone.
    fn versions_of_last_resort<'p>(
        &self,
        pool: &'p ServicePool,
        destination: &Destination,
        unavailable: &Unavailable,
        now: Instant,
    ) -> Vec<(&'p RegionName, &'p RegionPool)> {
        let trial = pool.rollout.as_ref();
        let Some(trial) = trial.filter(|rollout| rollout.trial_per_mille.is_some()) else {
            return Vec::new();
        };
        let common = &self.traffic.common;
        let service = &destination.service;
        let last_resort = LastResort {
            is_in_touch: knows_rollout(self.traffic, &common.bounds(), now),
            unavailable,
            counts: &common.rollouts.counts(service, trial.order_revision),
        };
        if !last_resort.allows() {
            return Vec::new();
        }
        let regions = destination.regions_to_ask(pool, self.route, self.sender);
        let others = regions.into_iter().filter_map(|(region, pool)| {
            let other = pool.other_version.as_deref()?;
            Some((region, other))
        });
        others.collect()
    }

    /// Selects an upstream during a roll-out, in which some upstreams have another version.
    fn choose_version(
        &self,
        pool: &RegionPool,
        other: &RegionPool,
        destination: &Destination,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> Result<Choice, Unavailable> {
        let may_try = destination.is_on_trial && self.sends.is_empty();
        if may_try && let Ok(choice) = choose(other, requirements, now) {
            let counters = &self.traffic.common.rollouts;
            counters.sent_on_trial(&destination.service);
            return Ok(choice);
        }
        let view = self.traffic.common.view.load();
        let rollout = view.services.get(&destination.service);
        let rollout = rollout.and_then(|pool| pool.rollout.as_ref());
        if rollout.is_some_and(|rollout| rollout.trial_per_mille.is_some()) {
            return choose(pool, requirements, now);
        }
        // All requests go to the new version, unless this host no longer knows that.
        let bounds = self.traffic.common.bounds();
        let (first, second) = match knows_rollout(self.traffic, &bounds, now) {
            true => (pool, other),
            false => (other, pool),
        };
        choose(first, requirements, now).or_else(|_| choose(second, requirements, now))
    }

    fn selection_error(&self, unavailable: Unavailable) -> SelectionError {
        let cause = match unavailable.cause {
            UnavailableCause::Unreachable => Cause::NoUpstream,
            UnavailableCause::Resting => Cause::UpstreamsRest,
            UnavailableCause::RateLimited => Cause::UpstreamsLimit,
            UnavailableCause::Full => Cause::NoRoom,
        };
        // Callers that are refused together must not return together.
        let spread = unavailable.retry_spread.mul_f64(rand::random());
        SelectionError {
            refusal: self.refusal(cause, unavailable.retry_after + spread),
            passed_over: unavailable.passed_over,
        }
    }
}
