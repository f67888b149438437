//! Objects that an upstream was lately sent work on.

use std::num::NonZeroUsize;
use std::time::{Duration, Instant};

use lru::LruCache;

use super::average::kept;
use super::estimate::Familiarity;

/// Objects remembered for an upstream, the latest ones: upstreams hold some tens.
const REMEMBERED: NonZeroUsize = NonZeroUsize::new(128).expect("it is not zero");
/// Time within which an object was sent a moment ago.
const RECENT: Duration = Duration::from_secs(5);
/// Time over which the rate of an object's requests is averaged.
const RATE_OVER: Duration = Duration::from_secs(2);

/// Objects by this host's own sends to one upstream.
#[derive(Debug)]
pub struct Holding {
    sent: LruCache<u64, Sends>,
}

/// Sends of one object.
#[derive(Debug, Clone, Copy)]
struct Sends {
    last: Instant,
    /// Average at the last of them.
    per_s: f64,
}

impl Sends {
    fn per_s(&self, now: Instant) -> f64 {
        self.per_s * kept(self.last, now, RATE_OVER)
    }
}

impl Default for Holding {
    fn default() -> Self {
        // Grows as it is filled: most upstreams of a large deployment get few objects.
        let mut sent = LruCache::unbounded();
        sent.resize(REMEMBERED);
        Holding { sent }
    }
}

impl Holding {
    /// Notes that work on an object is sent.
    pub fn sent(&mut self, now: Instant, object: u64) {
        let per_s = self.per_s(now, object) + 1.0 / RATE_OVER.as_secs_f64();
        self.sent.put(object, Sends { last: now, per_s });
    }

    /// Requests a second on an object that this host has lately sent there.
    pub fn per_s(&self, now: Instant, object: u64) -> f64 {
        let sends = self.sent.peek(&object);
        sends.map_or(0.0, |sends| sends.per_s(now))
    }

    /// What is known of an object.
    pub fn familiarity(&self, now: Instant, object: u64) -> Familiarity {
        match self.sent.peek(&object) {
            Some(sends) if now.saturating_duration_since(sends.last) < RECENT => {
                Familiarity::Recent
            }
            Some(_) => Familiarity::Earlier,
            None => Familiarity::Never,
        }
    }
}
