//! Requests for relays, and the frames of relayed bytes.

use std::future::{pending, ready};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use peer::relay::{
    RelayError, RelayRequest, RelayStatus, copy_to_frames, receive_request, request_relay,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::sync::Notify;

const KEY: &[u8] = b"a key for tests";
const BUFFER_BYTES: usize = 64;

fn request() -> RelayRequest {
    RelayRequest {
        from: "h1".to_owned(),
        to: "h2".to_owned(),
        service: "surcos".to_owned(),
        upstream: "i-1".to_owned(),
        is_check: false,
        accepts_release: true,
    }
}

#[rstest]
#[case::open(RelayStatus::Open)]
#[case::refuses(RelayStatus::UpstreamRefuses)]
#[case::unreachable(RelayStatus::UpstreamUnreachable)]
#[case::unknown(RelayStatus::UpstreamUnknown)]
#[case::unavailable(RelayStatus::Unavailable)]
#[case::full(RelayStatus::Full)]
#[tokio::test]
async fn both_hosts_know_what_came_of_a_request(#[case] status: RelayStatus) {
    let (near, far) = duplex(BUFFER_BYTES);
    let relaying = async {
        let offer = receive_request(far, KEY, "h2").await.unwrap();
        assert_eq!(offer.request, request());
        offer.answer(KEY, status).await.unwrap()
    };
    let wanted = request();
    let (asked, _far) = tokio::join!(request_relay(near, KEY, &wanted), relaying);
    let (received, stream) = asked.unwrap();
    assert_eq!(received, status);
    assert_eq!(stream.is_some(), status == RelayStatus::Open);
}

#[rstest]
#[case::another_key(b"another key", "h2")]
#[case::meant_for_another_host(KEY, "h3")]
#[tokio::test]
async fn forged_requests_get_no_relay(#[case] key: &[u8], #[case] own_name: &str) {
    let (near, far) = duplex(BUFFER_BYTES);
    let wanted = request();
    let (asked, received) = tokio::join!(
        request_relay(near, key, &wanted),
        receive_request(far, KEY, own_name)
    );
    assert!(matches!(received, Err(RelayError::Forged)));
    assert!(matches!(asked, Err(RelayError::Io(_))));
}

#[tokio::test]
async fn a_process_without_the_key_at_a_hosts_address_gets_no_bytes() {
    let (near, far) = duplex(BUFFER_BYTES);
    let stranger = async {
        let offer = receive_request(far, KEY, "h2").await.unwrap();
        offer
            .answer(b"another key", RelayStatus::Open)
            .await
            .unwrap()
    };
    let wanted = request();
    let (asked, _far) = tokio::join!(request_relay(near, KEY, &wanted), stranger);
    assert!(matches!(asked, Err(RelayError::Forged)));
}

#[rstest]
#[case::too_long(&[0xff, 0xff])]
#[case::no_request(&[0, 2, b'{', b'}'])]
#[tokio::test]
async fn damaged_requests_are_refused(#[case] bytes: &[u8]) {
    let (mut near, far) = duplex(4_096);
    near.write_all(bytes).await.unwrap();
    near.write_all(&[0; 32]).await.unwrap();
    assert!(receive_request(far, KEY, "h2").await.is_err());
}

/// Relays `sent` and returns what the requesting host reads, or its error.
async fn relayed(sent: &[u8], ends: bool) -> std::io::Result<Vec<u8>> {
    let (near, far) = duplex(BUFFER_BYTES);
    let (mut upstream, mut upstream_far) = duplex(BUFFER_BYTES);
    let relaying = async {
        let offer = receive_request(far, KEY, "h2").await.unwrap();
        let mut host = offer.answer(KEY, RelayStatus::Open).await.unwrap();
        match ends {
            true => copy_to_frames(&mut upstream_far, &mut host, pending(), || ())
                .await
                .unwrap(),
            // The relaying host is killed after it has passed on some bytes.
            false => {
                let passed = Notify::new();
                tokio::select! {
                    _ = copy_to_frames(&mut upstream_far, &mut host, pending(), || passed.notify_one()) => {}
                    () = passed.notified() => {}
                }
            }
        }
    };
    let wanted = request();
    let reading = async {
        let (_, stream) = request_relay(near, KEY, &wanted).await.unwrap();
        let mut read = Vec::new();
        stream.unwrap().read_to_end(&mut read).await.map(|_| read)
    };
    let writing = async {
        upstream.write_all(sent).await.unwrap();
        if ends {
            upstream.shutdown().await.unwrap();
        }
        upstream
    };
    let (read, (), _upstream) = tokio::join!(reading, relaying, writing);
    read
}

#[rstest]
#[case::nothing(0)]
#[case::little(5)]
#[case::several_frames(30_000)]
#[tokio::test]
async fn relayed_bytes_arrive_unchanged(#[case] count: usize) {
    let sent: Vec<u8> = (0..count).map(|i| i as u8).collect();
    assert_eq!(relayed(&sent, true).await.unwrap(), sent);
}

#[tokio::test]
async fn an_end_without_the_last_frame_is_an_error() {
    let read = relayed(b"half of an answer", false).await;
    let kind = read.map_err(|error| error.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn a_request_to_release_a_connection_changes_none_of_its_bytes() {
    let (near, far) = duplex(BUFFER_BYTES);
    let (mut upstream, mut upstream_far) = duplex(BUFFER_BYTES);
    let relaying = async {
        let offer = receive_request(far, KEY, "h2").await.unwrap();
        let mut host = offer.answer(KEY, RelayStatus::Open).await.unwrap();
        copy_to_frames(&mut upstream_far, &mut host, ready(()), || ())
            .await
            .unwrap();
    };
    let is_released = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&is_released);
    let wanted = request();
    let reading = async {
        let (_, stream) = request_relay(near, KEY, &wanted).await.unwrap();
        let on_release = Box::new(move || flag.store(true, Ordering::Relaxed));
        let mut stream = stream.unwrap().with_release(on_release);
        let mut read = Vec::new();
        stream.read_to_end(&mut read).await.unwrap();
        read
    };
    let writing = async {
        upstream.write_all(b"an answer").await.unwrap();
        upstream.shutdown().await.unwrap();
    };
    let (read, (), ()) = tokio::join!(reading, relaying, writing);
    assert_eq!(read, b"an answer");
    assert!(is_released.load(Ordering::Relaxed));
}
