//! Observations of this host, which outlive a view.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use super::catalog::Listed;
use super::region_load::RegionLoad;
use super::upstream::{LazyState, Upstream};
use super::upstream_state::UpstreamState;
use super::zone_health::ZoneHealth;
use crate::ids::{RegionName, ServiceName, ZoneName};

/// One start of an upstream process.
#[derive(Debug, Default)]
struct ObservedUpstream {
    state: Arc<LazyState>,
    /// The upstream as in the last view; shared with the next one unless it changes.
    upstream: Option<Arc<Upstream>>,
    /// Whether the catalog lists the start.
    is_listed: bool,
}

/// Observations of this host, which outlive a view.
#[derive(Debug, Default)]
pub struct ObservedState {
    /// By the hash of the start: each start of an upstream process has its own entry, even if
    /// two starts share an identity.
    upstreams: HashMap<u64, ObservedUpstream>,
    zones: HashMap<ZoneName, Arc<Mutex<ZoneHealth>>>,
    regions: HashMap<(ServiceName, RegionName), Arc<Mutex<RegionLoad>>>,
}

impl ObservedState {
    /// Forgets which starts are listed, before a view is built.
    pub(super) fn begin_view(&mut self) {
        for observed in self.upstreams.values_mut() {
            observed.is_listed = false;
        }
    }

    /// Records that a start is listed but gets no requests.
    pub(super) fn note_unused(&mut self, listed: &Listed) {
        let observed = self.upstreams.entry(listed.start_hash).or_default();
        observed.is_listed = true;
        observed.upstream = None;
    }

    /// Returns whether requests of this host run at a listed start, also if it gets no more.
    pub fn is_working(&self, listed: &Listed) -> bool {
        let observed = self.upstreams.get(&listed.start_hash);
        let state = observed.and_then(|observed| observed.state.get());
        state.is_some_and(|state| state.is_working())
    }

    /// Returns the upstream of a listed start, the same as in the last view unless it has
    /// changed.
    pub(super) fn upstream(
        &mut self,
        listed: &Listed,
        region: &RegionName,
        cold_until: Option<Instant>,
    ) -> Arc<Upstream> {
        let report = &listed.report;
        let observed = self.upstreams.entry(listed.start_hash).or_default();
        observed.is_listed = true;
        let is_same = |upstream: &&Arc<Upstream>| {
            Arc::ptr_eq(&upstream.report, report) && upstream.cold_until == cold_until
        };
        if let Some(upstream) = observed.upstream.as_ref().filter(is_same) {
            return Arc::clone(upstream);
        }
        let zone = self.zones.entry(report.zone.clone()).or_default();
        let at = (report.service.clone(), region.clone());
        let region = self.regions.entry(at).or_default();
        let upstream = Arc::new(Upstream {
            hash: crate::rendezvous::hash(report.id.as_bytes()),
            cold_until,
            state: Arc::clone(&observed.state),
            zone: Arc::clone(zone),
            region: Arc::clone(region),
            report: Arc::clone(report),
        });
        observed.upstream = Some(Arc::clone(&upstream));
        upstream
    }

    /// Drops what is no longer needed after a view was built. `has_service` says whether a
    /// service has upstreams.
    pub(super) fn end_view(&mut self, now: Instant, has_service: impl Fn(&str) -> bool) {
        self.regions.retain(|(service, _), _| has_service(service));
        self.upstreams.retain(|_, observed| {
            if !observed.is_listed {
                observed.upstream = None;
            }
            observed.is_listed || must_be_kept(&observed.state, now)
        });
    }
}

/// Returns whether the observations of a process start without a report must be kept. The
/// report may come back, and the upstream's statements still hold then. A request in flight
/// holds the state as well, as its answer may bring a statement.
fn must_be_kept(state: &Arc<LazyState>, now: Instant) -> bool {
    let is_remembered = |state: MutexGuard<'_, UpstreamState>| state.statements.is_remembered(now);
    Arc::strong_count(state) > 1 || state.get().is_some_and(is_remembered)
}
