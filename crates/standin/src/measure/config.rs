//! From acceptance to force on every host, with a few hosts and with many.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use operator::OperatorClient;
use serde_json::{Value, json};
use stagedeck::Config;
use steering::document::{Edit, Kind, ObjectId};

use super::Spread;
use super::overhead::rss_mb;
use crate::deployment::{Deployment, DeploymentPlan, HostPlan};

const SMALL: usize = 9;
const LARGE: usize = 200;
const HOSTS_PER_ZONE: usize = 10;
const ZONE: &str = "norte";
const CHANGES: usize = 30;
const IDLE: Duration = Duration::from_secs(5);
const ASK_EVERY: Duration = Duration::from_millis(2);

struct Measured {
    p50_ms: f64,
    p99_ms: f64,
    polls_per_s: f64,
    cpu_of_a_core_each: f64,
    rss_mb_each: f64,
    /// Sent to and received from other hosts.
    peer_kb_per_s_each: f64,
}

fn label(value: usize) -> Edit {
    let object = ObjectId {
        kind: Kind::Zone,
        name: ZONE.to_owned(),
    };
    let labels = BTreeMap::from([("measured".to_owned(), Some(value.to_string()))]);
    Edit::Label { object, labels }
}

fn lean(config: &mut Config) {
    config.traffic_threads = 1;
}

/// So many hosts, ten to a zone, in the two zones of the plan and as many more as it takes.
fn spread_out(plan: &mut DeploymentPlan, hosts: usize) {
    while plan.document.zones.len() * HOSTS_PER_ZONE < hosts {
        let mut zone = plan.document.zones[0].clone();
        zone.name = format!("more-{}", plan.document.zones.len());
        plan.document.zones.push(zone);
    }
    let zones = &plan.document.zones;
    plan.hosts = (0..hosts)
        .map(|number| HostPlan::new(&format!("h{number}"), &zones[number % zones.len()].name))
        .collect();
}

fn measure(hosts: usize) -> io::Result<Measured> {
    let mut plan = DeploymentPlan::small();
    spread_out(&mut plan, hosts);
    plan.tune = lean;
    plan.links = false;
    let before_mb = rss_mb();
    let deployment = Deployment::start(plan)?;
    let rss_mb_each = (rss_mb() - before_mb) / hosts as f64;
    let clients: Vec<OperatorClient> = deployment
        .hosts
        .keys()
        .map(|name| deployment.operator(name))
        .collect();
    let polls = deployment.platform.counts().reads;
    let cpu_s = cpu_seconds();
    let peer_bytes = all_peer_bytes(&deployment);
    std::thread::sleep(IDLE);
    let peer_bytes = (all_peer_bytes(&deployment) - peer_bytes) as f64;
    let peer_kb_per_s_each = peer_bytes / 1e3 / IDLE.as_secs_f64() / hosts as f64;
    let polls_per_s = (deployment.platform.counts().reads - polls) as f64 / IDLE.as_secs_f64();
    let cpu_of_a_core_each = (cpu_seconds() - cpu_s) / IDLE.as_secs_f64() / hosts as f64;
    let mut times = Spread::default();
    for change in 0..CHANGES {
        let name = format!("h{}", change % hosts);
        let base = deployment
            .operator(&name)
            .document()
            .map_err(io::Error::other)?
            .revision;
        deployment.propose(&name, label(change))?;
        let accepted = Instant::now();
        for client in &clients {
            while client.status().map_or(0, |status| status.revision) <= base {
                std::thread::sleep(ASK_EVERY);
            }
        }
        times.add(accepted.elapsed());
    }
    Ok(Measured {
        p50_ms: times.quantile_ms(0.5),
        p99_ms: times.quantile_ms(0.99),
        polls_per_s,
        cpu_of_a_core_each,
        rss_mb_each,
        peer_kb_per_s_each,
    })
}

fn all_peer_bytes(deployment: &Deployment) -> u64 {
    let hosts = deployment.hosts.keys();
    hosts.map(|host| deployment.peer_bytes(host)).sum()
}

/// Processor time of this process, in seconds.
pub fn cpu_seconds() -> f64 {
    const TICKS_PER_S: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or("");
    let field = |n: usize| {
        after_name
            .split(' ')
            .nth(n)
            .and_then(|t| t.parse::<f64>().ok())
    };
    (field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0)) / TICKS_PER_S
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let small = measure(SMALL)?;
    let large = measure(LARGE)?;
    let figures = |hosts: usize, measured: &Measured| {
        json!({
            "hosts": hosts,
            "zones": hosts.div_ceil(HOSTS_PER_ZONE).max(2),
            "in_force_p50_ms": measured.p50_ms,
            "in_force_p99_ms": measured.p99_ms,
            "store_polls_per_s": measured.polls_per_s,
            "idle_cpu_percent_of_a_core_each": (measured.cpu_of_a_core_each * 1e4).round() / 100.0,
            "rss_mb_each": super::balance::round(measured.rss_mb_each),
            "peer_kb_per_s_each": super::balance::round(measured.peer_kb_per_s_each),
        })
    };
    Ok(json!({
        "measure": "config",
        "small": figures(SMALL, &small),
        "large": figures(LARGE, &large),
        "ratio_p99": super::balance::round(large.p99_ms / small.p99_ms),
    }))
}
