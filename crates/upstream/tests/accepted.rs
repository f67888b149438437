//! A connection is used again only after an answer that was accepted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use hyper::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Connections, Reuse, full};

/// Maximum wait for an answer; the test result does not depend on this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

async fn answer_all(mut stream: TcpStream) {
    let mut bytes = Vec::new();
    while stream
        .read_buf(&mut bytes)
        .await
        .is_ok_and(|count| count > 0)
    {
        if bytes.ends_with(b"\r\n\r\n") {
            bytes.clear();
            let text = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(text.as_bytes()).await;
        }
    }
}

#[rstest]
#[case::accepted(true, 1)]
#[case::not_accepted(false, 3)]
#[tokio::test]
async fn an_answer_without_a_body_keeps_its_connection_only_if_accepted(
    #[case] accepts: bool,
    #[case] connections_used: u32,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer_all(stream));
        }
    });
    let connections = Connections::default();
    for _ in 0..3 {
        let request = Request::get("/").body(full("")).unwrap();
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let sent = connections.send(address, 10, Reuse::Any, request, deadline);
        let mut answer = sent.await.unwrap();
        if accepts {
            answer.body_mut().accept();
        }
    }
    assert_eq!(count.load(Ordering::Relaxed), connections_used);
}
