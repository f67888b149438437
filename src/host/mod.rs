//! A running host: its threads and how they are wired.

mod claims;
mod configuration;
mod control;
mod handler;
mod loans;
mod operator;
mod probes;
mod report;
mod spread;
mod state;
mod views;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ::caller::{Listeners, SharedConfig, SharedState};
use ::operator::OperatorServer;
use derive_more::{Display, Error, From};
use rand::Rng;
use steering::ids::Incarnation;
use steering::membership::HostEntry;
use steering::ticket::Issuer;
use steering::view::View;
use store::{HttpPlatform, ListedHost, Worker};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, watch};

use crate::config::Config;
use crate::metrics_text;
use control::{Control, ControlParts};
use state::Command;

const PLATFORM_JOBS_LIMIT: usize = 4_096;
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum HostError {
    /// An address can't be listened on.
    #[display("{name}: {source}")]
    #[from(skip)]
    Listen {
        /// The setting.
        name: &'static str,
        /// Why.
        source: io::Error,
    },
    /// A thread can't be started.
    #[display("{_0}")]
    Thread(io::Error),
}

/// Sockets of a host, bound before it starts.
pub struct Sockets {
    callers: TcpListener,
    relays: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Where a host listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For relayed requests.
    pub relay: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl Sockets {
    /// Binds the addresses of the settings; port 0 takes any free one.
    pub fn bind(config: &Config) -> Result<Sockets, HostError> {
        let bind = |name, address: SocketAddr| {
            TcpListener::bind(address).map_err(|source| HostError::Listen { name, source })
        };
        Ok(Sockets {
            callers: bind("caller_address", config.caller_address)?,
            relays: bind("relay_address", config.relay_address)?,
            peers: bind("peer_address", config.peer_address)?,
            operators: bind("operator_address", config.operator_address)?,
        })
    }

    /// Where they listen.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            caller: self.callers.local_addr()?,
            relay: self.relays.local_addr()?,
            peer: self.peers.local_addr()?,
            operator: self.operators.local_addr()?,
        })
    }
}

/// A running host.
pub struct Host {
    addresses: Addresses,
    config: Config,
    shared: Arc<SharedState>,
    commands: mpsc::UnboundedSender<Command>,
    stop: watch::Sender<bool>,
    traffic: Option<Runtime>,
    serving: Option<tokio::task::JoinHandle<io::Result<()>>>,
    control: Option<JoinHandle<()>>,
    operator: Option<OperatorServer>,
}

impl Host {
    /// Starts a host on sockets that are bound already.
    ///
    /// It serves callers once it has a configuration from the platform or a peer.
    pub fn start(config: Config, sockets: Sockets) -> Result<Host, HostError> {
        // The recorder must be there before the first metric is counted.
        metrics_text::handle();
        let addresses = sockets.addresses()?;
        let incarnation: Incarnation = rand::rng().random();
        let me = HostEntry {
            name: config.host.clone(),
            zone: config.zone.clone(),
            caller_address: config.advertised.caller_address.unwrap_or(addresses.caller),
            relay_address: config.advertised.relay_address.unwrap_or(addresses.relay),
            peer_address: config.advertised.peer_address.unwrap_or(addresses.peer),
            operator_address: config
                .advertised
                .operator_address
                .unwrap_or(addresses.operator),
        };
        let platform = HttpPlatform::new(
            config.platform_address,
            Duration::from_millis(config.platform_timeout_ms),
        );
        let spawn = |name| Worker::spawn(name, Box::new(platform.clone()), PLATFORM_JOBS_LIMIT);
        let (claim_worker, control_worker) = (spawn("claims")?, spawn("platform")?);
        let traffic = Builder::new_multi_thread()
            .worker_threads(config.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let claims = {
            let _entered = traffic.enter();
            claims::GroupedClaims::start(claim_worker, me.name.clone(), incarnation)
        };
        let (notes, noted) = channel();
        let mut rng = rand::rng();
        let shared = Arc::new(SharedState::new(
            shared_config(&config),
            View::new(me.clone(), incarnation),
            Issuer::new(me.name.clone(), incarnation, &mut rng),
            Arc::new(claims),
            notes,
        ));
        let (commands, commanded) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
        let (ready, is_ready) = watch::channel(false);
        let parts = ControlParts {
            config: config.clone(),
            shared: Arc::clone(&shared),
            worker: control_worker,
            me: ListedHost {
                entry: me,
                incarnation: Some(incarnation),
                leaving: false,
            },
            incarnation,
            commands: commanded,
            notes: noted,
            ready,
        };
        let peers = sockets.peers;
        let control = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || Control::run(parts, peers))?;
        let listeners = Listeners {
            callers: sockets.callers,
            relays: sockets.relays,
        };
        traffic.spawn(probes::run(Arc::clone(&shared)));
        let serving = traffic.spawn(serve_when_ready(
            Arc::clone(&shared),
            listeners,
            is_ready,
            stopped,
        ));
        let handler = operator::Handler {
            commands: commands.clone(),
        };
        let operator = OperatorServer::start(sockets.operators, Arc::new(handler))?;
        tracing::info!(
            event = "started",
            host = config.host,
            zone = config.zone,
            incarnation
        );
        Ok(Host {
            addresses,
            config,
            shared,
            commands,
            stop,
            traffic: Some(traffic),
            serving: Some(serving),
            control: Some(control),
            operator: Some(operator),
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Stops as planned: it leaves look-ups at once, serves until answers and
    /// tickets that are out have lapsed, and ends when nothing is in flight.
    pub fn stop(mut self) {
        let begun = clock::now();
        tracing::info!(event = "leaving", host = self.config.host);
        self.shared.leaving.store(true, Ordering::Release);
        let _ = self.commands.send(Command::Leave);
        let out = self.config.look_up_ttl().max(self.config.ticket_ttl());
        thread::sleep(out);
        while self.shared.in_flight.load(Ordering::Acquire) > 0 {
            thread::sleep(STOP_POLL);
        }
        let _ = self.stop.send(true);
        if let (Some(traffic), Some(serving)) = (&self.traffic, self.serving.take()) {
            let _ = traffic.block_on(serving);
        }
        self.end();
        let ms = clock::elapsed(begun).as_millis() as u64;
        tracing::info!(event = "stopped", host = self.config.host, ms);
    }

    /// Ends at once, as a crash would: connections break, nothing is handed over.
    pub fn kill(mut self) {
        if let Some(serving) = self.serving.take() {
            serving.abort();
        }
        self.end();
    }

    fn end(&mut self) {
        let _ = self.commands.send(Command::End);
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(control) = self.control.take() {
            // A panic there was reported by its own hook.
            let _ = control.join();
        }
        self.operator = None;
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

async fn serve_when_ready(
    shared: Arc<SharedState>,
    listeners: Listeners,
    mut ready: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    if ready.wait_for(|ready| *ready).await.is_err() {
        return Ok(());
    }
    ::caller::serve(shared, listeners, stop).await
}

fn shared_config(config: &Config) -> SharedConfig {
    SharedConfig {
        limits: config.limits.clone(),
        peer_key: config.peer_key.as_bytes().to_vec(),
        look_up_ttl: config.look_up_ttl(),
        ticket_ttl: config.ticket_ttl(),
    }
}
