//! Counts open connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Traffic;

/// Counts an open connection while it exists.
pub(super) struct OpenConnection(Arc<Traffic>);

impl OpenConnection {
    pub fn new(traffic: &Arc<Traffic>) -> Self {
        traffic.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(traffic))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
