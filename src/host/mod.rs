//! A running host: starts its threads, connects them by channels, and stops them.

mod claims;
mod configuration;
mod control;
mod gossip;
mod handler;
mod loans;
mod operator;
mod probes;
mod report;
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
use steering::host_capacity::HostCapacity;
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

/// Most calls to the platform that wait in each of its two queues.
const MAX_PLATFORM_JOBS: usize = 4_096;
/// Time between two checks for requests in flight during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a host could not start.
#[derive(Debug, Display, Error, From)]
pub enum HostError {
    /// The host can't listen on an address.
    #[display("{name}: {source}")]
    #[from(skip)]
    Listen {
        /// Name of the setting with the address.
        name: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread or a runtime can't be started.
    #[display("{_0}")]
    Thread(io::Error),
}

/// Listening sockets of a host, bound before the host starts.
pub struct Sockets {
    callers: TcpListener,
    relays: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Addresses on which a host listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Requests of callers.
    pub caller: SocketAddr,
    /// Requests that other hosts relay.
    pub relay: SocketAddr,
    /// Messages of other hosts.
    pub peer: SocketAddr,
    /// The operators' interface.
    pub operator: SocketAddr,
}

impl Sockets {
    /// Binds the addresses of the settings; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// [`HostError::Listen`] for the first address that can't be bound.
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

    /// The bound addresses, with the ports that the system chose for port 0.
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
    /// Starts a host on bound sockets.
    ///
    /// The host serves callers once it has a configuration from the platform or another host.
    ///
    /// # Errors
    ///
    /// A thread, a runtime or the operators' server can't be started.
    pub fn start(config: Config, sockets: Sockets) -> Result<Host, HostError> {
        // The recorder must be installed before the first metric is recorded.
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
            capacity: HostCapacity::default(),
        };
        let platform = HttpPlatform::new(
            config.platform_address,
            Duration::from_millis(config.platform_timeout_ms),
        );
        let spawn = |name| Worker::spawn(name, Box::new(platform.clone()), MAX_PLATFORM_JOBS);
        let (claim_worker, control_worker) = (spawn("claims")?, spawn("platform")?);
        let traffic = Builder::new_multi_thread()
            .worker_threads(config.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let claims = {
            let _entered = traffic.enter();
            claims::BatchedClaims::start(claim_worker, me.name.clone(), incarnation)
        };
        let (observation_sender, observations) = channel();
        let mut rng = rand::rng();
        let shared = Arc::new(SharedState::new(
            shared_config(&config),
            View::new(me.clone(), incarnation),
            Issuer::new(me.name.clone(), incarnation, &mut rng),
            Arc::new(claims),
            observation_sender,
        ));
        let (command_sender, commands) = mpsc::unbounded_channel();
        let (stop_sender, stop) = watch::channel(false);
        let (ready_sender, ready) = watch::channel(false);
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
            commands,
            observations,
            ready: ready_sender,
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
            ready,
            stop,
        ));
        let handler = operator::Handler {
            commands: command_sender.clone(),
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
            commands: command_sender,
            stop: stop_sender,
            traffic: Some(traffic),
            serving: Some(serving),
            control: Some(control),
            operator: Some(operator),
        })
    }

    /// Addresses on which the host listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Stops gracefully, and blocks until this is done.
    ///
    /// The host disappears from look-ups at once. It serves until all look-ups and tickets
    /// given to callers have expired, and ends when no request is in flight.
    pub fn stop(mut self) {
        let started_at = clock::now();
        tracing::info!(event = "leaving", host = self.config.host);
        self.shared.leaving.store(true, Ordering::Release);
        let _ = self.commands.send(Command::Leave);
        let expiry = self.config.look_up_ttl().max(self.config.ticket_ttl());
        thread::sleep(expiry);
        while self.shared.in_flight.load(Ordering::Acquire) > 0 {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let _ = self.stop.send(true);
        if let (Some(traffic), Some(serving)) = (&self.traffic, self.serving.take()) {
            let _ = traffic.block_on(serving);
        }
        self.shut_down();
        let ms = clock::elapsed(started_at).as_millis() as u64;
        tracing::info!(event = "stopped", host = self.config.host, ms);
    }

    /// Ends at once, as a crash would: connections break, and other hosts get no message.
    pub fn kill(mut self) {
        if let Some(serving) = self.serving.take() {
            serving.abort();
        }
        self.shut_down();
    }

    fn shut_down(&mut self) {
        let _ = self.commands.send(Command::End);
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(control) = self.control.take() {
            // The panic hook has reported a panic of the control thread already.
            let _ = control.join();
        }
        self.operator = None;
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.shut_down();
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
