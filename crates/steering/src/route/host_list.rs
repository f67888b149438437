//! The store's list of hosts, as this host knows it.

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
    /// Takes a part of the feed in its order, or all of it; says what has changed.
    pub fn take(&mut self, changes: &Changes) -> Vec<Record> {
        self.is_read |= changes.whole;
        let mut news = Vec::new();
        for name in self.lacking(changes) {
            self.rows.remove(&name);
            news.push(Record::HostGone(name));
        }
        for record in &changes.records {
            let changed = match record {
                Record::Host(entry) => self.put(entry),
                Record::HostGone(name) => self.rows.remove(name).is_some(),
                _ => false,
            };
            if changed {
                news.push(record.clone());
            }
        }
        news
    }

    fn put(&mut self, entry: &HostEntry) -> bool {
        let before = self.rows.insert(entry.name.clone(), entry.clone());
        before.as_ref() != Some(entry)
    }

    /// Hosts that a whole feed no longer has.
    fn lacking(&self, changes: &Changes) -> Vec<HostName> {
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

    /// Whether it has been read whole.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Whether a host of this name is in it.
    pub fn has(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Whether this very row is in it.
    pub fn lists(&self, entry: &HostEntry) -> bool {
        self.rows.get(&entry.name) == Some(entry)
    }

    /// Every row.
    pub fn rows(&self) -> impl Iterator<Item = &HostEntry> + Clone {
        self.rows.values()
    }

    /// Digest of the rows, the same wherever they were learned.
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
