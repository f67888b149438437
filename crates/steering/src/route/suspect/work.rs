//! Identity of repeated requests ("work"), derived from their contents.

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// Hash that identifies a repeated request or an object; equal on every host.
pub type WorkKey = u64;

/// Keys by which a repeated request is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkIdentity {
    /// Hash of route, method, path, object, customer and body.
    pub request: WorkKey,
    /// Hash of route and object; equal to `request` for a request without an object.
    pub object: WorkKey,
}

/// The parts of a request that identify a repetition of it.
#[derive(Debug, Clone, Copy)]
pub struct WorkParts<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Object key; `None` if the request names no object.
    pub object: Option<&'a [u8]>,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Customer that sent the request, if known.
    pub customer: Option<&'a str>,
    /// Request body; `None` if the body is too large to be buffered. Requests with such bodies are
    /// distinguished by the other parts only.
    pub body: Option<&'a [u8]>,
}

impl WorkIdentity {
    /// Computes the keys of a request.
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

    /// Wraps a key given by an operator, which may be that of a request or of an object.
    pub fn named(key: WorkKey) -> Self {
        WorkIdentity {
            request: key,
            object: key,
        }
    }

    /// The distinct keys: the request's, and the object's if there is one.
    pub fn keys(self) -> impl Iterator<Item = WorkKey> {
        let object = (self.object != self.request).then_some(self.object);
        [self.request].into_iter().chain(object)
    }
}
