//! Tracks when the store is known to have answered any host.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Minimum outage of the store in which reports may expire: an upstream's report expires
/// after three missed heartbeats of a second or more each.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_secs(1);
/// Maximum usual delay of an update from the store's answer over other hosts to this one:
/// about three messages between regions of 80 ms each, on slow cores.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(500);

/// A period up to now in which the store has answered without interruption, as sent to
/// other hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUptime {
    /// Length of the period.
    pub answering_for: Duration,
    /// Length of the outage before the period; zero if no outage is known.
    pub away_before: Duration,
}

/// A period in which the store has answered any host without interruption.
#[derive(Debug, Clone, Copy)]
struct Span {
    since: Instant,
    until: Instant,
    /// Length of the outage before the period; zero if none is known.
    away_before: Duration,
}

/// Periods in which the store answered any host.
///
/// A host that gets no answer can't tell whether the store is unavailable or the host
/// itself is cut off, so hosts must not adopt each other's outages. When they did, the
/// return of one host from a cut of 5 s kept upstreams that had just left in use on all
/// hosts for 2.05 to 2.44 s, with 2 s allowed (nine hosts, 7 of 24 seeded days). An answer
/// to any host during a supposed outage proves that there was none.
#[derive(Debug, Default)]
pub struct StoreAnswers {
    span: Option<Span>,
    /// Whether this host's own calls have failed since the last known answer.
    failing: bool,
}

impl StoreAnswers {
    /// Records that a call of this host got no answer.
    pub fn failed(&mut self) {
        self.failing = true;
    }

    /// Records an answer to this host. While the store answers, this host polls or receives
    /// an update at least once per `usual_silence`.
    pub fn answered(&mut self, now: Instant, usual_silence: Duration) {
        let failing = std::mem::take(&mut self.failing);
        let Some(span) = &mut self.span else {
            return self.start_span(now, now, Duration::ZERO);
        };
        let silent_for = now.saturating_duration_since(span.until);
        match failing {
            true if silent_for >= MIN_LAPSE_OUTAGE => self.start_span(now, now, silent_for),
            // It is unknown whether the store answered meanwhile.
            false if silent_for > usual_silence => self.start_span(now, now, Duration::ZERO),
            _ => span.until = now,
        }
    }

    /// Merges what another host reports. While the store answers, an update arrives at
    /// least once per `usual_silence`.
    pub fn merge(&mut self, now: Instant, received: StoreUptime, usual_silence: Duration) {
        let failing = std::mem::take(&mut self.failing);
        let since = now.checked_sub(received.answering_for).unwrap_or(now);
        let Some(span) = &mut self.span else {
            return self.start_span(since, now, received.away_before);
        };
        let silent_for = since.saturating_duration_since(span.until);
        // Another host was answered during the sender's outage.
        let is_sender_outage =
            silent_for <= usual_silence && silent_for + MAX_UPDATE_DELAY < received.away_before;
        if silent_for >= MIN_LAPSE_OUTAGE && !is_sender_outage {
            let seen_here = if failing { silent_for } else { Duration::ZERO };
            return self.start_span(since, now, received.away_before.max(seen_here));
        }
        span.until = now;
        if since < span.since {
            span.since = since;
            span.away_before = received.away_before;
        }
    }

    /// Returns the period to send to other hosts, extended to now even if the store no
    /// longer answers.
    pub fn uptime(&self, now: Instant) -> StoreUptime {
        self.span
            .map_or_else(StoreUptime::default, |span| StoreUptime {
                answering_for: now.saturating_duration_since(span.since),
                away_before: span.away_before,
            })
    }

    /// Returns when the store answered again after an outage; `None` if no outage is known
    /// to any host that reported.
    pub fn returned_at(&self) -> Option<Instant> {
        let span = self.span?;
        (!span.away_before.is_zero()).then_some(span.since)
    }

    fn start_span(&mut self, since: Instant, until: Instant, away_before: Duration) {
        self.span = Some(Span {
            since,
            until,
            away_before,
        });
    }
}
