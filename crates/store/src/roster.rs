//! The row that splits a zone's limits among its hosts.

use steering::limiter::Roster;

use crate::table::{Commit, Platform, StoreError, Transaction, parse, read_one, text};

const ROSTERS: &str = "roster/";
const TRIES: usize = 8;

/// Rosters in the platform.
pub struct RosterStore<'a> {
    platform: &'a dyn Platform,
}

impl<'a> RosterStore<'a> {
    /// Rosters in this platform.
    pub fn new(platform: &'a dyn Platform) -> Self {
        RosterStore { platform }
    }

    /// Reads a zone's roster; one that is not there yet is wholly free.
    pub fn read(&self, zone: &str) -> Result<Roster, StoreError> {
        let row = read_one(self.platform, &key(zone))?;
        if row.value.is_empty() {
            return Ok(Roster::default());
        }
        parse(&row)
    }

    /// Changes a zone's roster by compare-and-set; returns it as it stands after.
    ///
    /// `change` may be called again on a newer roster. A lost answer ends the
    /// call with its error: the next call finds the roster as it became.
    pub fn update(
        &self,
        zone: &str,
        mut change: impl FnMut(&mut Roster),
    ) -> Result<Roster, StoreError> {
        for _ in 0..TRIES {
            let row = read_one(self.platform, &key(zone))?;
            let before: Roster = match row.value.is_empty() {
                true => Roster::default(),
                false => parse(&row)?,
            };
            let mut after = before.clone();
            change(&mut after);
            if after == before {
                return Ok(before);
            }
            let transaction = Transaction::default().replace(key(zone), row.version, text(&after));
            if self.platform.commit(&transaction)? == Commit::Done {
                return Ok(after);
            }
        }
        Err(StoreError::Unavailable(format!(
            "others came first {TRIES} times"
        )))
    }
}

fn key(zone: &str) -> String {
    format!("{ROSTERS}{zone}")
}
