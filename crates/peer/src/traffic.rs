//! Counts the bytes exchanged with other hosts.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::{AsyncRead, AsyncWrite};

/// Bytes of messages since the process started, without transport headers.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    sent: Cell<u64>,
    received: Cell<u64>,
}

impl PeerTraffic {
    /// Total bytes sent to other hosts.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.get()
    }

    /// Total bytes received from other hosts.
    pub fn received_bytes(&self) -> u64 {
        self.received.get()
    }
}

/// One half of a connection; counts the bytes that pass through.
pub(crate) struct ByteCounter<T> {
    half: T,
    traffic: Rc<PeerTraffic>,
}

impl<T> ByteCounter<T> {
    pub(crate) fn new(half: T, traffic: &Rc<PeerTraffic>) -> Self {
        ByteCounter {
            half,
            traffic: Rc::clone(traffic),
        }
    }
}

fn count_bytes(count: &Cell<u64>, polled: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = polled {
        count.set(count.get() + *bytes as u64);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ByteCounter<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.half).poll_read(context, buffer);
        count_bytes(&self.traffic.received, &read);
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ByteCounter<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.half).poll_write(context, buffer);
        count_bytes(&self.traffic.sent, &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_close(context)
    }
}
