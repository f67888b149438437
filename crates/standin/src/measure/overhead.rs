//! What the system adds to a request, and what a large download costs it.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use steering::Document;
use ureq::Agent;

use super::Spread;
use crate::deployment::{Deployment, DeploymentPlan, HostPlan};
use crate::upstream::Behaviour;

const REQUESTS: usize = 4_000;
const WARM_UP: usize = 200;
const LOAD_THREADS: usize = 8;
const LOAD_TIME: Duration = Duration::from_secs(4);
const DOWNLOAD_BYTES: u64 = 1 << 30;

fn document() -> Document {
    serde_json::from_value(json!({
        "regions": [{"name": "sierra"}],
        "zones": [{"name": "near", "region": "sierra"}, {"name": "far", "region": "sierra"}],
        "services": [
            {"name": "close", "expected_ms": 1.0, "deadline_ms": 60_000, "queue_limit": 1000},
            {"name": "distant", "expected_ms": 1.0, "deadline_ms": 60_000, "queue_limit": 1000}
        ],
        "upstreams": [
            {"name": "c1", "service": "close", "zone": "near", "address": "127.0.0.1:1", "slots": 64},
            {"name": "d1", "service": "distant", "zone": "far", "address": "127.0.0.1:2", "slots": 64}
        ]
    }))
    .expect("the document is valid")
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let host = |name: &str, zone: &str| HostPlan {
        name: name.to_owned(),
        zone: zone.to_owned(),
    };
    let deployment = Deployment::start(DeploymentPlan {
        hosts: vec![host("h1", "near"), host("h2", "far")],
        document: document(),
        behaviour: Behaviour {
            service_time: Duration::ZERO,
            ..Behaviour::default()
        },
        log: "warn".to_owned(),
        tune: |config| config.traffic_threads = 2,
        links: false,
    })?;
    let entry = deployment.addresses("h1").caller;
    let upstream = deployment.upstreams["c1"].address();
    let paths = [
        (upstream, "/paths".to_owned()),
        (entry, "/services/close/paths".to_owned()),
        (entry, "/services/distant/paths".to_owned()),
    ];
    let [direct, via, via_two] = in_turn(&paths)?;
    let requests_per_s = throughput(entry, "/services/close/paths");
    let direct_requests_per_s = throughput(upstream, "/paths");
    let look_ups_per_s = throughput(entry, "/v1/hosts?service=close");
    let rss_before_mb = rss_mb();
    let (bytes, rss_peak_mb, download_s) = download(entry)?;
    let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
    Ok(json!({
        "measure": "overhead",
        "direct_p50_us": direct.quantile_us(0.5),
        "direct_p99_us": direct.quantile_us(0.99),
        "via_p50_us": via.quantile_us(0.5),
        "via_p99_us": via.quantile_us(0.99),
        "via_two_p50_us": via_two.quantile_us(0.5),
        "via_two_p99_us": via_two.quantile_us(0.99),
        "ratio_p50": ratio(via.quantile_us(0.5), direct.quantile_us(0.5)),
        "ratio_p99": ratio(via.quantile_us(0.99), direct.quantile_us(0.99)),
        "ratio_two_p50": ratio(via_two.quantile_us(0.5), direct.quantile_us(0.5)),
        "requests_per_s": requests_per_s,
        "direct_requests_per_s": direct_requests_per_s,
        "look_ups_per_s": look_ups_per_s,
        "host_rss_mb": rss_before_mb,
        "download_bytes": bytes,
        "download_s": download_s,
        "download_rss_growth_mb": rss_peak_mb - rss_before_mb,
    }))
}

/// One request of each kind in turn, so that drift of the machine hits all alike.
fn in_turn(paths: &[(SocketAddr, String); 3]) -> io::Result<[Spread; 3]> {
    let agent: Agent = Agent::config_builder().build().into();
    let mut spreads = [Spread::default(), Spread::default(), Spread::default()];
    for round in 0..REQUESTS + WARM_UP {
        for ((address, path), spread) in paths.iter().zip(&mut spreads) {
            let begun = Instant::now();
            let answer = agent.get(format!("http://{address}{path}")).call();
            let mut answer = answer.map_err(io::Error::other)?;
            answer.body_mut().read_to_vec().map_err(io::Error::other)?;
            if round >= WARM_UP {
                spread.add(begun.elapsed());
            }
        }
    }
    Ok(spreads)
}

fn throughput(address: SocketAddr, path: &str) -> u64 {
    let begun = Instant::now();
    let count = |_| {
        let url = format!("http://{address}{path}");
        thread::spawn(move || {
            let agent: Agent = Agent::config_builder().build().into();
            let mut answered = 0;
            while begun.elapsed() < LOAD_TIME {
                let answer = agent.get(&url).call();
                let read = answer.is_ok_and(|mut answer| answer.body_mut().read_to_vec().is_ok());
                answered += u64::from(read);
            }
            answered
        })
    };
    let threads: Vec<_> = (0..LOAD_THREADS).map(count).collect();
    let sum: u64 = threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .sum();
    (sum as f64 / begun.elapsed().as_secs_f64()) as u64
}

fn download(entry: SocketAddr) -> io::Result<(u64, f64, f64)> {
    let begun = Instant::now();
    let url = format!("http://{entry}/services/close/archive?{DOWNLOAD_BYTES}");
    let mut answer = ureq::get(url).call().map_err(io::Error::other)?;
    let mut reader = answer.body_mut().as_reader();
    let mut buffer = vec![0; 1 << 16];
    let (mut bytes, mut peak_mb) = (0, rss_mb());
    let mut reads: u64 = 0;
    loop {
        let read = reader.read(&mut buffer)?;
        if read == 0 {
            return Ok((bytes, peak_mb, begun.elapsed().as_secs_f64()));
        }
        bytes += read as u64;
        reads += 1;
        if reads.is_multiple_of(1_000) {
            peak_mb = peak_mb.max(rss_mb());
        }
    }
}

/// Memory of this process, which holds hosts, stand-ins and load alike.
pub fn rss_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}
