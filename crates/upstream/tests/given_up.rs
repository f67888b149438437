//! What becomes of a request that was given up while it was on its way.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use upstream::{Connections, Reuse, SendError, full};

/// More than the buffers of both sockets hold, in bytes.
const BODY_BYTES: usize = 64 << 20;

#[tokio::test]
async fn a_request_that_was_given_up_is_not_delivered_later() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Connections::default();
    let request = Request::post("/")
        .body(full(vec![b'x'; BODY_BYTES]))
        .unwrap();
    let deadline = Instant::now() + Duration::from_millis(200);
    let sent = connections.send(address, 10, Reuse::Any, request, deadline);
    assert!(matches!(sent.await, Err(SendError::Timeout)));
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut arrived = Vec::new();
    let ended = stream.read_to_end(&mut arrived).await;
    assert_eq!(ended.unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert!(arrived.len() < BODY_BYTES);
}
