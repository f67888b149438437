//! What is the same about requests that do the same work.

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// A request that comes again, or an object, the same on every host.
pub type WorkKey = u64;

/// What a request is known by where it comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkIdentity {
    /// The request itself: route, path, object, who sends it, and body.
    pub request: WorkKey,
    /// Its route and object; `request` where it is about none.
    pub object: WorkKey,
}

/// The parts of a request that are the same where it comes again.
#[derive(Debug, Clone, Copy)]
pub struct WorkParts<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Object that it is about, where it names one.
    pub object: Option<&'a [u8]>,
    /// Its method.
    pub method: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// Customer that sends it, where one is known.
    pub customer: Option<&'a str>,
    /// Its body; none where it is too large to be held. Such requests are told apart by the rest.
    pub body: Option<&'a [u8]>,
}

impl WorkIdentity {
    /// What a request with these parts is known by.
    pub fn new(parts: &WorkParts<'_>) -> Self {
        let route = XxHash3_64::oneshot(parts.route.as_bytes());
        let bytes = [
            parts.method.as_bytes(),
            parts.path.as_bytes(),
            parts.object.unwrap_or_default(),
            parts.customer.unwrap_or_default().as_bytes(),
            parts.body.unwrap_or_default(),
        ];
        let request = bytes
            .iter()
            .fold(route, |key, part| XxHash3_64::oneshot_with_seed(key, part));
        let object = parts.object;
        let object = object.map(|object| XxHash3_64::oneshot_with_seed(route, object));
        WorkIdentity {
            request,
            object: object.unwrap_or(request),
        }
    }

    /// All that an operator's key names: a request, or an object.
    pub fn named(key: WorkKey) -> Self {
        WorkIdentity {
            request: key,
            object: key,
        }
    }

    /// Its keys, each once.
    pub fn keys(self) -> impl Iterator<Item = WorkKey> {
        let object = (self.object != self.request).then_some(self.object);
        [self.request].into_iter().chain(object)
    }
}
