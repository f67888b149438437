//! Reuse of idle connections, depending on the keep-alive time that the server states.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Connections, Reuse, full};

/// Maximum wait for an answer; the test result does not depend on this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Answers requests that have no body, with the given header lines; counts connections.
async fn serve(headers: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(answer(stream, headers));
        }
    });
    (address, count)
}

async fn answer(mut stream: TcpStream, headers: &str) {
    let mut bytes = Vec::new();
    while stream
        .read_buf(&mut bytes)
        .await
        .is_ok_and(|count| count > 0)
    {
        if bytes.ends_with(b"\r\n\r\n") {
            bytes.clear();
            let text = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 2\r\n\r\nok");
            let _ = stream.write_all(text.as_bytes()).await;
        }
    }
}

#[rstest]
#[case::nothing_said("", 1)]
#[case::long("Keep-Alive: timeout=600\r\n", 1)]
#[case::with_others("Keep-Alive: max=7, Timeout = 600\r\n", 1)]
#[case::at_once("Keep-Alive: timeout=0\r\n", 3)]
#[case::closes("Connection: close\r\n", 3)]
#[case::no_number("Keep-Alive: timeout=soon\r\n", 1)]
#[case::another_parameter("Keep-Alive: max=0\r\n", 1)]
#[tokio::test]
async fn a_connection_that_the_server_will_close_is_not_reused(
    #[case] headers: &'static str,
    #[case] connections_used: u32,
) {
    let (address, count) = serve(headers).await;
    let connections = Connections::default();
    for _ in 0..3 {
        let request = Request::get("/")
            .header("host", "x")
            .body(full(""))
            .unwrap();
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let sent = connections.send(address, 10, Reuse::Any, request, deadline);
        let body = sent.await.unwrap().into_body().collect().await.unwrap();
        assert_eq!(body.to_bytes(), "ok");
    }
    assert_eq!(count.load(Ordering::Relaxed), connections_used);
}
