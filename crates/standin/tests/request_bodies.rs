//! On the own interface too, requests reach their upstream with the body that the caller sent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;
use serde_json::Value;
use standin::{Deployment, DeploymentPlan, Health, eventually};

/// More than a host holds in memory, and less than the service allows.
const LONG_BODY_BYTES: usize = 100_000;

/// Sends a request with a body in chunks, and reads the JSON of its answer; none without a success.
fn send_in_chunks(address: SocketAddr, method: &str, body: &str) -> Option<Value> {
    let mut stream = TcpStream::connect(address).ok()?;
    let mut request = format!(
        "{method} /services/surcos/search HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    for chunk in body.as_bytes().chunks(9_973) {
        let text = std::str::from_utf8(chunk).expect("the body is ASCII");
        request.push_str(&format!("{:x}\r\n{text}\r\n", chunk.len()));
    }
    request.push_str("0\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, content) = answer.split_once("\r\n\r\n")?;
    if !head.starts_with("HTTP/1.1 200") {
        return None;
    }
    serde_json::from_str(content).ok()
}

/// A long GET request in chunks lost its body on the way to an upstream, or to the host that relays
/// the request.
#[rstest]
#[case::by_the_own_zone("norte")]
#[case::relayed_to_another_zone("puerto")]
fn a_long_body_in_chunks_stays_as_it_was_sent(
    #[case] zone: &str,
    #[values("GET", "OPTIONS")] method: &str,
) {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    for (name, upstream) in &deployment.upstreams {
        if !name.contains(zone) {
            upstream.behave(|behaviour| behaviour.health = Health::Unwell);
        }
    }
    let digits = "0123456789".repeat(LONG_BODY_BYTES / 10);
    let address = deployment.addresses("n1").caller;
    eventually("the zone's upstreams serve it", || {
        let Some(answer) = send_in_chunks(address, method, &digits) else {
            return false;
        };
        assert_eq!(answer["body"].as_str().map(str::len), Some(digits.len()));
        assert_eq!(answer["body"], digits.as_str());
        let upstream = answer["upstream"].as_str().unwrap_or_default();
        upstream.contains(zone)
    })
    .unwrap();
}
