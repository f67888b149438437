//! Look-up decisions on one core with 1.7 million client blocks.

use std::hint::black_box;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::{Duration, Instant};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use steering::blocks::{BlockTable, ClassId};
use steering::host_capacity::HostCapacity;
use steering::lookup::Directory;
use steering::membership::HostEntry;
use steering::rendezvous;
use steering::view::View;

use super::Spread;
use super::overhead::rss_mb;

pub const BLOCKS: usize = 1_700_000;
const ZONES: usize = 88;
const REGIONS: usize = 35;
const HOSTS_PER_ZONE: usize = 42;
const RUN: Duration = Duration::from_secs(5);
const BATCH: usize = 4_096;
const SAMPLE_EVERY: usize = 16;

/// Client blocks as networks are cut: most /24, some shorter with holes in them,
/// one in ten IPv6.
pub fn blocks(count: usize, seed: u64) -> Vec<(IpNet, ClassId)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut seen = std::collections::HashSet::with_capacity(count);
    let mut blocks = Vec::with_capacity(count);
    while blocks.len() < count {
        let class = rng.random_range(0..ZONES as u32 * 3);
        let prefix = match rng.random_range(0..10) {
            0 => {
                let address = Ipv6Addr::from(0x2000_u128 << 112 | rng.random::<u128>() >> 3);
                let length = rng.random_range(32..=56);
                Ipv6Net::new(address, length).map(|net| IpNet::V6(net.trunc()))
            }
            kind => {
                let length = if kind < 8 {
                    24
                } else {
                    rng.random_range(14..=23)
                };
                let address = Ipv4Addr::from(rng.random::<u32>());
                Ipv4Net::new(address, length).map(|net| IpNet::V4(net.trunc()))
            }
        };
        let prefix = prefix.expect("the lengths are valid");
        if seen.insert(prefix) {
            blocks.push((prefix, class));
        }
    }
    blocks
}

/// A directory of the target's size.
pub fn directory(zones: usize, hosts_per_zone: usize) -> Directory {
    let regions: Vec<Value> = (0..REGIONS)
        .map(|r| json!({"name": format!("r{r}")}))
        .collect();
    let zone = |z: usize| json!({"name": format!("z{z}"), "region": format!("r{}", z % REGIONS)});
    let zone_list: Vec<Value> = (0..zones).map(zone).collect();
    let mut links = Vec::new();
    for from in 0..REGIONS {
        for to in 0..from {
            links.push(json!({"from": format!("r{from}"), "to": format!("r{to}"), "one_way_ms": 10 + (from * 7 + to) % 90}));
        }
    }
    let document = json!({"regions": regions, "zones": zone_list, "links": links});
    let document = serde_json::from_value(document).expect("the document is valid");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let host = |zone: usize, number: usize| HostEntry {
        name: format!("h{zone}-{number}"),
        zone: format!("z{zone}"),
        caller_address: any,
        relay_address: any,
        peer_address: any,
        operator_address: any,
        capacity: HostCapacity::default(),
    };
    let mut view = View::new(host(0, 0), 1);
    view.plan = std::sync::Arc::new(steering::plan::Plan::new(std::sync::Arc::new(document)));
    view.hosts = (0..zones)
        .map(|z| {
            (
                format!("z{z}"),
                (0..hosts_per_zone).map(|n| host(z, n)).collect(),
            )
        })
        .collect();
    Directory::new(&view)
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let before_mb = rss_mb();
    let blocks = blocks(BLOCKS, 1);
    let begun = Instant::now();
    let table = BlockTable::build(blocks.iter().copied());
    let build_s = begun.elapsed().as_secs_f64();
    drop(blocks);
    let directory = directory(ZONES, HOSTS_PER_ZONE);
    let names: Vec<String> = (0..ZONES).map(|zone| format!("z{zone}")).collect();
    let mut rng = StdRng::seed_from_u64(2);
    let addresses: Vec<IpAddr> = (0..1 << 20)
        .map(|_| match rng.random_range(0..10) {
            0 => IpAddr::V6(Ipv6Addr::from(
                0x2000_u128 << 112 | rng.random::<u128>() >> 3,
            )),
            _ => IpAddr::V4(Ipv4Addr::from(rng.random::<u32>())),
        })
        .collect();
    let decide = |address: IpAddr| {
        let class = table.find(address);
        let zone = names.get(class as usize / 3).map(String::as_str);
        let spread = match address {
            IpAddr::V4(address) => rendezvous::hash(&address.octets()),
            IpAddr::V6(address) => rendezvous::hash(&address.octets()),
        };
        directory.find(zone, spread).len()
    };
    let mut decisions: u64 = 0;
    let mut times = Spread::default();
    let mut longest_ns = Vec::new();
    let begun = Instant::now();
    'run: loop {
        for batch in addresses.chunks(BATCH) {
            for (i, address) in batch.iter().enumerate() {
                if i.is_multiple_of(SAMPLE_EVERY) {
                    let one = Instant::now();
                    black_box(decide(*address));
                    longest_ns.push(one.elapsed().as_nanos() as u64);
                } else {
                    black_box(decide(*address));
                }
            }
            decisions += batch.len() as u64;
            times.add(begun.elapsed());
            if begun.elapsed() > RUN {
                break 'run;
            }
        }
    }
    let per_s = decisions as f64 / begun.elapsed().as_secs_f64();
    longest_ns.sort_unstable();
    let p99_ns = longest_ns[longest_ns.len() * 99 / 100];
    Ok(json!({
        "measure": "lookup",
        "blocks": BLOCKS,
        "ranges": table.ranges(),
        "decisions_per_s_one_core": per_s.round(),
        "p99_ns": p99_ns,
        "table_mb": (table.bytes() as f64 / 1e6).round(),
        "process_mb": (rss_mb() - before_mb).round(),
        "build_s": super::balance::round(build_s),
    }))
}
