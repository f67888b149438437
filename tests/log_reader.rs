//! Guards against requests that wait for the log: a reader of standard output that stops reading
//! fills the pipe, and a write to it would then block.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use hyper::Method;
use platform_standin::{
    Manner, RouteSketch, StandInStore, StandInUpstream, document, request, settings_file,
};
use upstream::{Connections, Reuse};

/// The log lines of this many requests, about 300 bytes each, exceed the 64 KiB of a pipe several
/// times.
const REQUESTS: usize = 1_000;
/// Longest wait for one response. The test fails only if there is none at all.
const TIMEOUT: Duration = Duration::from_secs(60);
/// A loopback address that no other test uses. The ports below are lower than the ephemeral ports
/// of Linux; port 0 is not allowed in the settings.
const IP: Ipv4Addr = Ipv4Addr::new(127, 44, 0, 9);

async fn status(connections: &Connections, at: SocketAddr, path: &str, id: &str) -> Option<u16> {
    let request = request(Method::GET, path, id, "17", TIMEOUT);
    let deadline = Instant::now() + TIMEOUT;
    let sent = connections.send(at, 4, Reuse::Recent, request, deadline);
    sent.await.ok().map(|answer| answer.status().as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_delays_no_request() {
    let store = StandInStore::start(1).await.unwrap();
    let upstream = StandInUpstream::start("i-1", Manner::Answers(Duration::ZERO)).await;
    let upstream = upstream.unwrap();
    store.put_report("i-1", &upstream.report("work", "east", "ready", 0));
    store.put_document(&document(1, &[RouteSketch::new("/a/", "work")]));
    let settings = Path::new(env!("CARGO_TARGET_TMPDIR")).join("log-reader.toml");
    let address = |port: u16| SocketAddr::from((IP, port));
    let addresses = [20_001, 20_002, 20_003, 20_004].map(address);
    let zones = [("east", "north")];
    let text = settings_file("h1", zones[0], &zones, addresses, store.address(0));
    fs::write(&settings, text).unwrap();
    let mut host = Command::new(env!("CARGO_BIN_EXE_stagedeck"))
        .arg("serve")
        .env(platform::PATH_VARIABLE, &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let front = addresses[0];
    let connections = Connections::default();
    while status(&connections, front, "/a/x", "first").await != Some(200) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let got = status(&connections, front, "/a/x", &id).await;
        assert_eq!(got, Some(200), "request {number}");
    }
    host.kill().unwrap();
    let mut log = String::new();
    host.stdout
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    host.wait().unwrap();
    assert!(
        log.contains("event=request "),
        "the requests were logged: {log}"
    );
}
