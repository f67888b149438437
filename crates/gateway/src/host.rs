//! A running host: its threads and shared state.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use derive_more::{Display, Error, From};
use steering::route::{HostCondition, RouteView, StopTimetable};
use store::RecordStore;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::allowances::Allowances;
use crate::control;
use crate::limits::LimitCalls;
use crate::rollouts::RolloutCounters;
use crate::settings::{Bounds, GatewaySettings};
use crate::suspects::SharedSuspects;
use crate::traffic;
use crate::wire_format::WireFormat;

/// Creates the client of the store, on the thread that uses it.
pub type RecordsFactory = Box<dyn FnOnce() -> Box<dyn RecordStore> + Send>;

/// Renders the process's metrics as text.
pub type RenderMetrics = fn() -> String;

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum GatewayError {
    /// The host can't listen on an address.
    #[display("{name} {address}: {source}")]
    #[from(skip)]
    Listen {
        /// Name of the setting with the address.
        name: &'static str,
        /// Value of the setting.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// A thread or its runtime can't be started.
    #[display("{_0}")]
    Thread(io::Error),
}

/// Listening sockets of a host.
pub(crate) struct Sockets {
    pub callers: TcpListener,
    pub ready: TcpListener,
    pub look_ups: TcpListener,
    pub peers: TcpListener,
    pub relays: TcpListener,
    pub metrics: Option<TcpListener>,
}

impl Sockets {
    fn bind(settings: &GatewaySettings) -> Result<Sockets, GatewayError> {
        let bind = |name, address: SocketAddr| {
            let listen = || {
                let listener = TcpListener::bind(address)?;
                listener.set_nonblocking(true)?;
                Ok(listener)
            };
            listen().map_err(|source| GatewayError::Listen {
                name,
                address,
                source,
            })
        };
        Ok(Sockets {
            callers: bind("caller_address", settings.caller_address)?,
            ready: bind("ready_address", settings.ready_address)?,
            look_ups: bind("look_up_address", settings.look_up_address)?,
            peers: bind("peer_address", settings.peer_address)?,
            relays: bind("relay_address", settings.relay_address)?,
            metrics: settings
                .metrics_address
                .map(|address| bind("metrics_address", address))
                .transpose()?,
        })
    }
}

/// Stage of a host's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The host accepts requests.
    Serving,
    /// The host still serves arriving requests, but is not advertised to callers.
    Leaving {
        /// When the host was told to stop.
        since: Instant,
    },
    /// The host has served its last request.
    Ended,
}

/// State shared by the threads of a host.
#[derive(Clone)]
pub(crate) struct Common {
    pub settings: Arc<GatewaySettings>,
    /// Limits in force. Those in `settings` are the initial ones.
    pub bounds: Arc<ArcSwap<Bounds>>,
    pub view: Arc<ArcSwap<RouteView>>,
    /// Age of the document's state.
    pub document_age: Arc<control::FeedAge>,
    pub allowances: Arc<Allowances>,
    pub limits: LimitCalls,
    pub suspects: Arc<SharedSuspects>,
    pub rollouts: Arc<RolloutCounters>,
    /// What this host reports to others about itself.
    pub condition: Arc<ArcSwap<HostCondition>>,
    /// Key shared by all hosts, by which they prove themselves for relays; none until it is known.
    pub relay_key: Arc<ArcSwapOption<Vec<u8>>>,
    pub stage: watch::Receiver<Stage>,
    /// When this host started.
    pub started_at: Instant,
    /// Whether requests can be served, by the latest view.
    pub is_ready: Arc<watch::Sender<bool>>,
}

impl Common {
    pub fn bounds(&self) -> Bounds {
        **self.bounds.load()
    }
}

/// A running host.
pub struct GatewayHost {
    settings: Arc<GatewaySettings>,
    bounds: Arc<ArcSwap<Bounds>>,
    stage: watch::Sender<Stage>,
    traffic: JoinHandle<()>,
    control: JoinHandle<()>,
}

