//! Customers, and the authentication of their requests.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::document::allow;
use super::key_hash::KeyHash;
use crate::ids::{CustomerName, RegionName};

/// A customer of the operator's services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, which is sent to upstreams.
    pub name: CustomerName,
    /// Hashes of the API keys of its requests; no other customer has any of them.
    pub keys: Vec<KeyHash>,
    /// Priority of its requests, which overrides the route's; 0 is the most urgent. `None`
    /// if the route's priority applies.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if unlimited.
    pub allowance: Option<Allowance>,
    /// The only regions that may serve it; empty if all may.
    pub home_regions: Vec<RegionName>,
}

/// Limit on a customer's requests over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Sustained requests per second; positive.
    pub per_s: f64,
    /// Requests allowed in a burst above that rate; not negative.
    pub burst: f64,
}

impl Customer {
    /// Returns whether its requests may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        allow(&self.home_regions, region)
    }
}

/// Credentials found in a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credentials {
    /// No credentials.
    None,
    /// The hash of an API key.
    Key(KeyHash),
    /// Credentials that are not an API key: another scheme, or an empty value.
    NoKey,
    /// More than one credential.
    Several,
}

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Sender {
    /// The document has no customers, so requests are not authenticated.
    Anyone,
    /// The route is public.
    Public,
    /// The request belongs to a customer.
    Customer(Arc<Customer>),
}

/// Why a request's sender is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthError {
    /// The request has no valid API key.
    UnknownKey,
    /// The request has several credentials, so its sender is ambiguous.
    Ambiguous,
}

impl Sender {
    /// Returns the customer; `None` for other senders.
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Sender::Customer(customer) => Some(customer),
            Sender::Anyone | Sender::Public => None,
        }
    }

    /// Returns the customer if it has an allowance.
    pub fn with_allowance(&self) -> Option<&Arc<Customer>> {
        let customer = self.customer();
        customer.filter(|customer| customer.allowance.is_some())
    }

    /// Returns whether the sender's requests may run in a region.
    pub fn may_run_in(&self, region: &str) -> bool {
        let customer = self.customer();
        customer.is_none_or(|customer| customer.may_run_in(region))
    }
}

/// Customers of a document by key and by name.
#[derive(Debug, Default)]
pub struct CustomerTable {
    by_key: HashMap<KeyHash, Arc<Customer>>,
    by_name: HashMap<CustomerName, Arc<Customer>>,
}

impl CustomerTable {
    /// Creates the table of a document's customers.
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

    /// Returns whether requests need no API key at all.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns a customer by name.
    pub fn find(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns whether any customer has an allowance.
    pub fn has_allowances(&self) -> bool {
        let mut customers = self.by_name.values();
        customers.any(|customer| customer.allowance.is_some())
    }

    /// Authenticates a request. A request to a public route belongs to no customer,
    /// whatever credentials it has.
    ///
    /// # Errors
    ///
    /// The route is not public, and the request does not have exactly one credential that
    /// is a valid API key.
    pub fn authenticate(
        &self,
        public: bool,
        credentials: impl FnOnce() -> Credentials,
    ) -> Result<Sender, AuthError> {
        if self.is_empty() {
            return Ok(Sender::Anyone);
        }
        if public {
            return Ok(Sender::Public);
        }
        match credentials() {
            Credentials::Key(key) => match self.by_key.get(&key) {
                Some(customer) => Ok(Sender::Customer(Arc::clone(customer))),
                None => Err(AuthError::UnknownKey),
            },
            Credentials::None | Credentials::NoKey => Err(AuthError::UnknownKey),
            Credentials::Several => Err(AuthError::Ambiguous),
        }
    }
}
