//! Answers that stop at any byte, and statuses that no answer has, yield no complete answer.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::{Connections, Reuse, full};

/// Maximum wait for an answer; the test result does not depend on this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const BODY: &str = "0123456789abcdefghij";
const CHUNKS: &str = "a\r\n0123456789\r\na\r\nabcdefghij\r\n0\r\n\r\n";

/// How a server ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A server that answers each request with the bytes that are set, and ends the connection.
struct Server {
    address: std::net::SocketAddr,
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Server {
    async fn start(end: End) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let bytes = Arc::new(Mutex::new(Vec::new()));
        let serving = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let bytes = serving.lock().unwrap().clone();
                tokio::spawn(answer(stream, bytes, end));
            }
        });
        Server { address, bytes }
    }

    /// Sends a request that is answered with these bytes. Returns the answer if it looks complete.
    async fn ask(&self, bytes: &[u8]) -> Option<(StatusCode, Vec<u8>)> {
        *self.bytes.lock().unwrap() = bytes.to_vec();
        let connections = Connections::default();
        let request = Request::get("/").body(full("")).unwrap();
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let sent = connections.send(self.address, 10, Reuse::Any, request, deadline);
        let answer = sent.await.ok()?;
        let status = answer.status();
        let body = answer.into_body().collect().await.ok()?;
        Some((status, body.to_bytes().to_vec()))
    }
}

async fn answer(mut stream: TcpStream, bytes: Vec<u8>, end: End) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut request).await {
            Ok(count) if count > 0 => {}
            _ => return,
        }
    }
    // The client may close the connection as soon as it has read an invalid head.
    let _ = stream.write_all(&bytes).await;
    if end == End::Reset {
        stream.set_zero_linger().expect("the socket is open");
    }
}

/// An upstream stopped in the middle of its answer's head and closed; its answer must not become an
/// empty or short body that is framed as whole.
#[rstest]
#[case::length("Content-Length: 20\r\n", BODY, false)]
#[case::chunks("Transfer-Encoding: chunked\r\n", CHUNKS, false)]
#[case::length_and_close("Content-Length: 20\r\nConnection: close\r\n", BODY, false)]
#[case::close("Connection: close\r\n", BODY, true)]
#[tokio::test]
async fn an_answer_that_stops_early_is_not_complete(
    #[case] framing: &str,
    #[case] body: &str,
    #[case] ends_by_close: bool,
    #[values(End::Close, End::Reset)] end: End,
) {
    let server = Server::start(end).await;
    let head = format!("HTTP/1.1 200 OK\r\nProof: own\r\n{framing}\r\n");
    let whole = format!("{head}{body}");
    for length in 0..whole.len() {
        // A close within such a body can't be told from its end.
        if ends_by_close && end == End::Close && length >= head.len() {
            break;
        }
        let got = server.ask(&whole.as_bytes()[..length]).await;
        assert_eq!(got, None, "{length} of {} bytes", whole.len());
    }
    if end == End::Close {
        let got = server.ask(whole.as_bytes()).await;
        assert_eq!(got, Some((StatusCode::OK, BODY.as_bytes().to_vec())));
    }
}

/// An upstream in trouble sent an answer whose status was 000.
#[tokio::test]
async fn a_status_that_no_answer_has_yields_no_answer() {
    let server = Server::start(End::Close).await;
    for status in (0..100).chain(600..1_000) {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let text = format!(
                "{version} {status:03} OK\r\nConnection: close\r\nContent-Length: 20\r\n\r\n{BODY}"
            );
            assert_eq!(server.ask(text.as_bytes()).await, None, "{status:03}");
        }
    }
}
