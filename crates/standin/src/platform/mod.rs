//! A stand-in for the platform: table service, object store and host list.

mod state;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ::store::{Commit, ListedHost, Transaction, wire};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Method, Request, Response, Server};

use crate::fault::Fault;
use state::State;

const THREADS: usize = 8;

/// What goes wrong now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformFaults {
    /// Reads of the table, objects.
    pub reads: Fault,
    /// Commits and puts.
    pub writes: Fault,
    /// The host list.
    pub hosts: Fault,
    /// Time by which the host list lags.
    pub list_lag: Duration,
}

/// Calls that were answered since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCounts {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Commits.
    pub commits: u64,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<PlatformCounts>,
}

/// The stand-in; it ends when dropped.
pub struct StandInPlatform {
    server: Arc<Server>,
    address: SocketAddr,
    inner: Arc<Inner>,
}

impl StandInPlatform {
    /// Starts on an address; port 0 takes any free one.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let inner = Arc::new(Inner::default());
        for _ in 0..THREADS {
            let (server, inner) = (Arc::clone(&server), Arc::clone(&inner));
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    inner.serve(request);
                }
            });
        }
        Ok(StandInPlatform {
            server,
            address,
            inner,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Lets more go wrong than does already.
    pub fn add_faults(&self, add: impl FnOnce(&mut PlatformFaults)) {
        add(&mut lock(&self.inner.faults));
    }

    /// Takes the whole platform down, or brings it back.
    pub fn set_down(&self, down: bool) {
        let fault = if down { Fault::Down } else { Fault::None };
        self.set_faults(PlatformFaults {
            reads: fault,
            writes: fault,
            hosts: fault,
            ..PlatformFaults::default()
        });
    }

    /// Takes a host out of the list, as when it has vanished.
    pub fn remove_host(&self, name: &str) {
        lock(&self.inner.state).remove_host(name);
    }

    /// The list without its lag.
    pub fn listed(&self) -> Vec<ListedHost> {
        lock(&self.inner.state).hosts(Instant::now(), Duration::ZERO)
    }

    /// Overwrites an object, as damage would.
    pub fn damage_objects(&self) {
        lock(&self.inner.state).damage_objects();
    }

    /// Calls that were answered since the start.
    pub fn counts(&self) -> PlatformCounts {
        *lock(&self.inner.counts)
    }
}

impl Drop for StandInPlatform {
    fn drop(&mut self) {
        for _ in 0..THREADS {
            self.server.unblock();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a call may do; each kind has its own fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Hosts,
}

type Answer = Response<io::Cursor<Vec<u8>>>;

impl Inner {
    fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let path = request.url().to_owned();
        let kind = match (request.method(), path.as_str()) {
            (_, wire::HOSTS) => Kind::Hosts,
            (Method::Put, _) | (_, wire::COMMIT) => Kind::Write,
            _ => Kind::Read,
        };
        let faults = *lock(&self.faults);
        let fault = match kind {
            Kind::Read => faults.reads,
            Kind::Write => faults.writes,
            Kind::Hosts => faults.hosts,
        };
        if let Fault::Slow(delay) = fault {
            thread::sleep(delay);
        }
        if fault == Fault::Down {
            let _ = request.respond(Response::from_data(Vec::new()).with_status_code(503));
            return;
        }
        let answer = self.answer(request.method(), &path, &body, faults.list_lag);
        if fault == Fault::AnswerLost {
            // The writer is dropped: the connection closes without an answer.
            drop(request.into_writer());
            return;
        }
        let _ = request.respond(answer);
    }

    fn answer(&self, method: &Method, path: &str, body: &[u8], lag: Duration) -> Answer {
        let mut state = lock(&self.state);
        let mut counts = lock(&self.counts);
        match (method, path) {
            (Method::Post, wire::READ) => {
                counts.reads += 1;
                parsed(body, |keys: Vec<String>| state.read(&keys))
            }
            (Method::Post, wire::SCAN) => {
                counts.reads += 1;
                parsed(body, |scan: wire::Scan| state.scan(&scan))
            }
            (Method::Post, wire::COMMIT) => {
                counts.commits += 1;
                parsed(body, |transaction: Transaction| -> Commit {
                    state.commit(&transaction)
                })
            }
            (Method::Post, wire::HOSTS) => parsed(body, |host: ListedHost| {
                state.register(host, Instant::now());
            }),
            (Method::Get, wire::HOSTS) => json(&state.hosts(Instant::now(), lag)),
            (Method::Put, path) => {
                state.put(path, body);
                json(&())
            }
            (Method::Get, path) => match state.get(path) {
                Some(object) => Response::from_data(object),
                None => Response::from_data(Vec::new()).with_status_code(404),
            },
            _ => Response::from_data(Vec::new()).with_status_code(405),
        }
    }
}

fn parsed<T: DeserializeOwned, A: Serialize>(body: &[u8], with: impl FnOnce(T) -> A) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => json(&with(value)),
        Err(error) => Response::from_string(error.to_string()).with_status_code(400),
    }
}

fn json<T: Serialize>(value: &T) -> Answer {
    Response::from_data(serde_json::to_vec(value).expect("answers are valid JSON"))
}
