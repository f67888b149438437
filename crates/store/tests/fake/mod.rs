//! A platform in memory that fails on demand.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};

use store::{
    ABSENT, Commit, HostList, ListedHost, ObjectStore, Row, StoreError, Table, Transaction, Version,
};

/// What goes wrong now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Nothing can be reached.
    Down,
    /// Writes take effect, and their answers are lost.
    AnswerLost,
}

/// The platform.
#[derive(Default)]
pub struct FakePlatform {
    fault: Cell<StoreFault>,
    rows: RefCell<BTreeMap<String, (Version, String)>>,
    objects: RefCell<HashMap<String, Vec<u8>>>,
}

impl FakePlatform {
    pub fn set(&self, fault: StoreFault) {
        self.fault.set(fault);
    }

    fn reach(&self) -> Result<(), StoreError> {
        match self.fault.get() {
            StoreFault::Down => Err(StoreError::Unavailable("down".to_owned())),
            _ => Ok(()),
        }
    }

    fn written<T>(&self, answer: T) -> Result<T, StoreError> {
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
        self.reach()?;
        Ok(keys.iter().map(|key| self.row(key)).collect())
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.reach()?;
        let rows = self.rows.borrow();
        let keys = rows
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after);
        Ok(keys.take(limit).map(|key| self.row(key)).collect())
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        self.reach()?;
        let fails = transaction.conditions.iter().map(|c| (c, self.row(&c.key)));
        let failed: Vec<Row> = fails
            .filter(|(c, row)| c.version != row.version)
            .map(|(_, row)| row)
            .collect();
        if !failed.is_empty() {
            return self.written(Commit::Conflict(failed));
        }
        for write in &transaction.writes {
            let version = self.row(&write.key).version + 1;
            let mut rows = self.rows.borrow_mut();
            match &write.value {
                Some(value) => rows.insert(write.key.clone(), (version, value.clone())),
                None => rows.remove(&write.key),
            };
        }
        self.written(Commit::Done)
    }
}

impl ObjectStore for FakePlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.reach()?;
        self.objects
            .borrow_mut()
            .insert(name.to_owned(), bytes.to_vec());
        self.written(())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.reach()?;
        Ok(self.objects.borrow().get(name).cloned())
    }
}

impl HostList for FakePlatform {
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        self.reach()?;
        Ok(Vec::new())
    }

    fn register(&self, _: &ListedHost) -> Result<(), StoreError> {
        self.reach()
    }
}
