//! What requests show of versions on trial, shared between the threads of a host.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use steering::ids::{RuleName, ServiceName};
use steering::route::{
    AnswerQuality, ExposureBound, RouteCounts, ServiceRollout, TrialShare, Upstream,
};

/// Counters of the services with a roll-out.
#[derive(Default)]
pub(crate) struct RolloutCounters {
    /// Whether there are any, so that requests of other deployments take no lock.
    is_active: AtomicBool,
    services: Mutex<HashMap<ServiceName, ServiceCounters>>,
}

/// Counters of one service since its order.
#[derive(Default)]
struct ServiceCounters {
    order_revision: u64,
    version: String,
    share: TrialShare,
    routes: BTreeMap<RuleName, RouteCounts>,
}

impl RolloutCounters {
    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceCounters>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request to a service with a roll-out. Returns whether it may be sent to the
    /// version on trial. `object_position` is the position of its object from 0 to 1.
    pub fn request_received(
        &self,
        service: &ServiceName,
        rollout: &ServiceRollout,
        bound: ExposureBound,
        object_position: f64,
    ) -> bool {
        let mut services = self.services();
        let counters = services.entry(service.clone()).or_default();
        if counters.order_revision != rollout.order_revision {
            *counters = ServiceCounters {
                order_revision: rollout.order_revision,
                version: rollout.version.clone(),
                share: TrialShare::new(rand::random()),
                ..ServiceCounters::default()
            };
        }
        self.is_active.store(true, Ordering::Relaxed);
        counters.share.received(rollout.order_revision);
        let share = rollout.trial_per_mille;
        share.is_some_and(|share| counters.share.may_send(bound, share, object_position))
    }

    /// Counts a request that is sent to the version on trial.
    pub fn sent_on_trial(&self, service: &str) {
        if let Some(counters) = self.services().get_mut(service) {
            counters.share.sent();
        }
    }

    /// Counts an answer, or its absence.
    pub fn answered(&self, route: &RuleName, upstream: &Upstream, quality: AnswerQuality) {
        if !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let report = &upstream.report;
        if let Some(counters) = self.services().get_mut(&report.service) {
            let is_new = report.version == counters.version;
            let counts = counters.routes.entry(route.clone()).or_default();
            match is_new {
                true => counts.new.add(quality),
                false => counts.old.add(quality),
            }
        }
    }

    /// The answers counted for a service since an order.
    pub fn counts(&self, service: &str, order_revision: u64) -> BTreeMap<RuleName, RouteCounts> {
        let services = self.services();
        let counters = services.get(service);
        let counters = counters.filter(|counters| counters.order_revision == order_revision);
        counters.map_or_else(BTreeMap::new, |counters| counters.routes.clone())
    }

    /// Drops the counters of services without a roll-out.
    pub fn retain(&self, is_active: impl Fn(&ServiceName) -> bool) {
        let mut services = self.services();
        services.retain(|service, _| is_active(service));
        self.is_active
            .store(!services.is_empty(), Ordering::Relaxed);
    }
}
