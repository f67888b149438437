//! Callers' requests, look-ups and checks, all on one thread.

mod answers;
mod destination;
mod forward;
mod head;
mod hear;
mod look;
mod look_up;
mod operator;
mod run;
mod send;
mod server;
mod shares;
mod trail;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::ids::ServiceName;
use steering::route::{ServicePool, StatementCounts};
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::Connections;

use crate::dialect::Dialect;
use crate::host::{Common, RenderMetrics, Sockets, Stage};
use hear::Unread;
use shares::Shares;

/// Time for which a leaving host still takes new connections: callers hold its address
/// for as long as a look-up's answer holds. At most half of the grace.
const TAKES_NEW_FOR: Duration = Duration::from_secs(3);
/// Pace at which shares are adapted to load.
const ADAPT_EVERY: Duration = Duration::from_secs(1);
/// Pace at which a leaving host looks whether it has served its last request.
const LAST_POLL: Duration = Duration::from_millis(20);

/// The traffic thread's state.
pub(crate) struct Traffic {
    common: Common,
    dialect: Arc<dyn Dialect>,
    connections: Connections,
    render_metrics: RenderMetrics,
    shares: Mutex<Shares>,
    /// What upstreams say of themselves and nothing reads.
    unread: Unread,
    /// Callers' connections that are open. One ends only when its last answer has been
    /// written whole.
    open: AtomicU32,
}

impl Traffic {
    fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time for which a leaving host still takes new connections.
    fn takes_new_for(&self) -> Duration {
        TAKES_NEW_FOR.min(self.common.bounds().grace / 2)
    }

    fn is_leaving(&self) -> bool {
        *self.common.stage.borrow() != Stage::Serving
    }
}

/// Serves until the host leaves and the last connection has ended.
pub(crate) async fn run(
    common: Common,
    sockets: Sockets,
    dialect: Arc<dyn Dialect>,
    render_metrics: RenderMetrics,
) {
    let mut stage = common.stage.clone();
    let traffic = Arc::new(Traffic {
        shares: Mutex::new(Shares::new(&common.settings)),
        connections: Connections::default(),
        unread: Unread::default(),
        open: AtomicU32::default(),
        dialect,
        render_metrics,
        common,
    });
    let callers = server::accept(&traffic, sockets.callers, server::Side::Callers);
    server::accept(&traffic, sockets.ready, server::Side::Checks);
    server::accept(&traffic, sockets.look_ups, server::Side::Checks);
    if let Some(metrics) = sockets.metrics {
        server::accept(&traffic, metrics, server::Side::Metrics);
    }
    spawn_local(adapt(Arc::clone(&traffic)));
    // The sender ends with the host.
    let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
    sleep(traffic.takes_new_for()).await;
    callers.abort();
    while traffic.open.load(Ordering::Relaxed) > 0 {
        sleep(LAST_POLL).await;
    }
}

async fn adapt(traffic: Arc<Traffic>) {
    let mut last = clock::now();
    loop {
        sleep(ADAPT_EVERY).await;
        let now = clock::now();
        let view = traffic.common.view.load_full();
        let bounds = traffic.common.bounds();
        traffic.shares().adapt(&view, &bounds, now, now - last);
        last = now;
        let open = traffic.open.load(Ordering::Relaxed);
        metrics::gauge!("stagedeck_caller_connections").set(open);
        metrics::gauge!("stagedeck_document_version").set(view.version as f64);
        metrics::gauge!("stagedeck_works_refused")
            .set(traffic.common.suspects.refused().len() as f64);
        metrics::gauge!("stagedeck_sharers").set(view.sharing_hosts.unwrap_or(0) as f64);
        for (service, pool) in view.services.iter() {
            count_stated(service, pool, now);
        }
    }
}

fn count_stated(service: &ServiceName, pool: &ServicePool, now: Instant) {
    let StatementCounts {
        resting,
        leaving,
        limiting,
    } = pool.statement_counts(now);
    let service = || service.clone();
    metrics::gauge!("stagedeck_upstreams_resting", "service" => service()).set(resting as f64);
    metrics::gauge!("stagedeck_upstreams_leaving", "service" => service()).set(leaving as f64);
    metrics::gauge!("stagedeck_upstreams_limiting", "service" => service()).set(limiting as f64);
}
