//! Bodies: those that hold something until they end, and those that time out.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use crate::{Body, BodyError, full};
use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep, sleep};

/// A body that holds a value until it ends or is dropped.
pub struct GuardedBody<B, T> {
    body: B,
    held: Option<T>,
}

impl<B, T> GuardedBody<B, T> {
    /// Holds `held` with the body.
    pub fn new(body: B, held: T) -> Self {
        GuardedBody {
            body,
            held: Some(held),
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
            self.held = None;
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

/// A body that fails where its sender is silent for too long, or sends too much.
pub struct BoundedBody<B> {
    body: B,
    left: u64,
    stall: Duration,
    timer: Pin<Box<Sleep>>,
}

impl<B> BoundedBody<B> {
    /// At most `limit` bytes, at most `stall` between two parts.
    pub fn new(body: B, limit: u64, stall: Duration) -> Self {
        BoundedBody {
            body,
            left: limit,
            stall,
            timer: Box::pin(sleep(stall)),
        }
    }
}

/// Why a body of a caller was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum BodyLimitError {
    /// It is larger than allowed.
    #[display("the body is too large")]
    TooLarge,
    /// The sender was silent for too long.
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
        let next = Instant::now() + self.stall;
        self.timer.as_mut().reset(next);
        let Some(Ok(frame)) = frame else {
            return Poll::Ready(frame.map(|error| error.map_err(Into::into)));
        };
        let size = frame.data_ref().map_or(0, |data| data.len() as u64);
        if size > self.left {
            return Poll::Ready(Some(Err(BodyLimitError::TooLarge.into())));
        }
        self.left -= size;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// What has come of a body before the rest.
struct Resumed {
    first: Option<Bytes>,
    rest: Body,
}

impl HttpBody for Resumed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.size_hint();
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + first);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + first);
        }
        hint
    }
}

/// A body that was read as far as is held.
pub enum BufferedBody {
    /// All of it.
    Whole(Bytes),
    /// More than is held; the body from its start.
    Streaming(Body),
}

/// Reads a body, and holds it whole where it has at most `limit` bytes.
pub async fn buffer_body(mut body: Body, limit: usize) -> Result<BufferedBody, BodyError> {
    let mut held = BytesMut::new();
    if body.size_hint().lower() > limit as u64 {
        return Ok(BufferedBody::Streaming(body));
    }
    while let Some(frame) = body.frame().await {
        // Trailers are dropped: neither side of the system promises them.
        if let Ok(data) = frame?.into_data() {
            held.extend_from_slice(&data);
        }
        if held.len() > limit {
            let resumed = Resumed {
                first: Some(held.freeze()),
                rest: body,
            };
            return Ok(BufferedBody::Streaming(resumed.boxed_unsync()));
        }
    }
    Ok(BufferedBody::Whole(held.freeze()))
}

/// The body of a request, to be sent once or more.
pub enum RequestBody {
    /// Held whole.
    Whole(Bytes),
    /// Passed on as it comes; none once it has been sent.
    Streaming(Option<Body>),
}

impl RequestBody {
    /// A body to send; none where it can't be sent again.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            RequestBody::Whole(bytes) => Some(full(bytes.clone())),
            RequestBody::Streaming(body) => body.take(),
        }
    }

    /// All of it, where it is held whole.
    pub fn buffered(&self) -> Option<&[u8]> {
        match self {
            RequestBody::Whole(bytes) => Some(bytes),
            RequestBody::Streaming(_) => None,
        }
    }

    /// A body that was not sent.
    pub fn put_back(&mut self, unsent: Body) {
        if let RequestBody::Streaming(body) = self {
            *body = Some(unsent);
        }
    }

    /// A copy, where it is held whole.
    pub fn copy(&self) -> Option<RequestBody> {
        match self {
            RequestBody::Whole(bytes) => Some(RequestBody::Whole(bytes.clone())),
            RequestBody::Streaming(_) => None,
        }
    }
}

impl From<BufferedBody> for RequestBody {
    fn from(held: BufferedBody) -> Self {
        match held {
            BufferedBody::Whole(bytes) => RequestBody::Whole(bytes),
            BufferedBody::Streaming(body) => RequestBody::Streaming(Some(body)),
        }
    }
}
