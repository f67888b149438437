//! A link to a host or to the platform that can be cut, frozen or slowed.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16_384;

/// What a link does with what is sent over it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Passes it on.
    Open,
    /// Breaks connections and takes no new ones.
    Cut,
    /// Holds everything back until it is open again; nobody is told.
    Frozen,
    /// Passes each piece on after a while.
    Slow(Duration),
}

/// A link; it ends when dropped.
pub struct Link {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Link {
    /// A link to `target`, at any free port.
    pub fn start(target: SocketAddr, runtime: &Handle) -> io::Result<Link> {
        let listener = TcpListener::bind(crate::deployment::any_port())?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(LinkState::Open);
        let task = runtime.spawn(accept(listener, target, watched));
        Ok(Link {
            address,
            state,
            task,
        })
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does from now on.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = connections.join_next(), if !connections.is_empty() => continue,
        };
        if let Ok((near, _)) = accepted
            && *state.borrow() != LinkState::Cut
        {
            connections.spawn(pass(near, target, state.clone()));
        }
    }
}

async fn pass(
    near: tokio::net::TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(far) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, state.clone());
    let back = copy(far_read, near_write, state.clone());
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = state.wait_for(|state| *state == LinkState::Cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let now = *state.borrow_and_update();
        match now {
            LinkState::Slow(delay) => sleep(delay).await,
            LinkState::Frozen => {
                let thawed = state.wait_for(|state| *state != LinkState::Frozen);
                if thawed.await.is_err() {
                    return;
                }
            }
            LinkState::Open | LinkState::Cut => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
