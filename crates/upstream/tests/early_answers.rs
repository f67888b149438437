//! Answers that arrive while the body of their request is still being sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc;
use futures::{SinkExt, StreamExt};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Body, BodyError, Connections, Reuse, full};

/// Maximum wait for an answer; the test result does not depend on this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A server that answers each request as soon as it has read the head, and reads the body then.
/// Returns the requests, as they were received on each connection.
async fn serve() -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::unbounded();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, sender.clone()));
        }
    });
    (address, requests)
}

async fn answer_early(mut stream: TcpStream, requests: mpsc::UnboundedSender<String>) {
    let mut bytes = Vec::new();
    while stream
        .read_buf(&mut bytes)
        .await
        .is_ok_and(|count| count > 0)
    {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if text.ends_with("first\r\n") || text.ends_with("\r\n\r\n") && !text.contains("chunked") {
            stream.write_all(ANSWER).await.unwrap();
        }
        let is_whole = text.ends_with("0\r\n\r\n") || !text.contains("chunked");
        if is_whole && text.ends_with("\r\n\r\n") {
            bytes.clear();
            requests.unbounded_send(text).unwrap();
        }
    }
}

async fn send(connections: &Connections, address: SocketAddr, body: Body) -> StatusCode {
    let request = Request::post("/").body(body).unwrap();
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let sent = connections.send(address, 10, Reuse::Any, request, deadline);
    let mut answer = sent.await.expect("the server answers");
    answer.body_mut().accept();
    answer.status()
}

/// The connection of an answer that came early was used for the next request, which waited for the
/// upload, and broke it off when its own time was over.
#[tokio::test]
async fn a_connection_is_not_used_while_a_body_is_sent_on_it() {
    let (address, mut requests) = serve().await;
    let connections = Connections::default();
    let (mut sender, parts) = mpsc::channel::<Result<Frame<Bytes>, BodyError>>(1);
    let mut send_part = async |text: &'static str| {
        let frame = Frame::data(Bytes::from_static(text.as_bytes()));
        sender.send(Ok(frame)).await.unwrap();
    };
    let upload = BodyExt::boxed_unsync(StreamBody::new(parts));
    let (status, ()) = futures::join!(send(&connections, address, upload), send_part("first"));
    assert_eq!(status, StatusCode::OK);

    assert_eq!(
        send(&connections, address, full("")).await,
        StatusCode::OK,
        "it does not wait for the upload"
    );
    let second = requests.next().await.expect("the server runs");
    assert!(!second.contains("first"), "{second}");
    assert_eq!(connections.open(address), 2);

    send_part("last").await;
    drop(sender);
    let first = requests.next().await.expect("the server runs");
    assert!(first.contains("first") && first.contains("last"), "{first}");
}

#[tokio::test]
async fn a_connection_is_used_again_once_the_body_is_sent() {
    let (address, _requests) = serve().await;
    let connections = Connections::default();
    for _ in 0..5 {
        let body = full("12345\r\n\r\n");
        assert_eq!(send(&connections, address, body).await, StatusCode::OK);
    }
    assert_eq!(connections.open(address), 1);
}
