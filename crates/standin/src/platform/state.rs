//! What the stand-in platform holds.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use ::store::{ABSENT, Commit, ListedHost, Row, Transaction, Version, wire};

/// Rows, objects and hosts.
#[derive(Default)]
pub struct State {
    rows: BTreeMap<String, Stored>,
    objects: HashMap<String, Vec<u8>>,
    /// Each change of the list, in order of time.
    list_changes: Vec<(Instant, ListChange)>,
}

struct Stored {
    version: Version,
    value: String,
}

enum ListChange {
    Put(ListedHost),
    Remove(String),
}

impl State {
    pub fn read(&self, keys: &[String]) -> Vec<Row> {
        keys.iter().map(|key| self.row(key)).collect()
    }

    fn row(&self, key: &str) -> Row {
        let stored = self.rows.get(key);
        Row {
            key: key.to_owned(),
            version: stored.map_or(ABSENT, |stored| stored.version),
            value: stored.map_or(String::new(), |stored| stored.value.clone()),
        }
    }

    pub fn scan(&self, scan: &wire::Scan) -> Vec<Row> {
        let from = scan.after.clone().max(scan.prefix.clone());
        self.rows
            .range(from..)
            .take_while(|(key, _)| key.starts_with(&scan.prefix))
            .filter(|(key, _)| **key > scan.after)
            .take(scan.limit)
            .map(|(key, _)| self.row(key))
            .collect()
    }

    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        let failed: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| (condition, self.row(&condition.key)))
            .filter(|(condition, row)| condition.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return Commit::Conflict(failed);
        }
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let version = self.row(&write.key).version + 1;
                    let value = value.clone();
                    self.rows
                        .insert(write.key.clone(), Stored { version, value });
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Commit::Done
    }

    pub fn put(&mut self, path: &str, body: &[u8]) {
        self.objects.insert(path.to_owned(), body.to_vec());
    }

    pub fn get(&self, path: &str) -> Option<Vec<u8>> {
        self.objects.get(path).cloned()
    }

    pub fn damage_objects(&mut self) {
        for object in self.objects.values_mut() {
            let middle = object.len() / 2;
            if let Some(byte) = object.get_mut(middle) {
                *byte ^= 1;
            }
        }
    }

    pub fn register(&mut self, host: ListedHost, now: Instant) {
        self.list_changes.push((now, ListChange::Put(host)));
    }

    pub fn remove_host(&mut self, name: &str) {
        let change = ListChange::Remove(name.to_owned());
        self.list_changes.push((Instant::now(), change));
    }

    /// The list as it was `lag` ago.
    pub fn hosts(&self, now: Instant, lag: Duration) -> Vec<ListedHost> {
        let mut hosts: BTreeMap<&str, &ListedHost> = BTreeMap::new();
        for (at, change) in &self.list_changes {
            if now.saturating_duration_since(*at) < lag {
                break;
            }
            match change {
                ListChange::Put(host) => hosts.insert(&host.entry.name, host),
                ListChange::Remove(name) => hosts.remove(name.as_str()),
            };
        }
        hosts.into_values().cloned().collect()
    }
}