impl GatewayHost {
    /// Starts a host. The host reports that it is not ready until it has a document.
    ///
    /// # Errors
    ///
    /// The host can't listen on an address, or a thread can't be started.
    pub fn start(
        mut settings: GatewaySettings,
        wire_format: Arc<dyn WireFormat>,
        records: RecordsFactory,
        render_metrics: RenderMetrics,
    ) -> Result<GatewayHost, GatewayError> {
        let sockets = Sockets::bind(&settings)?;
        // Port 0 selects a free port. The actual addresses are needed below.
        settings.caller_address = sockets.callers.local_addr()?;
        settings.look_up_address = sockets.look_ups.local_addr()?;
        settings.ready_address = sockets.ready.local_addr()?;
        settings.peer_address = sockets.peers.local_addr()?;
        settings.relay_address = sockets.relays.local_addr()?;
        if let Some(metrics) = &sockets.metrics {
            settings.metrics_address = Some(metrics.local_addr()?);
        }
        let peers = sockets.peers.try_clone()?;
        let settings = Arc::new(settings);
        let (stage, stage_receiver) = watch::channel(Stage::Serving);
        let (limits, limit_calls) = LimitCalls::new();
        let (suspects, work_updates) = SharedSuspects::new(&settings.host);
        let common = Common {
            settings: Arc::clone(&settings),
            bounds: Arc::new(ArcSwap::from_pointee(settings.bounds)),
            view: Arc::default(),
            document_age: Arc::default(),
            allowances: Arc::new(Allowances::new()),
            limits,
            suspects: Arc::new(suspects),
            rollouts: Arc::default(),
            condition: Arc::default(),
            relay_key: Arc::default(),
            stage: stage_receiver,
            started_at: clock::now(),
            is_ready: Arc::default(),
        };
        let bounds = Arc::clone(&common.bounds);
        let shared = common.clone();
        let control = spawn("control", move || async move {
            let incoming = control::Incoming {
                limit_calls,
                work_updates,
            };
            control::run(shared, peers, records(), incoming).await;
        })?;
        let traffic = spawn("traffic", move || async move {
            traffic::run(common, sockets, wire_format, render_metrics).await;
        })?;
        Ok(GatewayHost {
            settings,
            bounds,
            stage,
            traffic,
            control,
        })
    }

    /// Settings of the host, with the addresses that it listens on.
    pub fn settings(&self) -> &GatewaySettings {
        &self.settings
    }

    /// Applies changed settings without interrupting requests. The bounds take effect at once, for
    /// requests in progress too. Other settings require a restart.
    pub fn reload(&self, changed: &GatewaySettings) {
        let before = **self.bounds.load();
        self.bounds.store(Arc::new(changed.bounds));
        let needs_restart = self.settings.fixed_changes(changed);
        let bounds_changed = before != changed.bounds;
        tracing::info!(event = "reload", bounds_changed, ?needs_restart);
    }

    /// Stops the host: no longer advertises it to callers, completes the requests in progress, and
    /// ends within the grace period.
    pub fn stop(self) {
        let since = clock::now();
        tracing::info!(event = "leaving", host = self.settings.host);
        // Both threads may have ended already, so that nobody receives the stage.
        let _ = self.stage.send(Stage::Leaving { since });
        let timetable = StopTimetable::new(self.bounds.load().grace_period, None);
        let deadline = since + timetable.exit;
        wait(&self.traffic, deadline);
        let _ = self.stage.send(Stage::Ended);
        wait(&self.control, deadline);
        let took_ms = clock::elapsed(since).as_millis() as u64;
        tracing::info!(event = "stopped", host = self.settings.host, took_ms);
    }
}

/// Waits for a thread, at most until `deadline`.
fn wait(thread: &JoinHandle<()>, deadline: Instant) {
    while !thread.is_finished() && clock::now() < deadline {
        thread::sleep(STOP_POLL_INTERVAL);
    }
}

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a future and the tasks that it spawns on a new thread.
fn spawn<F>(name: &str, make: impl FnOnce() -> F + Send + 'static) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || LocalSet::new().block_on(&runtime, make()))
}
