//! Probes the upstreams of this host's pools for load reports.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ::caller::SharedState;
use steering::document::Upstream;
use tokio::time::interval;

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Names of upstreams with a probe in progress.
type ProbesInProgress = Arc<Mutex<HashSet<String>>>;

/// Probes all upstreams at regular intervals, until the runtime shuts down.
pub async fn run(shared: Arc<SharedState>) {
    let in_progress = ProbesInProgress::default();
    let mut timer = interval(PROBE_INTERVAL);
    loop {
        timer.tick().await;
        for (pool, upstream) in pool_upstreams(&shared) {
            let is_new = lock(&in_progress).insert(upstream.name.clone());
            if is_new {
                tokio::spawn(probe(
                    Arc::clone(&shared),
                    pool,
                    upstream,
                    Arc::clone(&in_progress),
                ));
            }
        }
    }
}

/// Upstreams of this host's pools, each with the key of its pool.
fn pool_upstreams(shared: &SharedState) -> Vec<(String, Arc<Upstream>)> {
    let view = shared.view.load();
    let zones = view
        .plan
        .services
        .values()
        .filter_map(|service| service.zone(&view.me.zone));
    zones
        .flat_map(|zone| &zone.pools)
        .filter(|pool| shared.pools.has(&pool.key))
        .flat_map(|pool| {
            let with_pool = |upstream: &Arc<Upstream>| (pool.key.clone(), Arc::clone(upstream));
            pool.upstreams.iter().map(with_pool)
        })
        .collect()
}

async fn probe(
    shared: Arc<SharedState>,
    pool: String,
    upstream: Arc<Upstream>,
    in_progress: ProbesInProgress,
) {
    // The upstream measures its load after this time, so the report is no older.
    let measured = clock::now();
    let limit = upstream.connection_limit;
    let report = upstream::probe(&shared.connections, upstream.address, limit, PROBE_TIMEOUT).await;
    if let Err(error) = &report {
        tracing::debug!(event = "probe_failed", upstream = upstream.name, %error);
    }
    shared
        .pools
        .report(&pool, &upstream.name, measured, report.ok());
    lock(&in_progress).remove(&upstream.name);
}

fn lock(in_progress: &ProbesInProgress) -> std::sync::MutexGuard<'_, HashSet<String>> {
    in_progress.lock().unwrap_or_else(PoisonError::into_inner)
}
