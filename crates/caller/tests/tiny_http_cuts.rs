//! Why traffic does not go through `tiny_http`: an answer that breaks off looks
//! whole there. See docs/decisions/http-libraries.md. If this test ever fails,
//! the house style can be followed on the traffic path as well.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread;

use tiny_http::{Response, Server, StatusCode};

/// A source that breaks off after its first bytes.
struct Broken(bool);

impl Read for Broken {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if std::mem::replace(&mut self.0, true) {
            return Err(io::Error::other("the source broke off"));
        }
        buffer[..4].copy_from_slice(b"half");
        Ok(4)
    }
}

#[test]
fn tiny_http_ends_a_broken_answer_as_if_it_were_whole() {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let serving = thread::spawn(move || {
        let request = server.recv().unwrap();
        let status = StatusCode(200);
        let answer = Response::new(status, Vec::new(), Broken(false), None, None);
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
        "the server knows that it broke off"
    );
    assert!(
        answer.ends_with("0\r\n\r\n"),
        "and sends the end all the same: {answer:?}"
    );
}
