//! The body of an answer, which occupies its connection until it is read to the end.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;

use crate::body::{ResumedBody, longer_hint};
use crate::connections::Lease;
use crate::{AnswerError, BodyError, BodyFraming, ChunkScanner, SendError};

/// The body of an answer. At the end of the body, the connection is returned for reuse. If the
/// body is dropped earlier, the connection is closed, which cancels the request at the server.
///
/// The connection of an answer without a body is returned by [`TrackedBody::accept`] or when the
/// body is polled, not before: an answer that belongs to another request must not leave a
/// connection on which every later answer belongs to the request before.
///
/// The last bytes are held back until the connection has shown what follows them, so that a body
/// with too short a stated length does not look complete. The same holds for a body in chunks whose
/// head states no transfer coding.
pub struct TrackedBody {
    body: ResumedBody<Incoming>,
    /// The last bytes, until they may be passed on.
    last: Option<Frame<Bytes>>,
    end: End,
    lease: Option<Lease>,
    /// `None` unless the body ends when the connection closes.
    scanner: Option<ChunkScanner>,
}

/// What is known of the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The end was not read yet.
    Ahead,
    /// The end was read; what follows it is not known yet.
    Read,
    /// Nothing that belongs to the answer follows its end.
    Confirmed,
}

impl TrackedBody {
    /// Waits for the first bytes of the body, or its end, so that a body that is broken from its
    /// beginning is known before any of the answer is passed on.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the body is broken.
    pub(crate) async fn begin(
        framing: BodyFraming,
        body: Incoming,
        lease: Lease,
    ) -> Result<Self, SendError> {
        let body = ResumedBody::read_first(body).await;
        let mut body = TrackedBody {
            body: body.map_err(SendError::of_body)?,
            last: None,
            end: End::Ahead,
            lease: Some(lease),
            scanner: (framing == BodyFraming::Close).then(ChunkScanner::default),
        };
        if body.body.is_read() {
            let confirmed = poll_fn(|context| body.poll_confirm(context)).await;
            confirmed.map_err(|reason| SendError::InvalidAnswer { reason })?;
        }
        Ok(body)
    }

    /// Accepts the answer as the one to its request. Returns the connection if there is no body.
    pub fn accept(&mut self) {
        if self.is_end_stream() {
            self.return_connection();
        }
    }

    fn scan(&mut self, frame: &Frame<Bytes>) {
        if let (Some(scanner), Some(data)) = (&mut self.scanner, frame.data_ref()) {
            scanner.read(data);
        }
    }

    /// Waits until it is known what follows the end of the body.
    fn poll_confirm(&mut self, context: &mut Context<'_>) -> Poll<Result<(), AnswerError>> {
        if let (Some(lease), true) = (&mut self.lease, self.end != End::Confirmed) {
            let mut confirmed = ready!(lease.poll_surplus(context));
            if self.scanner.as_ref().is_some_and(ChunkScanner::is_complete) {
                confirmed = Err(AnswerError::UndeclaredChunks);
            }
            self.end = End::Confirmed;
            return Poll::Ready(confirmed);
        }
        Poll::Ready(Ok(()))
    }

    fn return_connection(&mut self) {
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
        if self.last.is_none() && self.end != End::Read {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
            match frame.transpose() {
                Ok(Some(frame)) => {
                    self.scan(&frame);
                    if !self.body.is_end_stream() {
                        return Poll::Ready(Some(Ok(frame)));
                    }
                    // A reader that knows the size of the body may not poll again after this.
                    self.last = Some(frame);
                }
                Ok(None) => {}
                Err(error) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(error.into())));
                }
            }
            if self.end == End::Ahead {
                self.end = End::Read;
            }
        }
        if let Err(error) = ready!(self.poll_confirm(context)) {
            self.last = None;
            let address = self.lease.take().map(|lease| lease.address());
            metrics::counter!("stagedeck_invalid_answers_cut_total").increment(1);
            tracing::warn!(event = "answer_invalid", ?address, reason = %error);
            return Poll::Ready(Some(Err(error.into())));
        }
        self.return_connection();
        Poll::Ready(self.last.take().map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.last.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        longer_hint(
            &self.body.size_hint(),
            self.last.as_ref().and_then(Frame::data_ref),
        )
    }
}
