//! Whose requests are served, and on what terms.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::document::allow;
use super::key_hash::KeyHash;
use crate::ids::{CustomerName, RegionName};

/// A customer of the operator's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name, which upstreams are told.
    pub name: CustomerName,
    /// Keys that its requests carry; no other customer has any of them.
    pub keys: Vec<KeyHash>,
    /// Rank of its requests, before the rank of the route; 0 is the most urgent. None where
    /// the route's holds.
    pub priority: Option<u32>,
    /// Requests that it may make; none where it may make any number.
    pub allowance: Option<Allowance>,
    /// Regions that alone may serve it; empty where all may.
    pub home_regions: Vec<RegionName>,
}

/// Requests that a customer may make, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// In a second, in the long run; positive.
    pub per_s: f64,
    /// At once besides; not negative.
    pub burst: f64,
}

impl Customer {
    /// Whether its requests may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        allow(&self.home_regions, region)
    }
}

/// What a request says of who sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing.
    None,
    /// A key.
    Key(KeyHash),
    /// Something that is no key: another scheme, or nothing behind it.
    NoKey,
    /// More than one thing.
    Several,
}

/// Who a request is from.
#[derive(Debug, Clone, PartialEq)]
pub enum Sender {
    /// No customers are in force: nobody asks.
    Anyone,
    /// The route is open to all.
    Public,
    /// A customer.
    Customer(Arc<Customer>),
}

/// Why a request's sender is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoAccess {
    /// It presents no key that is in force.
    UnknownKey,
    /// What it presents can't be read in one way only.
    Ambiguous,
}

impl Sender {
    /// The customer, where it is one.
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Sender::Customer(customer) => Some(customer),
            Sender::Anyone | Sender::Public => None,
        }
    }

    /// The customer, where it is one with an allowance.
    pub fn bounded(&self) -> Option<&Arc<Customer>> {
        let customer = self.customer();
        customer.filter(|customer| customer.allowance.is_some())
    }

    /// Whether its requests may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        let customer = self.customer();
        customer.is_none_or(|customer| customer.may_run_in(region))
    }
}

/// The customers of a document by their keys.
#[derive(Debug, Default)]
pub struct CustomerTable {
    by_key: HashMap<KeyHash, Arc<Customer>>,
    by_name: HashMap<CustomerName, Arc<Customer>>,
}

impl CustomerTable {
    /// The table of a document's customers.
    pub fn new(customers: &[Customer]) -> Self {
        let mut by_key = HashMap::new();
        let mut by_name = HashMap::new();
        for customer in customers {
            let customer = Arc::new(customer.clone());
            by_name.insert(customer.name.clone(), Arc::clone(&customer));
            for key in &customer.keys {
                by_key.insert(*key, Arc::clone(&customer));
            }
        }
        CustomerTable { by_key, by_name }
    }

    /// Whether requests need no key at all.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// A customer by its name.
    pub fn find(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Whether any customer has an allowance.
    pub fn has_allowances(&self) -> bool {
        let mut customers = self.by_name.values();
        customers.any(|customer| customer.allowance.is_some())
    }

    /// Whose request it is. A request to a public route is nobody's, whatever it carries.
    ///
    /// # Errors
    ///
    /// Its route is not public, and it has no key that is in force.
    pub fn recognise(
        &self,
        public: bool,
        credentials: impl FnOnce() -> Credentials,
    ) -> Result<Sender, NoAccess> {
        if self.is_empty() {
            return Ok(Sender::Anyone);
        }
        if public {
            return Ok(Sender::Public);
        }
        match credentials() {
            Credentials::Key(key) => match self.by_key.get(&key) {
                Some(customer) => Ok(Sender::Customer(Arc::clone(customer))),
                None => Err(NoAccess::UnknownKey),
            },
            Credentials::None | Credentials::NoKey => Err(NoAccess::UnknownKey),
            Credentials::Several => Err(NoAccess::Ambiguous),
        }
    }
}
