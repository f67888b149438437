//! Distribution of a zone's limits among the starts of its hosts.
//!
//! The roster is one row in the platform's table, changed only by compare-and-set. A host reduces
//! its own use before it writes a smaller share, and raises its use only after it has written a
//! larger one. So the shares in use never add up to more than the whole, without any lease.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::Units;
use crate::ids::{HostName, Incarnation};

/// The whole limit, in thousandths.
pub const WHOLE_PERMILLE: u32 = 1_000;

/// Share of one start of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostShare {
    /// Incarnation of the start that owns the share.
    pub incarnation: Incarnation,
    /// Thousandths of each limit of the zone.
    pub permille: u32,
}

/// All shares of a zone; together with `free_permille` they add up to the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Share of each host, by name.
    #[serde(rename = "parts")]
    pub shares: BTreeMap<HostName, HostShare>,
    /// Thousandths that no host owns.
    pub free_permille: u32,
}

/// Reason why a share cannot be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RosterError {
    /// An earlier start of the host still holds a share.
    #[display("an earlier start of the host still holds a share")]
    EarlierStart,
    /// The share belongs to another start.
    #[display("the share belongs to another start")]
    NotYours,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            shares: BTreeMap::new(),
            free_permille: WHOLE_PERMILLE,
        }
    }
}

impl Roster {
    /// Share of a start, in thousandths.
    pub fn permille(&self, host: &str, incarnation: Incarnation) -> u32 {
        self.shares
            .get(host)
            .filter(|share| share.incarnation == incarnation)
            .map_or(0, |share| share.permille)
    }

    /// Units of a limit that a start owns, rounded down so that the sum never exceeds the limit.
    pub fn owned_units(&self, host: &str, incarnation: Incarnation, limit: Units) -> Units {
        let permille = u64::from(self.permille(host, incarnation));
        (u64::from(limit) * permille / u64::from(WHOLE_PERMILLE)) as Units
    }

    /// Target share of each of `hosts` hosts, in thousandths.
    pub fn fair_permille(hosts: usize) -> u32 {
        WHOLE_PERMILLE / hosts.max(1) as u32
    }

    /// Gives free thousandths to a start, up to `most` in total; returns its share.
    ///
    /// # Errors
    ///
    /// An earlier start of the host still holds a share.
    pub fn take(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        most: u32,
    ) -> Result<u32, RosterError> {
        let share = self.shares.entry(host.to_owned()).or_insert(HostShare {
            incarnation,
            permille: 0,
        });
        if share.incarnation != incarnation {
            return Err(RosterError::EarlierStart);
        }
        let more = most.saturating_sub(share.permille).min(self.free_permille);
        share.permille += more;
        self.free_permille -= more;
        Ok(share.permille)
    }

    /// Reduces a start's share to at most `keep` thousandths and returns the remaining share. Only
    /// the start itself may call this, and only after it has stopped using the units.
    ///
    /// # Errors
    ///
    /// The start holds no share.
    pub fn give(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        keep: u32,
    ) -> Result<u32, RosterError> {
        let share = self.shares.get_mut(host).ok_or(RosterError::NotYours)?;
        if share.incarnation != incarnation {
            return Err(RosterError::NotYours);
        }
        let less = share.permille.saturating_sub(keep);
        share.permille -= less;
        self.free_permille += less;
        Ok(share.permille)
    }

    /// Frees the share of a start that is certainly gone.
    pub fn free(&mut self, host: &str, incarnation: Incarnation) {
        let gone = self
            .shares
            .get(host)
            .is_some_and(|share| share.incarnation == incarnation);
        if gone && let Some(share) = self.shares.remove(host) {
            self.free_permille += share.permille;
        }
    }

    /// Whether the shares and the free thousandths add up to the whole.
    pub fn is_whole(&self) -> bool {
        let shares: u32 = self.shares.values().map(|share| share.permille).sum();
        shares + self.free_permille == WHOLE_PERMILLE
    }
}
