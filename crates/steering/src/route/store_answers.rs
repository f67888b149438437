//! When the store is known to have answered, whichever host it was that asked.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Least absence of the store in which reports may lapse: an upstream's report goes after
/// three heartbeats, a second or more each.
const LAPSE_LEAST: Duration = Duration::from_secs(1);
/// Longest usual way of news from the store's answer over other hosts to this one: some three
/// messages between regions of 80 ms each, on slow cores.
const NEWS_DELAY: Duration = Duration::from_millis(500);

/// A time up to now in which the store has answered without a break, as a host tells it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answering {
    /// Its length.
    pub answering_for: Duration,
    /// For how long no answer was known before it; zero where nothing is known of a break.
    pub away_before: Duration,
}

/// A time in which the store has answered some host without a break.
#[derive(Debug, Clone, Copy)]
struct Span {
    since: Instant,
    until: Instant,
    /// Length of the break before it; zero where none is known.
    away_before: Duration,
}

/// When the store is known to have answered anyone.
///
/// A host that gets no answer can't tell whether the store is away or only itself cut off, and
/// hosts must not believe each other's outages: where they did, the return of one host from a
/// cut of 5 s kept upstreams that had just left in use on all hosts for 2.05 to 2.44 s, of the
/// 2 s allowed (nine hosts, 7 of 24 seeded days). An answer that any host got in a supposed
/// break shows that there was none.
#[derive(Debug, Default)]
pub struct StoreAnswers {
    span: Option<Span>,
    /// Whether this host's own calls have failed since the last answer that is known.
    failing: bool,
}

impl StoreAnswers {
    /// Notes that a call of this host got no answer.
    pub fn failed(&mut self) {
        self.failing = true;
    }

    /// Notes an answer to this host, which asks or is told at least once in `usual_silence`
    /// while the store answers.
    pub fn answered(&mut self, now: Instant, usual_silence: Duration) {
        let failing = std::mem::take(&mut self.failing);
        let Some(span) = &mut self.span else {
            return self.begin(now, now, Duration::ZERO);
        };
        let silent_for = now.saturating_duration_since(span.until);
        match failing {
            true if silent_for >= LAPSE_LEAST => self.begin(now, now, silent_for),
            // Nobody knows whether it answered meanwhile.
            false if silent_for > usual_silence => self.begin(now, now, Duration::ZERO),
            _ => span.until = now,
        }
    }

    /// Takes what another host tells. News come at least once in `usual_silence` while the
    /// store answers.
    pub fn told(&mut self, now: Instant, told: Answering, usual_silence: Duration) {
        let failing = std::mem::take(&mut self.failing);
        let since = now.checked_sub(told.answering_for).unwrap_or(now);
        let Some(span) = &mut self.span else {
            return self.begin(since, now, told.away_before);
        };
        let silent_for = since.saturating_duration_since(span.until);
        // Someone was answered while the teller was not.
        let was_its_own = silent_for <= usual_silence && silent_for + NEWS_DELAY < told.away_before;
        if silent_for >= LAPSE_LEAST && !was_its_own {
            let seen_here = if failing { silent_for } else { Duration::ZERO };
            return self.begin(since, now, told.away_before.max(seen_here));
        }
        span.until = now;
        if since < span.since {
            span.since = since;
            span.away_before = told.away_before;
        }
    }

    /// What this host tells others; the store need not answer any more.
    pub fn tell(&self, now: Instant) -> Answering {
        self.span.map_or_else(Answering::default, |span| Answering {
            answering_for: now.saturating_duration_since(span.since),
            away_before: span.away_before,
        })
    }

    /// When the store answered again after it had been away; none where it never was, as far
    /// as any host has told.
    pub fn back(&self) -> Option<Instant> {
        let span = self.span?;
        (!span.away_before.is_zero()).then_some(span.since)
    }

    fn begin(&mut self, since: Instant, until: Instant, away_before: Duration) {
        self.span = Some(Span {
            since,
            until,
            away_before,
        });
    }
}
