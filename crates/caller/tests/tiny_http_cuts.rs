//! Shows why traffic is not served by `tiny_http`: it ends a truncated response as if the
//! response were complete. If this test fails, the reason is gone and `tiny_http` can serve
//! traffic as well. See docs/decisions/http-libraries.md.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;

use tiny_http::{Response, Server, StatusCode};

/// A body that fails after its first bytes.
struct FailingBody(bool);

impl Read for FailingBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if std::mem::replace(&mut self.0, true) {
            return Err(io::Error::other("the body failed"));
        }
        buffer[..4].copy_from_slice(b"half");
        Ok(4)
    }
}

#[test]
fn tiny_http_ends_a_truncated_response_as_if_it_were_complete() {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let serving = thread::spawn(move || {
        let request = server.recv().unwrap();
        let status = StatusCode(200);
        let answer = Response::new(status, Vec::new(), FailingBody(false), None, None);
        request.respond(answer).is_err()
    });
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(
        serving.join().unwrap(),
        "the server knows that the body failed"
    );
    assert!(
        answer.ends_with("0\r\n\r\n"),
        "the last chunk is sent all the same: {answer:?}"
    );
}
