//! A caller's connection with a check for ambiguous request heads and a write timeout.
//!
//! A head is ambiguous if two HTTP implementations may parse it differently, which
//! allows request smuggling: repeated `content-length` fields, `content-length`
//! beside `transfer-encoding`, or lines that end in a bare LF. hyper parses such heads
//! safely but does not report them, so the bytes are parsed here a second time with
//! `httparse`.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

const MAX_HEADERS: usize = 256;

/// Set once the connection has sent an ambiguous request head; never reset.
pub type AmbiguousHead = Arc<AtomicBool>;

/// Position of the checker in the byte stream of a connection.
enum Stage {
    /// Within a request head, with its bytes so far.
    Head(Vec<u8>),
    /// Within a body, with the number of bytes left.
    Body(u64),
    /// After a head whose body length is not known here. The connection must be closed
    /// after this request, since further heads would not be checked.
    Unchecked,
}

/// Checks the request heads of a connection for ambiguity.
pub struct HeadChecker {
    stage: Stage,
    limit: usize,
    ambiguous: AmbiguousHead,
}

impl HeadChecker {
    /// Checks heads of at most `limit` bytes and sets `ambiguous` for an ambiguous one.
    pub fn new(limit: usize, ambiguous: AmbiguousHead) -> Self {
        HeadChecker {
            stage: Stage::Head(Vec::new()),
            limit,
            ambiguous,
        }
    }

    /// Checks the next bytes of the connection.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match &mut self.stage {
                Stage::Unchecked => return,
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

    /// Checks bytes of a head; returns those that follow it.
    fn head<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Stage::Head(head) = &mut self.stage else {
            return bytes;
        };
        let before = head.len();
        let taken = (self.limit - before).min(bytes.len());
        head.extend_from_slice(&bytes[..taken]);
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(head) {
            Ok(httparse::Status::Complete(length)) => {
                let framing = Framing::of(request.headers);
                let ambiguous = framing.is_ambiguous() || has_bare_lf(&head[..length]);
                if ambiguous {
                    self.ambiguous.store(true, Ordering::Release);
                }
                self.stage = match framing.length {
                    _ if framing.has_transfer_encoding || ambiguous => Stage::Unchecked,
                    0 => Stage::Head(Vec::new()),
                    length => Stage::Body(length),
                };
                &bytes[length - before..]
            }
            Ok(httparse::Status::Partial) if taken > 0 => &bytes[taken..],
            // The head is too long or not HTTP, which hyper rejects.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.stage = Stage::Unchecked;
                &[]
            }
        }
    }
}

/// The header fields that determine the length of the body.
#[derive(Debug, Default)]
struct Framing {
    length_fields: usize,
    length: u64,
    has_transfer_encoding: bool,
    is_length_valid: bool,
}

impl Framing {
    fn of(fields: &[httparse::Header<'_>]) -> Framing {
        let mut framing = Framing {
            is_length_valid: true,
            ..Framing::default()
        };
        for field in fields {
            if field.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.has_transfer_encoding = true;
            }
            if field.name.eq_ignore_ascii_case("content-length") {
                framing.length_fields += 1;
                let text = std::str::from_utf8(field.value).unwrap_or("");
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                match text.parse() {
                    Ok(length) if digits => framing.length = length,
                    _ => framing.is_length_valid = false,
                }
            }
        }
        framing
    }

    fn is_ambiguous(&self) -> bool {
        !self.is_length_valid
            || self.length_fields > 1
            || (self.length_fields > 0 && self.has_transfer_encoding)
    }
}

fn has_bare_lf(head: &[u8]) -> bool {
    let after_cr = |i: usize| i > 0 && head[i - 1] == b'\r';
    head.iter()
        .enumerate()
        .any(|(i, byte)| *byte == b'\n' && !after_cr(i))
}

/// A stream that checks the request heads it reads, and whose writes time out.
pub struct GuardedStream<S> {
    stream: S,
    checker: HeadChecker,
    write_timeout: Duration,
    /// Runs while a write waits for the other side to read.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> GuardedStream<S> {
    /// Wraps a stream. A write that makes no progress for `write_timeout` fails.
    pub fn new(stream: S, checker: HeadChecker, write_timeout: Duration) -> Self {
        GuardedStream {
            stream,
            checker,
            write_timeout,
            timer: None,
        }
    }

    /// Replaces a pending write by an error once the timeout has passed.
    fn with_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        if timer.deadline() < Instant::now() || timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.checker.read(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.with_timeout(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.with_timeout(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.with_timeout(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
