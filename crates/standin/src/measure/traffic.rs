//! Bytes that control messages cost a host, by the size of its zone and by zones.

use std::io;
use std::time::Duration;

use serde_json::json;
use steering::Document;

use crate::deployment::{Deployment, DeploymentPlan, HostPlan};

const IDLE: Duration = Duration::from_secs(5);
/// The host whose messages are counted, in the zone that grows.
const COUNTED: &str = "h0-0";

/// A deployment's size.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Zones; all but the first have one host.
    pub zones: usize,
    /// Hosts of the first zone.
    pub hosts: usize,
    /// Services, each with an upstream in every zone.
    pub services: usize,
}

fn document(size: Size) -> Document {
    let zones = (0..size.zones).map(|z| json!({"name": format!("z{z}"), "region": "r"}));
    let services = (0..size.services).map(|s| json!({"name": format!("service-{s}")}));
    let sites = (0..size.zones).flat_map(|z| (0..size.services).map(move |s| (z, s)));
    let upstreams = sites.map(|(z, s)| {
        let number = z * size.services + s + 1;
        json!({"name": format!("u{number}"), "service": format!("service-{s}"),
               "zone": format!("z{z}"), "address": format!("127.0.0.1:{number}"), "slots": 9})
    });
    serde_json::from_value(json!({
        "regions": [{"name": "r"}],
        "zones": zones.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "upstreams": upstreams.collect::<Vec<_>>(),
    }))
    .expect("the document is valid")
}

fn hosts(size: Size) -> Vec<HostPlan> {
    let host = |zone: usize, number: usize| {
        HostPlan::new(&format!("h{zone}-{number}"), &format!("z{zone}"))
    };
    let first = (0..size.hosts).map(|number| host(0, number));
    first
        .chain((1..size.zones).map(|zone| host(zone, 0)))
        .collect()
}

/// Sent and received by one host while no request comes, in KB/s.
pub fn kb_per_s(size: Size) -> io::Result<f64> {
    let plan = DeploymentPlan {
        hosts: hosts(size),
        document: document(size),
        links: false,
        ..DeploymentPlan::small()
    };
    let deployment = Deployment::start(plan)?;
    let before = deployment.peer_bytes(COUNTED);
    std::thread::sleep(IDLE);
    let bytes = deployment.peer_bytes(COUNTED) - before;
    Ok(bytes as f64 / 1e3 / IDLE.as_secs_f64())
}
