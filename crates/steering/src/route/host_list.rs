//! The store's list of hosts, as known to this host.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use twox_hash::XxHash3_64;

use super::feed::{Changes, FeedDigest, Record};
use crate::ids::HostName;
use crate::membership::HostEntry;

/// Every host's row in the store, this host's included.
#[derive(Debug, Default)]
pub struct HostList {
    rows: BTreeMap<HostName, HostEntry>,
    /// Digest of `rows`, updated with each change.
    digest: FeedDigest,
    is_read: bool,
}

impl HostList {
    /// Applies changes of the feed in order, or a complete snapshot, and returns what has
    /// changed.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Record> {
        self.is_read |= changes.whole;
        let mut changed_records = Vec::new();
        for name in self.missing_from(changes) {
            self.remove(&name);
            changed_records.push(Record::HostGone(name));
        }
        for record in &changes.records {
            let changed = match record {
                Record::Host(entry) => self.put(entry),
                Record::HostGone(name) => self.remove(name),
                _ => false,
            };
            if changed {
                changed_records.push(record.clone());
            }
        }
        changed_records
    }

    fn put(&mut self, entry: &HostEntry) -> bool {
        if self.rows.get(&entry.name) == Some(entry) {
            return false;
        }
        self.remove(&entry.name);
        self.digest ^= fingerprint(entry);
        self.rows.insert(entry.name.clone(), entry.clone());
        true
    }

    fn remove(&mut self, name: &str) -> bool {
        let removed = self.rows.remove(name);
        self.digest ^= removed.as_ref().map_or(0, fingerprint);
        removed.is_some()
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
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &HostEntry> + Clone {
        self.rows.values()
    }

    /// Returns the rows from a name on, in order.
    pub fn rows_after(&self, from: Bound<&str>) -> impl Iterator<Item = (&str, Record)> {
        let rows = self.rows.range::<str, _>((from, Bound::Unbounded));
        rows.map(|(name, row)| (name.as_str(), Record::Host(row.clone())))
    }

    /// Returns the digest of the rows, the same whichever way they were learned.
    pub fn digest(&self) -> FeedDigest {
        self.digest
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
        capacity,
    } = entry;
    let addresses = format!("{caller_address} {relay_address} {peer_address} {operator_address}");
    XxHash3_64::oneshot(format!("{name} {zone} {addresses} {capacity:?}").as_bytes())
}
