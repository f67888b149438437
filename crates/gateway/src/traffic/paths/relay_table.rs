//! Connections that this host relays for others.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use steering::ids::HostName;
use steering::route::{RelayAdmission, RelayDecision};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time in which a connection of a host with more than its part must be released; otherwise the
/// other host is told that this one is full.
const RELEASE_TIME: Duration = Duration::from_millis(300);

/// Which side sent the last bytes, and when.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastBytes {
    pub from_upstream: bool,
    pub at: Instant,
}

/// A connection that this host relays.
pub(super) struct RelayedConnection {
    host: HostName,
    accepts_release: bool,
    last_bytes: Mutex<LastBytes>,
    /// Whether the requesting host has been asked to release the connection.
    is_asked: AtomicBool,
    release: Notify,
}

impl RelayedConnection {
    /// Records bytes that were passed on.
    pub fn note(&self, from_upstream: bool) {
        *self.lock() = LastBytes {
            from_upstream,
            at: clock::now(),
        };
    }

    pub fn last_bytes(&self) -> LastBytes {
        *self.lock()
    }

    /// Waits until the requesting host is to be asked to release the connection.
    pub async fn until_release(&self) {
        self.release.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, LastBytes> {
        self.last_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct Relayed {
    admission: RelayAdmission,
    connections: HashMap<u64, Arc<RelayedConnection>>,
    last_number: u64,
}

impl Relayed {
    /// Asks a host to release the connection that has been quiet for the longest time.
    fn ask_release(&self, host: &str) {
        let connections = self.connections.values();
        let candidates = connections.filter(|connection| {
            let may_ask = connection.accepts_release && connection.host == host;
            may_ask && !connection.is_asked.load(Ordering::Relaxed)
        });
        // Connections with an answer under way come last.
        let quietest = candidates.min_by_key(|connection| {
            let last = connection.last_bytes();
            (!last.from_upstream, last.at)
        });
        if let Some(connection) = quietest {
            connection.is_asked.store(true, Ordering::Relaxed);
            connection.release.notify_one();
        }
    }
}

/// Table of the relayed connections.
#[derive(Clone, Default)]
pub(super) struct RelayTable {
    relayed: Arc<Mutex<Relayed>>,
    /// Notified when a connection has ended.
    ended: Arc<Notify>,
}

impl RelayTable {
    /// Admits a connection for a host; none if there is no room for it. `max` is the number of
    /// connections that this host may relay.
    pub async fn admit(
        &self,
        host: &HostName,
        accepts_release: bool,
        max: impl Fn() -> u32,
    ) -> Option<RelayPermit> {
        let waiting = async {
            let mut has_asked = false;
            loop {
                let ended = self.ended.notified();
                let max = max();
                let decision = self.lock().admission.request(host, max);
                match decision {
                    RelayDecision::Granted => return Some(self.register(host, accepts_release)),
                    RelayDecision::Full => return None,
                    RelayDecision::AfterRelease(other) if !has_asked => {
                        has_asked = true;
                        self.lock().ask_release(&other);
                    }
                    RelayDecision::AfterRelease(_) => {}
                }
                ended.await;
            }
        };
        timeout(RELEASE_TIME, waiting).await.ok().flatten()
    }

    /// Number of relayed connections.
    pub fn total(&self) -> u32 {
        self.lock().admission.total()
    }

    fn register(&self, host: &HostName, accepts_release: bool) -> RelayPermit {
        let connection = Arc::new(RelayedConnection {
            host: host.clone(),
            accepts_release,
            last_bytes: Mutex::new(LastBytes {
                from_upstream: true,
                at: clock::now(),
            }),
            is_asked: AtomicBool::new(false),
            release: Notify::new(),
        });
        let mut relayed = self.lock();
        relayed.last_number += 1;
        let number = relayed.last_number;
        relayed.connections.insert(number, Arc::clone(&connection));
        RelayPermit {
            table: self.clone(),
            number,
            connection,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Relayed> {
        self.relayed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted connection. Its drop records the end of the connection.
pub(super) struct RelayPermit {
    table: RelayTable,
    number: u64,
    pub connection: Arc<RelayedConnection>,
}

impl Drop for RelayPermit {
    fn drop(&mut self) {
        let mut relayed = self.table.lock();
        relayed.connections.remove(&self.number);
        relayed.admission.ended(&self.connection.host);
        drop(relayed);
        self.table.ended.notify_waiters();
    }
}
