//! The row that divides a zone's limits among its hosts.

use steering::limiter::Roster;

use crate::table::{Commit, Platform, StoreError, Transaction, parse, read_one, to_json};

const KEY_PREFIX: &str = "roster/";
/// Maximum number of commits for one update.
const MAX_ATTEMPTS: usize = 8;

/// Client of the rosters stored in the platform.
pub struct RosterStore<'a> {
    platform: &'a dyn Platform,
}

impl<'a> RosterStore<'a> {
    /// Creates a client of the given platform.
    pub fn new(platform: &'a dyn Platform) -> Self {
        RosterStore { platform }
    }

    /// Reads a zone's roster; a roster that does not exist yet has all limits unassigned.
    pub fn read(&self, zone: &str) -> Result<Roster, StoreError> {
        let row = read_one(self.platform, &key(zone))?;
        if row.value.is_empty() {
            return Ok(Roster::default());
        }
        parse(&row)
    }

    /// Changes a zone's roster by compare-and-set; returns the resulting roster.
    ///
    /// On a conflict, `change` is called again on the newer roster. If an answer is lost, the
    /// error is returned; the next call reads the actual roster.
    pub fn update(
        &self,
        zone: &str,
        mut change: impl FnMut(&mut Roster),
    ) -> Result<Roster, StoreError> {
        for _ in 0..MAX_ATTEMPTS {
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
            let transaction =
                Transaction::default().replace(key(zone), row.version, to_json(&after));
            if self.platform.commit(&transaction)? == Commit::Done {
                return Ok(after);
            }
        }
        Err(StoreError::Unavailable(format!(
            "other hosts changed the roster first {MAX_ATTEMPTS} times"
        )))
    }
}

fn key(zone: &str) -> String {
    format!("{KEY_PREFIX}{zone}")
}
