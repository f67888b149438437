//! Frames of the bytes that an upstream sends: two bytes with the length, then as many bytes. An
//! empty frame ends the stream; a connection that ends without one has failed. A length of 65,535
//! has no content and asks the requesting host not to use the connection for further requests.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

const HEADER_BYTES: usize = 2;
/// Largest content of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 << 10;
/// Length that stands for a request to release the connection.
const RELEASE: u16 = u16::MAX;

/// Called when the relaying host asks for the release of a connection.
pub type OnRelease = Box<dyn FnOnce() + Send>;

/// A relayed connection to an upstream, as the requesting host reads and writes it.
pub struct RelayedStream<S> {
    stream: S,
    header: [u8; HEADER_BYTES],
    header_filled: usize,
    /// Bytes of the current frame that have not been read.
    remaining: usize,
    /// Whether the empty frame has arrived.
    ended: bool,
    on_release: Option<OnRelease>,
}

impl<S> RelayedStream<S> {
    pub(super) fn new(stream: S) -> Self {
        RelayedStream {
            stream,
            header: [0; HEADER_BYTES],
            header_filled: 0,
            remaining: 0,
            ended: false,
            on_release: None,
        }
    }

    /// Calls `on_release` when the relaying host asks for the release of the connection. The
    /// request under way on it may still end.
    pub fn with_release(self, on_release: OnRelease) -> Self {
        RelayedStream {
            on_release: Some(on_release),
            ..self
        }
    }
}

impl<S: AsyncRead + Unpin> RelayedStream<S> {
    /// Reads some bytes into `into`.
    fn poll_some(&mut self, context: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut buffer = ReadBuf::new(into);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
        match buffer.filled().len() {
            0 => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            count => Poll::Ready(Ok(count)),
        }
    }

    fn poll_header(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.header_filled < HEADER_BYTES {
            let mut bytes = [0; HEADER_BYTES];
            let missing = HEADER_BYTES - self.header_filled;
            let count = ready!(self.poll_some(context, &mut bytes[..missing]))?;
            self.header[self.header_filled..][..count].copy_from_slice(&bytes[..count]);
            self.header_filled += count;
        }
        self.header_filled = 0;
        match u16::from_be_bytes(self.header) {
            RELEASE => {
                if let Some(on_release) = self.on_release.take() {
                    on_release();
                }
            }
            length => {
                self.remaining = usize::from(length);
                self.ended = length == 0;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RelayedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.remaining == 0 && !this.ended {
            ready!(this.poll_header(context))?;
        }
        let wanted = this.remaining.min(buffer.remaining());
        if this.ended || wanted == 0 {
            return Poll::Ready(Ok(()));
        }
        let count = ready!(this.poll_some(context, buffer.initialize_unfilled_to(wanted)))?;
        buffer.advance(count);
        this.remaining -= count;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RelayedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Copies an upstream's bytes as frames until the upstream ends its side. `on_bytes` is called
/// before each write. When `release` is ready, asks the host to release the connection.
///
/// # Errors
///
/// Returns the error of either connection. The empty frame is written only after a regular end.
pub async fn copy_to_frames(
    upstream: &mut (impl AsyncRead + Unpin),
    host: &mut (impl AsyncWrite + Unpin),
    release: impl Future<Output = ()>,
    mut on_bytes: impl FnMut(),
) -> io::Result<()> {
    let mut frame = vec![0; HEADER_BYTES + MAX_FRAME_BYTES];
    let mut is_released = false;
    tokio::pin!(release);
    loop {
        let count = tokio::select! {
            // A stream without a pause must not delay the release.
            biased;
            () = &mut release, if !is_released => {
                is_released = true;
                host.write_all(&RELEASE.to_be_bytes()).await?;
                continue;
            }
            count = upstream.read(&mut frame[HEADER_BYTES..]) => count?,
        };
        let length = count as u16;
        frame[..HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        on_bytes();
        host.write_all(&frame[..HEADER_BYTES + count]).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
