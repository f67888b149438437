//! A stand-in for an upstream: slots, cold start, sheds, lagging or lying load
//! reports, cut answers, and a count of each operation that it ran.

mod answer;

pub use answer::OPERATION_HEADER;

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ::upstream::LOAD_PATH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use steering::pool::LoadReport;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// How a stand-in upstream behaves; may be changed while it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Behaviour {
    /// Requests that run at the same time; more are shed.
    pub slots: u32,
    /// Connections; more are closed at once.
    pub connection_limit: u32,
    /// Time of a request when warm.
    pub service_time: Duration,
    /// Requests until it is warm.
    pub cold_requests: u32,
    /// Factor on the time of a request while it is cold.
    pub cold_factor: f64,
    /// Whether every request is shed.
    pub shed_all: bool,
    /// Rest that is asked for with each that is shed.
    pub rest: Option<Duration>,
    /// Answer every request with this status, without running it.
    pub reject_with: Option<u16>,
    /// Whether it reports itself as unhealthy, or does not answer probes at all.
    pub health: Health,
    /// What is added to the reported load.
    pub load_lie: i64,
    /// Break off every answer after so many bytes of its body.
    pub cut_after_bytes: Option<u64>,
    /// Run the request, then close the connection without an answer.
    pub drop_after_run: bool,
    /// Close the connection on arrival, without running anything.
    pub drop_before_run: bool,
}

/// What it says of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It is well.
    Well,
    /// It says that it is not.
    Unwell,
    /// It does not answer.
    Silent,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            slots: 9,
            connection_limit: 330,
            service_time: Duration::from_millis(5),
            cold_requests: 0,
            cold_factor: 1.0,
            shed_all: false,
            rest: None,
            reject_with: None,
            health: Health::Well,
            load_lie: 0,
            cut_after_bytes: None,
            drop_after_run: false,
            drop_before_run: false,
        }
    }
}

/// What a stand-in upstream has done.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct UpstreamCounts {
    /// Requests that ran.
    pub ran: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Most requests in flight at the same time.
    pub peak_in_flight: u32,
    /// Times that each operation ran, by its identity.
    pub operations: HashMap<String, u32>,
}

pub(crate) struct Inner {
    name: String,
    behaviour: Mutex<Behaviour>,
    counts: Mutex<UpstreamCounts>,
    in_flight: AtomicU32,
    downloads: AtomicU32,
    connections: AtomicU32,
    served: AtomicU64,
    last_arrival: Mutex<Option<Instant>>,
    stopped: AtomicBool,
}

/// The stand-in; it ends when dropped.
pub struct StandInUpstream {
    address: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

impl StandInUpstream {
    /// Starts on an address, on a runtime; port 0 takes any free one.
    pub fn start(
        name: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        runtime: &Handle,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            behaviour: Mutex::new(behaviour),
            counts: Mutex::default(),
            in_flight: AtomicU32::new(0),
            downloads: AtomicU32::new(0),
            connections: AtomicU32::new(0),
            served: AtomicU64::new(0),
            last_arrival: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let task = runtime.spawn(accept(listener, Arc::clone(&inner)));
        Ok(StandInUpstream {
            address,
            inner,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it behaves from now on.
    pub fn behave(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.inner.behaviour));
    }

    /// What it has done.
    pub fn counts(&self) -> UpstreamCounts {
        lock(&self.inner.counts).clone()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Archives that are being sent.
    pub fn downloads(&self) -> u32 {
        self.inner.downloads.load(Ordering::Acquire)
    }

    /// When the last request came.
    pub fn last_arrival(&self) -> Option<Instant> {
        *lock(&self.inner.last_arrival)
    }
}

impl Drop for StandInUpstream {
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::Release);
        self.task.abort();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inner {
    fn behaviour(&self) -> Behaviour {
        lock(&self.behaviour).clone()
    }

    fn report(&self, behaviour: &Behaviour) -> LoadReport {
        let in_flight = i64::from(self.in_flight.load(Ordering::Acquire)) + behaviour.load_lie;
        LoadReport {
            in_flight: in_flight.max(0) as u32,
            healthy: behaviour.health == Health::Well,
        }
    }
}

async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = tasks.join_next(), if !tasks.is_empty() => continue,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let limit = inner.behaviour().connection_limit;
        if inner.connections.fetch_add(1, Ordering::AcqRel) >= limit {
            inner.connections.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let inner = Arc::clone(&inner);
        tasks.spawn(async move {
            let service = service_fn(|request| answer::answer(Arc::clone(&inner), request));
            // How a connection ends is seen by the other side.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            inner.connections.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

/// Refuses a connection by ending it.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub(crate) enum Refusal {
    /// The connection is closed without an answer.
    #[display("closed without an answer")]
    Closed,
}

impl From<Infallible> for Refusal {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Whether a path is the load report.
pub(crate) fn is_load(path: &str) -> bool {
    path == LOAD_PATH
}
