//! Records the objects on which this host recently sent work to an upstream.

use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;

use super::average::decay;
use super::estimate::LastSent;

/// Number of objects remembered per upstream, most recent first; upstreams hold some tens
/// of objects.
const MAX_OBJECTS: NonZeroUsize = NonZeroUsize::new(128).expect("it is not zero");
/// Time for which a sent object counts as recent.
const RECENT: Duration = Duration::from_secs(5);
/// Time constant for the rate of an object's requests.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Objects by this host's own sends to one upstream.
#[derive(Debug)]
pub struct SentObjects {
    sent: LruCache<u64, Sends>,
}

/// Sends for one object.
#[derive(Debug, Clone, Copy)]
struct Sends {
    last: Instant,
    /// Average rate at the last send.
    per_s: f64,
}

impl Sends {
    fn per_s(&self, now: Instant) -> f64 {
        self.per_s * decay(self.last, now, RATE_TIME_CONSTANT)
    }
}

impl Default for SentObjects {
    fn default() -> Self {
        // The cache starts small and grows on demand: most upstreams of a large deployment
        // receive few objects.
        let mut sent = LruCache::unbounded();
        sent.resize(MAX_OBJECTS);
        SentObjects { sent }
    }
}

impl SentObjects {
    /// Records that work on an object is sent.
    pub fn sent(&mut self, now: Instant, object: u64) {
        let per_s = self.per_s(now, object) + 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.sent.put(object, Sends { last: now, per_s });
    }

    /// Returns the rate at which this host recently sent requests on an object to the
    /// upstream.
    pub fn per_s(&self, now: Instant, object: u64) -> f64 {
        let sends = self.sent.peek(&object);
        sends.map_or(0.0, |sends| sends.per_s(now))
    }

    /// Returns how recently work on an object was sent to the upstream.
    pub fn last_sent(&self, now: Instant, object: u64) -> LastSent {
        match self.sent.peek(&object) {
            Some(sends) if now.saturating_duration_since(sends.last) < RECENT => LastSent::Recent,
            Some(_) => LastSent::Earlier,
            None => LastSent::Never,
        }
    }
}
