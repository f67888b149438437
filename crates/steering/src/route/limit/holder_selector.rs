//! Selection of the limit holder that a host asks next.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::LimitReply;
use crate::ids::HostName;
use crate::rendezvous;

/// Time for which a holder that did not answer, or holds no share, is not asked again.
const SKIP_DURATION: Duration = Duration::from_secs(2);
/// Retry time of a host that knows of no holder.
const NO_HOLDER_WAIT: Duration = Duration::from_millis(500);
/// Time after the last request for which a holder counts as in use by this host.
const RECENTLY_ASKED: Duration = Duration::from_secs(10);

/// Chooses the holder to ask for a token, and remembers which holders had none.
#[derive(Debug, Default)]
pub struct HolderSelector {
    /// Until when a holder has no token for an upstream start.
    exhausted_until: HashMap<(String, HostName), Instant>,
    /// Time of the last request to each holder.
    last_asked: HashMap<HostName, Instant>,
}

impl HolderSelector {
    /// Returns the holder to ask for a token of `start`: this host if it is a holder, otherwise
    /// the holders in turn, starting at a different one on each host.
    ///
    /// # Errors
    ///
    /// The time until a holder is worth asking, if none is now.
    pub fn next<'h>(
        &mut self,
        now: Instant,
        start: &str,
        holders: &[&'h str],
        me: &str,
    ) -> Result<&'h str, Duration> {
        self.exhausted_until.retain(|_, until| *until > now);
        if holders.is_empty() {
            return Err(NO_HOLDER_WAIT);
        }
        let first = rendezvous::hash(me.as_bytes()) % holders.len() as u64;
        let (later, earlier) = holders.split_at(first as usize);
        let own = holders.iter().filter(|holder| **holder == me);
        let mut in_turn = own.chain(earlier).chain(later);
        let until = |holder: &str| {
            let key = (start.to_owned(), holder.to_owned());
            self.exhausted_until.get(&key).copied()
        };
        if let Some(holder) = in_turn.find(|holder| until(holder).is_none()) {
            self.last_asked.insert((*holder).to_owned(), now);
            return Ok(holder);
        }
        let first = holders.iter().filter_map(|holder| until(holder)).min();
        let wait = first.map_or(NO_HOLDER_WAIT, |at| at.saturating_duration_since(now));
        Err(wait.max(Duration::from_millis(1)))
    }

    /// Records a holder's reply; `None` if it did not answer.
    pub fn answered(&mut self, now: Instant, start: &str, holder: &str, reply: Option<LimitReply>) {
        let wait = match reply {
            Some(LimitReply::Granted) => return,
            Some(LimitReply::Exhausted(ms)) => Duration::from_millis(ms.into()),
            Some(LimitReply::NotAHolder) | None => SKIP_DURATION,
        };
        let key = (start.to_owned(), holder.to_owned());
        self.exhausted_until.insert(key, now + wait);
    }

    /// Whether a holder was asked recently.
    pub fn was_asked_recently(&self, now: Instant, holder: &str) -> bool {
        let at = self.last_asked.get(holder);
        at.is_some_and(|at| now.saturating_duration_since(*at) < RECENTLY_ASKED)
    }

    /// Forgets the holders that were not asked recently.
    pub fn forget_idle(&mut self, now: Instant) {
        self.last_asked
            .retain(|_, at| now.saturating_duration_since(*at) < RECENTLY_ASKED);
    }
}
