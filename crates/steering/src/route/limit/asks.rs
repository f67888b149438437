//! Which holder of a limit a host asks next.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::LimitReply;
use crate::ids::HostName;
use crate::rendezvous;

/// Time for which a holder that gave no answer, or holds no part, is not asked.
const PASSED_OVER_FOR: Duration = Duration::from_secs(2);
/// Time after which a host may try again that knows of no holder.
const NO_HOLDER_WAIT: Duration = Duration::from_millis(500);
/// Time for which a holder that was asked is likely to be asked again.
const ASKED_LATELY: Duration = Duration::from_secs(10);

/// What a host knows of the holders that it asks for tokens.
#[derive(Debug, Default)]
pub struct HolderSelector {
    /// Until when a holder has no token of a start.
    put_off: HashMap<(String, HostName), Instant>,
    /// When each holder was last asked.
    asked: HashMap<HostName, Instant>,
}

impl HolderSelector {
    /// The holder to ask for a token of `start`: this host itself where it is one, else one
    /// after the other, hosts beginning at different ones.
    ///
    /// # Errors
    ///
    /// None is worth asking for so long.
    pub fn next<'h>(
        &mut self,
        now: Instant,
        start: &str,
        holders: &[&'h str],
        me: &str,
    ) -> Result<&'h str, Duration> {
        self.put_off.retain(|_, until| *until > now);
        if holders.is_empty() {
            return Err(NO_HOLDER_WAIT);
        }
        let first = rendezvous::hash(me.as_bytes()) % holders.len() as u64;
        let (after, before) = holders.split_at(first as usize);
        let own = holders.iter().filter(|holder| **holder == me);
        let mut in_turn = own.chain(before).chain(after);
        let until = |holder: &str| {
            let key = (start.to_owned(), holder.to_owned());
            self.put_off.get(&key).copied()
        };
        if let Some(holder) = in_turn.find(|holder| until(holder).is_none()) {
            self.asked.insert((*holder).to_owned(), now);
            return Ok(holder);
        }
        let first = holders.iter().filter_map(|holder| until(holder)).min();
        let wait = first.map_or(NO_HOLDER_WAIT, |at| at.saturating_duration_since(now));
        Err(wait.max(Duration::from_millis(1)))
    }

    /// Takes a holder's answer, or that none came.
    pub fn answered(&mut self, now: Instant, start: &str, holder: &str, reply: Option<LimitReply>) {
        let wait = match reply {
            Some(LimitReply::Granted) => return,
            Some(LimitReply::Exhausted(ms)) => Duration::from_millis(ms.into()),
            Some(LimitReply::NotAHolder) | None => PASSED_OVER_FOR,
        };
        let key = (start.to_owned(), holder.to_owned());
        self.put_off.insert(key, now + wait);
    }

    /// Whether a holder was asked lately.
    pub fn asks(&self, now: Instant, holder: &str) -> bool {
        let at = self.asked.get(holder);
        at.is_some_and(|at| now.saturating_duration_since(*at) < ASKED_LATELY)
    }

    /// Forgets holders that were not asked for long.
    pub fn forget_idle(&mut self, now: Instant) {
        self.asked
            .retain(|_, at| now.saturating_duration_since(*at) < ASKED_LATELY);
    }
}
