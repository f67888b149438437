//! Requests that arrive before this host is ready.

use std::time::Duration;

use steering::route::start_wait;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::Traffic;

/// Most requests that wait at the same time.
const MAX_WAITING: usize = 256;

/// Bounds the requests that wait for this host to be ready.
#[derive(Debug)]
pub(super) struct StartWaits(Semaphore);

impl Default for StartWaits {
    fn default() -> Self {
        StartWaits(Semaphore::new(MAX_WAITING))
    }
}

/// Holds a request for some time while this host starts. `time_left` is the time until its
/// deadline.
pub(super) async fn wait_until_ready(traffic: &Traffic, time_left: Duration) {
    let mut is_ready = traffic.common.is_ready.subscribe();
    let max_wait = start_wait(clock::elapsed(traffic.common.started_at), time_left);
    if *is_ready.borrow() || max_wait.is_zero() {
        return;
    }
    if let Ok(_permit) = traffic.start_waits.0.try_acquire() {
        // After a timeout the request is refused.
        let _ = timeout(max_wait, is_ready.wait_for(|is_ready| *is_ready)).await;
    }
}
