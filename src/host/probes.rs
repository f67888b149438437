//! Asks the upstreams of the pools that this host admits to for their load.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ::caller::SharedState;
use steering::document::Upstream;
use tokio::time::interval;

const EVERY: Duration = Duration::from_millis(250);
const WITHIN: Duration = Duration::from_millis(1_000);

/// Names of upstreams that are being asked.
type Asked = Arc<Mutex<HashSet<String>>>;

/// Probes for as long as the runtime lives.
pub async fn run(shared: Arc<SharedState>) {
    let asked = Asked::default();
    let mut timer = interval(EVERY);
    loop {
        timer.tick().await;
        for (pool, upstream) in held_upstreams(&shared) {
            let first = lock(&asked).insert(upstream.name.clone());
            if first {
                tokio::spawn(ask(Arc::clone(&shared), pool, upstream, Arc::clone(&asked)));
            }
        }
    }
}

fn held_upstreams(shared: &SharedState) -> Vec<(String, Arc<Upstream>)> {
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
            let named = |upstream: &Arc<Upstream>| (pool.key.clone(), Arc::clone(upstream));
            pool.upstreams.iter().map(named)
        })
        .collect()
}

async fn ask(shared: Arc<SharedState>, pool: String, upstream: Arc<Upstream>, asked: Asked) {
    // Measured no earlier than it was asked for.
    let measured = clock::now();
    let limit = upstream.connection_limit;
    let report = upstream::probe(&shared.connections, upstream.address, limit, WITHIN).await;
    if let Err(error) = &report {
        tracing::debug!(event = "probe_failed", upstream = upstream.name, %error);
    }
    shared
        .pools
        .report(&pool, &upstream.name, measured, report.ok());
    lock(&asked).remove(&upstream.name);
}

fn lock(asked: &Asked) -> std::sync::MutexGuard<'_, HashSet<String>> {
    asked.lock().unwrap_or_else(PoisonError::into_inner)
}
