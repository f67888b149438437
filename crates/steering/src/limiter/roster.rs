//! How a zone's limits are split among the starts of its hosts.
//!
//! The roster is one row of the platform's table, changed only by
//! compare-and-set. A host lowers its own use first and writes second, and
//! raises its use only after its write; so parts in use never sum to more than
//! the whole, without any lease.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::Units;
use crate::ids::{HostName, Incarnation};

/// The whole, in thousandths.
pub const WHOLE_PERMILLE: u32 = 1_000;

/// One start's part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostShare {
    /// The start that it belongs to.
    pub incarnation: Incarnation,
    /// Thousandths of each limit of the zone.
    pub permille: u32,
}

/// All parts of a zone; they and `free_permille` sum to the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Share of each host.
    pub parts: BTreeMap<HostName, HostShare>,
    /// What belongs to nobody.
    pub free_permille: u32,
}

/// Why a part can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RosterError {
    /// The host's earlier start still holds a part.
    #[display("an earlier start of the host still holds a part")]
    EarlierStart,
    /// The part belongs to another start.
    #[display("the part belongs to another start")]
    NotYours,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            parts: BTreeMap::new(),
            free_permille: WHOLE_PERMILLE,
        }
    }
}

impl Roster {
    /// The part of a start, in thousandths.
    pub fn permille(&self, host: &str, incarnation: Incarnation) -> u32 {
        self.parts
            .get(host)
            .filter(|part| part.incarnation == incarnation)
            .map_or(0, |part| part.permille)
    }

    /// Units of a limit that a start owns; rounded down, so that the sum never exceeds it.
    pub fn owned_units(&self, host: &str, incarnation: Incarnation, limit: Units) -> Units {
        let permille = u64::from(self.permille(host, incarnation));
        (u64::from(limit) * permille / u64::from(WHOLE_PERMILLE)) as Units
    }

    /// The part that each of `hosts` hosts should have.
    pub fn fair_permille(hosts: usize) -> u32 {
        WHOLE_PERMILLE / hosts.max(1) as u32
    }

    /// Gives a start what is free, up to `most` in all.
    pub fn take(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        most: u32,
    ) -> Result<u32, RosterError> {
        let part = self.parts.entry(host.to_owned()).or_insert(HostShare {
            incarnation,
            permille: 0,
        });
        if part.incarnation != incarnation {
            return Err(RosterError::EarlierStart);
        }
        let more = most.saturating_sub(part.permille).min(self.free_permille);
        part.permille += more;
        self.free_permille -= more;
        Ok(part.permille)
    }

    /// Gives back what a start has above `keep`; only the start itself may do so,
    /// and only after it has stopped using it.
    pub fn give(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        keep: u32,
    ) -> Result<u32, RosterError> {
        let part = self.parts.get_mut(host).ok_or(RosterError::NotYours)?;
        if part.incarnation != incarnation {
            return Err(RosterError::NotYours);
        }
        let less = part.permille.saturating_sub(keep);
        part.permille -= less;
        self.free_permille += less;
        Ok(part.permille)
    }

    /// Frees the part of a start that is certainly gone.
    pub fn free(&mut self, host: &str, incarnation: Incarnation) {
        let gone = self
            .parts
            .get(host)
            .is_some_and(|part| part.incarnation == incarnation);
        if gone && let Some(part) = self.parts.remove(host) {
            self.free_permille += part.permille;
        }
    }

    /// Whether parts and the free rest sum to the whole.
    pub fn is_whole(&self) -> bool {
        let parts: u32 = self.parts.values().map(|part| part.permille).sum();
        parts + self.free_permille == WHOLE_PERMILLE
    }
}
