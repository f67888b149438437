//! The body of an answer, which holds its connection until it has ended.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;

use crate::BodyError;
use crate::connections::Lease;

/// An answer's body. Read to its end it gives its connection back; dropped
/// before that it closes it, which cancels the request at the other end.
pub struct TrackedBody {
    body: Incoming,
    lease: Option<Lease>,
}

impl TrackedBody {
    pub(crate) fn new(body: Incoming, lease: Lease) -> Self {
        let mut tracked = TrackedBody {
            body,
            lease: Some(lease),
        };
        if tracked.body.is_end_stream() {
            tracked.finish();
        }
        tracked
    }

    fn finish(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match ready!(Pin::new(&mut self.body).poll_frame(context)) {
            Some(Ok(frame)) => {
                // The reader of a sized body may never ask for what follows its last byte.
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
