//! Lookup of services by the hash of their name, which load messages contain instead of the name.

use std::cell::RefCell;
use std::collections::HashMap;

use steering::ids::ServiceName;
use steering::rendezvous;

/// Hash of a service's name, the same on every host.
pub type ServiceId = u64;

/// Returns the hash of a service's name.
pub fn service_id(name: &str) -> ServiceId {
    rendezvous::hash(name.as_bytes())
}

/// The services known to this host; updated by the control thread.
#[derive(Debug, Default)]
pub struct ServiceNames(RefCell<HashMap<ServiceId, ServiceName>>);

impl ServiceNames {
    /// Replaces all known services.
    pub fn set<'a>(&self, names: impl Iterator<Item = &'a ServiceName>) {
        let known = names.map(|name| (service_id(name), name.clone()));
        self.0.replace(known.collect());
    }

    /// Returns the service with the hash `id`; none if this host does not know the service.
    pub fn find(&self, id: ServiceId) -> Option<ServiceName> {
        self.0.borrow().get(&id).cloned()
    }
}
