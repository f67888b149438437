//! A caller's connection, watched for shapes of request heads that two HTTP
//! implementations could read in two ways, and for readers that stall.
//!
//! hyper reads such heads safely but says nothing of them: equal lengths given
//! twice, a length after a transfer coding, and lines that end in a bare LF. The
//! heads themselves are read by `httparse`.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

const MAX_HEADERS: usize = 256;

/// Set when a head was read that is not to be trusted; never cleared.
pub type Suspect = Arc<AtomicBool>;

/// Where the watch stands in the bytes of a connection.
enum Stage {
    /// In a head; its bytes so far.
    Head(Vec<u8>),
    /// In a body of so many more bytes.
    Body(u64),
    /// After a head whose end is not watched; the connection must close after it.
    Unwatched,
}

/// Watches the heads of a connection's requests.
pub struct HeadWatch {
    stage: Stage,
    limit: usize,
    suspect: Suspect,
}

impl HeadWatch {
    /// Watches heads of at most `limit` bytes.
    pub fn new(limit: usize, suspect: Suspect) -> Self {
        HeadWatch {
            stage: Stage::Head(Vec::new()),
            limit,
            suspect,
        }
    }

    /// Takes the next bytes of the connection.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match &mut self.stage {
                Stage::Unwatched => return,
                Stage::Body(left) => {
                    let skip = (bytes.len() as u64).min(*left);
                    *left -= skip;
                    if *left == 0 {
                        self.stage = Stage::Head(Vec::new());
                    }
                    &bytes[skip as usize..]
                }
                Stage::Head(_) => self.head(bytes),
            };
        }
    }

    fn head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Stage::Head(head) = &mut self.stage else {
            return bytes;
        };
        let before = head.len();
        let room = (self.limit - before).min(bytes.len());
        head.extend_from_slice(&bytes[..room]);
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(head) {
            Ok(httparse::Status::Complete(length)) => {
                let framing = Framing::of(request.headers);
                let suspect = framing.is_ambiguous() || has_bare_lf(&head[..length]);
                if suspect {
                    self.suspect.store(true, Ordering::Release);
                }
                self.stage = match framing.length {
                    _ if framing.coded || suspect => Stage::Unwatched,
                    0 => Stage::Head(Vec::new()),
                    length => Stage::Body(length),
                };
                &bytes[length - before..]
            }
            Ok(httparse::Status::Partial) if room > 0 => &bytes[room..],
            // Too long, or no HTTP: hyper refuses it.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.stage = Stage::Unwatched;
                &[]
            }
        }
    }
}

/// What the head says of the body's length.
#[derive(Debug, Default)]
struct Framing {
    lengths: usize,
    length: u64,
    coded: bool,
    readable: bool,
}

impl Framing {
    fn of(fields: &[httparse::Header<'_>]) -> Framing {
        let mut framing = Framing {
            readable: true,
            ..Framing::default()
        };
        for field in fields {
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.coded = true;
            }
            if field.name.eq_ignore_ascii_case("content-length") {
                framing.lengths += 1;
                let text = std::str::from_utf8(field.value).unwrap_or("");
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                match text.parse() {
                    Ok(length) if digits => framing.length = length,
                    _ => framing.readable = false,
                }
            }
        }
        framing
    }

    fn is_ambiguous(&self) -> bool {
        !self.readable || self.lengths > 1 || (self.lengths > 0 && self.coded)
    }
}

fn has_bare_lf(head: &[u8]) -> bool {
    let after_cr = |i: usize| i > 0 && head[i - 1] == b'\r';
    head.iter()
        .enumerate()
        .any(|(i, byte)| *byte == b'\n' && !after_cr(i))
}

/// A connection whose heads are watched and whose writes time out.
pub struct Guarded<S> {
    stream: S,
    watch: HeadWatch,
    stall: Duration,
    /// Runs while a write waits for the reader.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> Guarded<S> {
    /// Guards a stream; a write that waits for `stall` fails.
    pub fn new(stream: S, watch: HeadWatch, stall: Duration) -> Self {
        Guarded {
            stream,
            watch,
            stall,
            timer: None,
        }
    }

    fn bound<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let stall = self.stall;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(stall)));
        if timer.deadline() < Instant::now() || timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.watch.read(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.bound(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.bound(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.bound(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
