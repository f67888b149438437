//! Bounds how long a response may take, by the responses seen.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Shortest time after which a response no longer counts.
const WINDOW: Duration = Duration::from_secs(30);
/// Quantile of the response times from which the bound is derived.
const QUANTILE: f64 = 0.99;
/// Largest response time that is recorded exactly, in milliseconds. Larger ones count as this one.
const MAX_RESPONSE_MS: u64 = 600_000;
/// Decimal digits to which a response time is kept.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Allowance for a response that takes longer than the quantile, as a share of it.
const SPREAD: f64 = 0.25;
/// Further allowance if few responses are known, as a share of the quantile; divided by their
/// number.
const UNCERTAINTY: f64 = 8.0;

/// Response times of a class of requests, from the send until the last byte of the response, waits
/// at the upstream included.
///
/// Uses a few kilobytes of memory, however many responses are recorded.
#[derive(Debug, Clone)]
pub struct ResponseTimes {
    /// Responses of the current window, in milliseconds.
    current: Histogram<u32>,
    /// Responses of the window before the current one, in milliseconds.
    previous: Histogram<u32>,
    /// Start of the current window; none before the first response.
    started_at: Option<Instant>,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_RESPONSE_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        ResponseTimes {
            current: empty.clone(),
            previous: empty,
            started_at: None,
        }
    }
}

impl ResponseTimes {
    /// Records a response that took this long.
    pub fn record(&mut self, now: Instant, took: Duration) {
        self.advance(now);
        self.current.saturating_record(milliseconds(took));
    }

    /// Records a request that was given up after this time. Since nothing is known of the rest of its
    /// time, it counts only beside responses, and if it has waited longer than any of them took.
    pub fn record_unanswered(&mut self, now: Instant, waited: Duration) {
        self.advance(now);
        let longest_ms = self.current.max().max(self.previous.max());
        if longest_ms > 0 && milliseconds(waited) > longest_ms {
            self.current.saturating_record(milliseconds(waited));
        }
    }

    /// Returns the time that few responses exceed; none if no response was recorded recently. The
    /// fewer responses are known, the larger the allowance for longer ones.
    pub fn upper_bound(&mut self, now: Instant) -> Option<Duration> {
        self.advance(now);
        let mut recent = self.current.clone();
        recent += &self.previous;
        if recent.is_empty() {
            return None;
        }
        let quantile = Duration::from_millis(recent.value_at_quantile(QUANTILE));
        let allowance = SPREAD + UNCERTAINTY / recent.len() as f64;
        Some(quantile.mul_f64(1.0 + allowance))
    }

    /// Begins a new window if the current one is over.
    fn advance(&mut self, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        let age = now.saturating_duration_since(started_at);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= 2 * WINDOW {
            self.previous.reset();
        }
        self.started_at = Some(now);
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1)
}
