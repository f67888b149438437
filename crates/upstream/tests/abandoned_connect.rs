//! Connection attempts that are given up.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;
use upstream::{Connections, Reuse};

const ATTEMPTS: u32 = 5;
/// Time given to an attempt; shorter than that after which connecting fails by itself.
const ATTEMPT_TIME: Duration = Duration::from_millis(50);

/// A listener whose queue is full, so that the kernel drops further attempts to connect. Returns
/// the connections that fill it, too.
async fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let filling = (0..8).map(|_| timeout(ATTEMPT_TIME, TcpStream::connect(address)));
    let filling = join_all(filling).await;
    let filling = filling
        .into_iter()
        .filter_map(|connected| connected.ok()?.ok());
    (listener, address, filling.collect())
}

#[tokio::test]
async fn a_connection_attempt_that_is_given_up_is_no_longer_counted() {
    let (_listener, address, _filling) = full_listener().await;
    let connections = Connections::default();
    for _ in 0..ATTEMPTS {
        let deadline = clock::now() + ATTEMPT_TIME;
        let attempt = connections.connect(address, 1, Reuse::Any, deadline);
        assert_eq!(
            attempt.await.err().as_deref(),
            Some("connecting took too long")
        );
        assert_eq!(connections.open(address), 0);
    }
}
