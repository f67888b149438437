//! An in-memory platform with injectable faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};

use store::{
    ABSENT, Commit, HostList, ListedHost, ObjectStore, Row, StoreError, Table, Transaction, Version,
};

/// Fault injected into all calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// Calls succeed.
    #[default]
    None,
    /// The platform can't be reached.
    Down,
    /// Writes take effect, but their answers are lost.
    AnswerLost,
}

/// In-memory platform.
#[derive(Default)]
pub struct FakePlatform {
    fault: Cell<StoreFault>,
    rows: RefCell<BTreeMap<String, (Version, String)>>,
    objects: RefCell<HashMap<String, Vec<u8>>>,
}

impl FakePlatform {
    pub fn set_fault(&self, fault: StoreFault) {
        self.fault.set(fault);
    }

    fn check_reachable(&self) -> Result<(), StoreError> {
        match self.fault.get() {
            StoreFault::Down => Err(StoreError::Unavailable("down".to_owned())),
            _ => Ok(()),
        }
    }

    fn write_answer<T>(&self, answer: T) -> Result<T, StoreError> {
        match self.fault.get() {
            StoreFault::AnswerLost => Err(StoreError::AnswerLost("lost".to_owned())),
            _ => Ok(answer),
        }
    }

    fn row(&self, key: &str) -> Row {
        let rows = self.rows.borrow();
        let (version, value) = rows.get(key).cloned().unwrap_or((ABSENT, String::new()));
        Row {
            key: key.to_owned(),
            version,
            value,
        }
    }
}

impl Table for FakePlatform {
    fn read(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        self.check_reachable()?;
        Ok(keys.iter().map(|key| self.row(key)).collect())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.check_reachable()?;
        let rows = self.rows.borrow();
        let keys = rows
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after);
        Ok(keys.take(limit).map(|key| self.row(key)).collect())
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        self.check_reachable()?;
        let checked = transaction.conditions.iter().map(|c| (c, self.row(&c.key)));
        let failed: Vec<Row> = checked
            .filter(|(c, row)| c.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return self.write_answer(Commit::Conflict(failed));
        }
        for write in &transaction.writes {
            let version = self.row(&write.key).version + 1;
            let mut rows = self.rows.borrow_mut();
            match &write.value {
                Some(value) => rows.insert(write.key.clone(), (version, value.clone())),
                None => rows.remove(&write.key),
            };
        }
        self.write_answer(Commit::Done)
    }
}

impl ObjectStore for FakePlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.check_reachable()?;
        self.objects
            .borrow_mut()
            .insert(name.to_owned(), bytes.to_vec());
        self.write_answer(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_reachable()?;
        Ok(self.objects.borrow().get(name).cloned())
    }
}

impl HostList for FakePlatform {
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        self.check_reachable()?;
        Ok(Vec::new())
    }

    fn register(&self, _: &ListedHost) -> Result<(), StoreError> {
        self.check_reachable()
    }
}
