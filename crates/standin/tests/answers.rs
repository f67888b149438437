//! A caller gets the whole answer to its own request, or sees that it broke off.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;
use standin::{
    Behaviour, Deployment, DeploymentPlan, HostPlan, Reply, StandInUpstream, TrialCaller, any_port,
};

/// What a raw HTTP/1.1 exchange showed.
#[derive(Debug)]
struct Seen {
    status: u16,
    body: Vec<u8>,
    /// Whether the body came to the end that its framing promises.
    whole: bool,
}

/// Reads one answer by its framing, with no help of a library that could hide a cut.
fn read_answer(reader: &mut impl BufRead) -> Option<Seen> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut chunked) = (None, false);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        match line.split_once(": ") {
            Some(("content-length", value)) => length = value.parse::<usize>().ok(),
            Some(("transfer-encoding", "chunked")) => chunked = true,
            _ if line.is_empty() => break,
            _ => {}
        }
    }
    let mut body = Vec::new();
    let whole = match (chunked, length) {
        (true, _) => read_chunks(reader, &mut body),
        (false, Some(length)) => {
            let _ = reader.take(length as u64).read_to_end(&mut body);
            body.len() == length
        }
        (false, None) => false,
    };
    Some(Seen {
        status,
        body,
        whole,
    })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).is_err() {
            return false;
        }
        let Ok(size) = u64::from_str_radix(size.trim(), 16) else {
            return false;
        };
        if size == 0 {
            return true;
        }
        let before = body.len() as u64;
        let _ = reader.by_ref().take(size).read_to_end(body);
        let mut end = [0; 2];
        if body.len() as u64 != before + size || reader.read_exact(&mut end).is_err() {
            return false;
        }
    }
}

fn ask(stream: &mut TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
}

fn entry(deployment: &Deployment) -> SocketAddr {
    deployment.addresses("n1").caller
}

#[rstest]
#[case::sized_small("/services/surcos/archive?100", 50)]
#[case::sized_large("/services/surcos/archive?3000000", 2_000_000)]
#[case::chunked_small("/services/surcos/archive-chunked?100", 50)]
#[case::chunked_large("/services/surcos/archive-chunked?3000000", 2_000_000)]
#[case::before_any_byte("/services/surcos/archive?100", 0)]
fn a_cut_answer_never_looks_whole(#[case] path: &str, #[case] cut_after_bytes: u64) {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    for upstream in deployment.upstreams.values() {
        upstream.behave(|behaviour| behaviour.cut_after_bytes = Some(cut_after_bytes));
    }
    let mut stream = TcpStream::connect(entry(&deployment)).unwrap();
    ask(&mut stream, path);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let seen = read_answer(&mut reader);
    let seen_whole = seen
        .as_ref()
        .is_some_and(|seen| seen.whole && seen.status == 200);
    assert!(!seen_whole, "{:?}", seen.map(|seen| seen.body.len()));
    // Nothing of another answer may follow on a connection whose answer was cut.
    ask(&mut stream, "/services/surcos/next");
    let mut rest = Vec::new();
    let _ = reader.read_to_end(&mut rest);
    assert!(!String::from_utf8_lossy(&rest).contains("HTTP/1.1 200"));
}

#[test]
fn the_next_answer_on_a_connection_is_the_next_requests_own() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let mut stream = TcpStream::connect(entry(&deployment)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for number in 0..20 {
        ask(&mut stream, &format!("/services/surcos/paths/{number}"));
        let seen = read_answer(&mut reader).unwrap();
        let own = format!("\"path\":\"/paths/{number}\"");
        assert!(seen.whole && String::from_utf8_lossy(&seen.body).contains(&own));
    }
}

#[test]
fn pipelined_requests_are_answered_in_their_order() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let mut stream = TcpStream::connect(entry(&deployment)).unwrap();
    for number in 0..5 {
        ask(&mut stream, &format!("/services/surcos/paths/{number}"));
    }
    let mut reader = BufReader::new(stream);
    for number in 0..5 {
        let seen = read_answer(&mut reader).unwrap();
        let own = format!("\"path\":\"/paths/{number}\"");
        assert!(
            String::from_utf8_lossy(&seen.body).contains(&own),
            "{seen:?}"
        );
    }
}

#[test]
fn a_caller_that_leaves_cancels_its_download() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let mut stream = TcpStream::connect(entry(&deployment)).unwrap();
    ask(&mut stream, "/services/surcos/archive?1000000000");
    let busy = |deployment: &Deployment| -> u32 {
        deployment
            .upstreams
            .values()
            .map(standin::StandInUpstream::in_flight)
            .sum()
    };
    standin::eventually("the download runs", || busy(&deployment) == 1).unwrap();
    drop(stream);
    standin::eventually("the download is cancelled", || busy(&deployment) == 0).unwrap();
    let free = |deployment: &Deployment| {
        let status = deployment.operator("n1").status().unwrap();
        let pools = status.pools.iter().flat_map(|pool| &pool.upstreams);
        pools.map(|upstream| upstream.in_flight).sum::<u32>() == 0 && status.in_flight == 0
    };
    standin::eventually("its slot is free", || free(&deployment)).unwrap();
}

#[test]
fn an_upstream_that_drops_requests_does_not_make_a_repeatable_one_fail() {
    let deployment = Deployment::start(DeploymentPlan::small()).unwrap();
    let broken = &deployment.upstreams["surcos-norte-1"];
    broken.behave(|behaviour| behaviour.drop_before_run = true);
    let mut caller = TrialCaller::new("surcos", vec![entry(&deployment)]);
    let answered = (0..30)
        .filter(|number| matches!(caller.get(&format!("/p/{number}")), Reply::Answered(_)))
        .count();
    assert!(answered >= 28, "{answered} of 30");
}

#[test]
fn a_stranger_at_a_vanished_hosts_address_answers_no_caller() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let stranger = StandInUpstream::start(
        "stranger",
        any_port(),
        Behaviour::default(),
        runtime.handle(),
    )
    .unwrap();
    let mut plan = DeploymentPlan::small();
    plan.links = false;
    plan.hosts.retain(|host| host.name == "n1");
    plan.document
        .upstreams
        .retain(|upstream| upstream.zone == "puerto");
    let mut deployment = Deployment::start(plan).unwrap();
    let address = stranger.address();
    let moved = |config: &mut stagedeck::Config| config.advertised.relay_address = Some(address);
    let host = HostPlan::new("p1", "puerto");
    deployment.start_host_with(&host, moved).unwrap();
    deployment.settle().unwrap();
    let caller = TrialCaller::new("surcos", Vec::new());
    let reply = caller.get_at(entry(&deployment), "/paths/1");
    let refused = |not_run: &str| not_run == "unknown";
    assert!(
        matches!(&reply, Reply::Refused { not_run, .. } if refused(not_run)),
        "{reply:?}"
    );
    assert!(
        stranger.counts().ran > 0,
        "the stranger was not asked: the test shows nothing"
    );
}
