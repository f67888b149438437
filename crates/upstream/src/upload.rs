//! The transmission of a request's body, which may outlast the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http_body::Body as HttpBody;
use http_body_util::BodyExt;

use crate::{Body, GuardedBody};

/// Upload of a request's body on a connection.
#[derive(Debug, Default)]
pub(crate) struct Upload {
    /// Whether the upload has ended; none if there is no body.
    is_ended: Option<Arc<AtomicBool>>,
}

/// Notes the end of the upload when dropped.
struct UploadGuard(Arc<AtomicBool>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

impl Upload {
    /// Begins the upload of a body. It ends when the returned body has been read or dropped.
    pub fn track(&mut self, body: Body) -> Body {
        if body.is_end_stream() {
            return body;
        }
        let is_ended = Arc::new(AtomicBool::new(false));
        self.is_ended = Some(Arc::clone(&is_ended));
        GuardedBody::new(body, UploadGuard(is_ended)).boxed_unsync()
    }

    /// Whether there was a body to upload.
    pub fn has_begun(&self) -> bool {
        self.is_ended.is_some()
    }

    /// Whether the body is still being uploaded.
    pub fn is_under_way(&self) -> bool {
        let is_ended = self.is_ended.as_ref();
        is_ended.is_some_and(|is_ended| !is_ended.load(Ordering::Acquire))
    }
}
