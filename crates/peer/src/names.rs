//! Services by the hash of their name, as loads travel.

use std::cell::RefCell;
use std::collections::HashMap;

use steering::ids::ServiceName;
use steering::rendezvous;

/// Hash of a service's name, the same on every host.
pub type ServiceId = u64;

/// The hash of a service's name.
pub fn service_id(name: &str) -> ServiceId {
    rendezvous::hash(name.as_bytes())
}

/// The services that this host knows; the control thread keeps them up to date.
#[derive(Debug, Default)]
pub struct ServiceNames(RefCell<HashMap<ServiceId, ServiceName>>);

impl ServiceNames {
    /// Knows these services from now on, and no others.
    pub fn set<'a>(&self, names: impl Iterator<Item = &'a ServiceName>) {
        let known = names.map(|name| (service_id(name), name.clone()));
        self.0.replace(known.collect());
    }

    /// The service with this hash; none where it is not known here.
    pub fn find(&self, id: ServiceId) -> Option<ServiceName> {
        self.0.borrow().get(&id).cloned()
    }
}
