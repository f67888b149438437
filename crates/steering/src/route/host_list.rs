//! The store's list of hosts, as known to this host.

use std::collections::{BTreeMap, BTreeSet};

use twox_hash::XxHash3_64;

use super::feed::{Changes, FeedDigest, Record};
use crate::ids::HostName;
use crate::membership::HostEntry;

/// Every host's row in the store, this host's included.
#[derive(Debug, Default)]
pub struct HostList {
    rows: BTreeMap<HostName, HostEntry>,
    is_read: bool,
}

impl HostList {
    /// Applies changes of the feed in order, or a complete snapshot, and returns what has
    /// changed.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Record> {
        self.is_read |= changes.whole;
        let mut changed_records = Vec::new();
        for name in self.missing_from(changes) {
            self.rows.remove(&name);
            changed_records.push(Record::HostGone(name));
        }
        for record in &changes.records {
            let changed = match record {
                Record::Host(entry) => self.put(entry),
                Record::HostGone(name) => self.rows.remove(name).is_some(),
                _ => false,
            };
            if changed {
                changed_records.push(record.clone());
            }
        }
        changed_records
    }

    fn put(&mut self, entry: &HostEntry) -> bool {
        let before = self.rows.insert(entry.name.clone(), entry.clone());
        before.as_ref() != Some(entry)
    }

    /// Returns the hosts that are missing in a complete snapshot.
    fn missing_from(&self, changes: &Changes) -> Vec<HostName> {
        if !changes.whole {
            return Vec::new();
        }
        let listed = changes.records.iter().filter_map(|record| match record {
            Record::Host(entry) => Some(&entry.name),
            _ => None,
        });
        let listed: BTreeSet<&HostName> = listed.collect();
        let known = self.rows.keys();
        known
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect()
    }

    /// Returns whether a complete snapshot has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Returns whether the list has a host of this name.
    pub fn has(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Returns whether the list has this host with identical addresses and zone.
    pub fn lists(&self, entry: &HostEntry) -> bool {
        self.rows.get(&entry.name) == Some(entry)
    }

    /// Returns all rows.
    pub fn rows(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.rows.values()
    }

    /// Returns the digest of the rows, the same whichever way they were learned.
    pub fn digest(&self) -> FeedDigest {
        self.rows
            .values()
            .fold(0, |digest, row| digest ^ fingerprint(row))
    }
}

fn fingerprint(entry: &HostEntry) -> u64 {
    let HostEntry {
        name,
        zone,
        caller_address,
        relay_address,
        peer_address,
        operator_address,
    } = entry;
    let addresses = format!("{caller_address} {relay_address} {peer_address} {operator_address}");
    XxHash3_64::oneshot(format!("{name} {zone} {addresses}").as_bytes())
}
