//! Bodies that keep a value alive, that have limits on size and time, or that are buffered.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use crate::{Body, BodyError, full};
use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep, sleep};

/// A body that keeps a value alive until the body ends or is dropped.
pub struct GuardedBody<B, T> {
    body: B,
    guard: Option<T>,
}

impl<B, T> GuardedBody<B, T> {
    /// Creates a body that drops `guard` at its end.
    pub fn new(body: B, guard: T) -> Self {
        GuardedBody {
            body,
            guard: Some(guard),
        }
    }
}

impl<B, T> HttpBody for GuardedBody<B, T>
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Unpin,
    T: Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            self.guard = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body that fails if its sender pauses for too long or sends too many bytes.
pub struct BoundedBody<B> {
    body: B,
    remaining_bytes: u64,
    stall_timeout: Duration,
    timer: Pin<Box<Sleep>>,
}

impl<B> BoundedBody<B> {
    /// Limits `body` to `max_bytes`, and to a pause of `stall_timeout` between two frames.
    pub fn new(body: B, max_bytes: u64, stall_timeout: Duration) -> Self {
        BoundedBody {
            body,
            remaining_bytes: max_bytes,
            stall_timeout,
            timer: Box::pin(sleep(stall_timeout)),
        }
    }
}

/// Why reading a caller's body was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BodyLimitError {
    /// The body is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The sender paused for too long.
    #[display("the body came too slowly")]
    Stalled,
}

impl<B> HttpBody for BoundedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) else {
            ready!(self.timer.as_mut().poll(context));
            return Poll::Ready(Some(Err(BodyLimitError::Stalled.into())));
        };
        let stall_deadline = Instant::now() + self.stall_timeout;
        self.timer.as_mut().reset(stall_deadline);
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame.map(|error| error.map_err(Into::into)));
        };
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        if size > self.remaining_bytes {
            return Poll::Ready(Some(Err(BodyLimitError::TooLarge.into())));
        }
        self.remaining_bytes -= size;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body whose first bytes were already read.
pub(crate) struct ResumedBody<B> {
    first: Option<Bytes>,
    rest: B,
}

impl<B> ResumedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    /// Reads the first bytes of a body; waits until they arrive or the body ends.
    ///
    /// # Errors
    ///
    /// Returns the error of the body.
    pub(crate) async fn read_first(mut body: B) -> Result<Self, B::Error> {
        let first = match body.is_end_stream() {
            true => None,
            false => body.frame().await.transpose()?,
        };
        Ok(ResumedBody {
            // Trailers are dropped; neither callers nor upstreams rely on them.
            first: first.and_then(|frame| frame.into_data().ok()),
            rest: body,
        })
    }

    /// Whether the whole body was read; its first bytes may not have been polled yet.
    pub(crate) fn is_read(&self) -> bool {
        self.rest.is_end_stream()
    }
}

impl<B> HttpBody for ResumedBody<B>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        longer_hint(&self.rest.size_hint(), self.first.as_ref())
    }
}

/// The size hint of a body including bytes that were already read from it.
pub(crate) fn longer_hint(rest: &SizeHint, read: Option<&Bytes>) -> SizeHint {
    let read = read.map_or(0, |read| read.len() as u64);
    let mut hint = SizeHint::new();
    hint.set_lower(rest.lower() + read);
    if let Some(upper) = rest.upper() {
        hint.set_upper(upper + read);
    }
    hint
}

/// Result of [`buffer_body`].
pub enum BufferedBody {
    /// The complete body.
    Whole(Bytes),
    /// A body larger than the buffer, from its first byte.
    Streaming(Body),
}

/// Reads a body into memory if it has at most `max_bytes` bytes.
pub async fn buffer_body(mut body: Body, max_bytes: usize) -> Result<BufferedBody, BodyError> {
    let mut buffer = BytesMut::new();
    if body.size_hint().lower() > max_bytes as u64 {
        return Ok(BufferedBody::Streaming(body));
    }
    while let Some(frame) = body.frame().await {
        // Trailers are dropped; neither callers nor upstreams rely on them.
        if let Ok(data) = frame?.into_data() {
            buffer.extend_from_slice(&data);
        }
        if buffer.len() > max_bytes {
            let resumed = ResumedBody {
                first: Some(buffer.freeze()),
                rest: body,
            };
            return Ok(BufferedBody::Streaming(resumed.boxed_unsync()));
        }
    }
    Ok(BufferedBody::Whole(buffer.freeze()))
}

/// The body of a request that may be sent more than once.
pub enum RequestBody {
    /// The complete body, which can be sent again.
    Whole(Bytes),
    /// A body that is forwarded while it arrives; none after it was sent.
    Streaming(Option<Body>),
}

impl RequestBody {
    /// Returns a body to send; none if the body can't be sent again.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            RequestBody::Whole(bytes) => Some(full(bytes.clone())),
            RequestBody::Streaming(body) => body.take(),
        }
    }

    /// Whether [`RequestBody::take`] would return a body.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, RequestBody::Streaming(None))
    }

    /// Returns the complete body; none if the body is not buffered.
    pub fn buffered(&self) -> Option<&[u8]> {
        match self {
            RequestBody::Whole(bytes) => Some(bytes),
            RequestBody::Streaming(_) => None,
        }
    }

    /// Restores a body that was taken but not sent.
    pub fn put_back(&mut self, unsent: Body) {
        if let RequestBody::Streaming(body) = self {
            *body = Some(unsent);
        }
    }

    /// Returns a copy; none if the body is not buffered.
    pub fn copy(&self) -> Option<RequestBody> {
        match self {
            RequestBody::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
            RequestBody::Streaming(_) => None,
        }
    }
}

impl From<BufferedBody> for RequestBody {
    fn from(buffered: BufferedBody) -> Self {
        match buffered {
            BufferedBody::Whole(bytes) => RequestBody::Whole(bytes),
            BufferedBody::Streaming(body) => RequestBody::Streaming(Some(body)),
        }
    }
}
