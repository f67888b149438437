//! Slopes of what each role costs, measured at several sizes and fitted.

use std::hint::black_box;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::overhead::rss_mb;
use peer::Beat;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use steering::Document;
use steering::belief::ServiceLoad;
use steering::blocks::BlockTable;
use steering::document::{Block, Change, Edit, Kind, ObjectId};
use steering::history::History;
use steering::lookup::Directory;
use steering::membership::{HostEntry, Membership, Timing};
use steering::plan::Plan;
use steering::pool::PoolLoad;
use steering::rendezvous;
use steering::view::View;

use super::balance::round;
use super::look_up::{blocks, directory};
use super::traffic::{self, Size};

/// Sites of a zone at the target, each of another service: 2,200 over 88.
const SERVICES_A_ZONE: usize = 25;
const REPEAT: Duration = Duration::from_millis(120);

/// A straight line through measured points: `y = base + slope * x`.
struct Fit {
    base: f64,
    slope: f64,
    /// Largest distance of a point from the line, over the largest point.
    error: f64,
}

fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let sxy: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let sxx: f64 = points
        .iter()
        .map(|(x, _)| (x - mean_x) * (x - mean_x))
        .sum();
    let slope = sxy / sxx;
    let base = mean_y - slope * mean_x;
    let largest = points
        .iter()
        .map(|(_, y)| y.abs())
        .fold(f64::MIN_POSITIVE, f64::max);
    let off = |(x, y): &(f64, f64)| (base + slope * x - y).abs() / largest;
    Fit {
        base,
        slope,
        error: points.iter().map(off).fold(0.0, f64::max),
    }
}

/// Mean time of a call, in microseconds.
fn time_us(mut call: impl FnMut()) -> f64 {
    call();
    let begun = Instant::now();
    let mut calls = 0_u32;
    while begun.elapsed() < REPEAT {
        call();
        calls += 1;
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// Sites with so many client blocks.
fn with_blocks(count: usize) -> Document {
    let mut document = document(88, 2_200);
    let blocks = blocks(count, 1).into_iter().map(|(prefix, class)| Block {
        prefix,
        zone: format!("zone-{}", class % 88),
        labels: Default::default(),
    });
    document.blocks = Arc::new(blocks.collect());
    document
}

/// Size of a heartbeat that tells the load of one pool, in bytes.
fn beat_bytes() -> f64 {
    let mut membership = Membership::new(host(0, 0), 1, Instant::now());
    let load = ServiceLoad {
        service: "service-1".to_owned(),
        load: PoolLoad::default(),
    };
    let beat = Beat {
        heartbeat: membership.heartbeat(Instant::now(), Default::default()),
        revision: 1,
        loads: vec![load],
    };
    beat.wire_bytes() as f64
}

/// One role's cost over one size.
fn slope(role: &str, of: &str, unit: &str, target: f64, points: Vec<(f64, f64)>) -> Value {
    let fitted = fit(&points);
    let listed: Vec<Value> = points.iter().map(|(x, y)| json!([x, round(*y)])).collect();
    json!({
        "role": role, "over": of, "unit": unit, "points": listed,
        "base": round(fitted.base), "slope": fitted.slope, "fit_error": round(fitted.error),
        "target_size": target, "at_target": round(fitted.base + fitted.slope * target),
    })
}

fn host(zone: usize, number: usize) -> HostEntry {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    HostEntry {
        name: format!("host-{zone}-{number}"),
        zone: format!("zone-{zone}"),
        caller_address: any,
        relay_address: any,
        peer_address: any,
        operator_address: any,
    }
}

/// Sites spread over zones, with a service for each eight of them.
fn document(zones: usize, sites: usize) -> Document {
    let zone_list: Vec<Value> = (0..zones)
        .map(|z| json!({"name": format!("zone-{z}"), "region": "r"}))
        .collect();
    let services = sites.div_ceil(8);
    let service_list: Vec<Value> = (0..services)
        .map(|s| json!({"name": format!("s{s}")}))
        .collect();
    let upstreams: Vec<Value> = (0..sites)
        .map(|u| {
            json!({"name": format!("u{u}"), "service": format!("s{}", u % services),
                   "zone": format!("zone-{}", u % zones), "slots": 9,
                   "address": format!("10.{}.{}.{}:80", u >> 16, (u >> 8) & 255, u & 255)})
        })
        .collect();
    let document = json!({"regions": [{"name": "r"}], "zones": zone_list,
        "services": service_list, "upstreams": upstreams});
    serde_json::from_value(document).expect("the document is valid")
}

fn view(zones: usize, sites: usize, hosts_per_zone: usize) -> View {
    let mut view = View::new(host(0, 0), 1);
    view.plan = Arc::new(Plan::new(Arc::new(document(zones, sites))));
    view.hosts = (0..zones)
        .map(|z| {
            (
                format!("zone-{z}"),
                (0..hosts_per_zone).map(|n| host(z, n)).collect(),
            )
        })
        .collect();
    view
}

fn membership(hosts: usize) -> (Membership, Vec<Membership>, Instant) {
    let now = Instant::now();
    let make = |number| Membership::new(host(0, number), 1, now);
    (make(0), (1..hosts).map(make).collect(), now)
}

fn block_points(measure: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    // The largest last: memory that was freed may be used again unseen.
    let sizes = [10_000, 100_000, 500_000, 1_000_000, 1_700_000];
    sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect()
}

fn over(sizes: &[usize], measure: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect()
}

fn traffic_over(sizes: &[usize], size: impl Fn(usize) -> Size) -> io::Result<Vec<(f64, f64)>> {
    sizes
        .iter()
        .map(|x| Ok((*x as f64, traffic::kb_per_s(size(*x))?)))
        .collect()
}

fn addresses() -> Vec<IpAddr> {
    let mut rng = StdRng::seed_from_u64(3);
    (0..65_536)
        .map(|_| IpAddr::V4(Ipv4Addr::from(rng.random::<u32>())))
        .collect()
}

fn look_up_us(table: &BlockTable, directory: &Directory, addresses: &[IpAddr]) -> f64 {
    let mut next = 0;
    time_us(|| {
        for _ in 0..1_000 {
            next = (next + 1) % addresses.len();
            let class = table.find(addresses[next]);
            let zone = format_zone(class);
            black_box(directory.find(zone, u64::from(class)));
        }
    }) / 1_000.0
}

fn format_zone(class: u32) -> Option<&'static str> {
    const ZONES: [&str; 4] = ["z0", "z1", "z2", "z3"];
    ZONES.get(class as usize % ZONES.len()).copied()
}

fn change(number: u64) -> Change {
    let object = ObjectId {
        kind: Kind::Upstream,
        name: "u1".to_owned(),
    };
    let labels = [("n".to_owned(), Some(number.to_string()))].into();
    Change {
        id: number.to_string(),
        edits: vec![Edit::Label { object, labels }],
    }
}

/// Measures; one JSON object.
pub fn run() -> io::Result<Value> {
    let addresses = addresses();
    let zone_sizes = [6, 22, 44, 88];
    let site_sizes = [36, 300, 1_100, 2_200];
    let host_sizes = [2, 10, 42, 100];
    let target_zone_hosts = 42.0;
    let look_up_directory = directory(88, 42);
    let beat_bytes = beat_bytes();
    let slopes = vec![
        slope(
            "look-up",
            "blocks",
            "MB of table",
            1.7e6,
            block_points(|size| BlockTable::build(blocks(size, 1)).bytes() as f64 / 1e6),
        ),
        slope(
            "look-up",
            "blocks",
            "us of a core for a decision",
            1.7e6,
            block_points(|size| {
                look_up_us(
                    &BlockTable::build(blocks(size, 1)),
                    &look_up_directory,
                    &addresses,
                )
            }),
        ),
        slope(
            "configuration",
            "blocks",
            "ms to build the table",
            1.7e6,
            block_points(|size| {
                let blocks = blocks(size, 1);
                time_us(|| {
                    black_box(BlockTable::build(blocks.iter().copied()));
                }) / 1e3
            }),
        ),
        slope(
            "configuration",
            "sites",
            "ms to make a plan",
            2_200.0,
            over(&site_sizes, |sites| {
                let document = Arc::new(document(88.min(sites), sites));
                time_us(|| {
                    black_box(Plan::new(Arc::clone(&document)));
                }) / 1e3
            }),
        ),
        slope(
            "configuration",
            "sites",
            "ms to accept a change",
            2_200.0,
            over(&site_sizes, |sites| {
                let mut history = History::default();
                let first =
                    Document::default().difference(&document(88.min(sites), sites), "f".into());
                let entry = history.propose(first);
                history.accept(&entry).expect("the first change is valid");
                let mut number = 0;
                time_us(|| {
                    number += 1;
                    let entry = history.propose(change(number));
                    history.accept(&entry).expect("the change is valid");
                }) / 1e3
            }),
        ),
        slope(
            "configuration",
            "sites",
            "KB of the document as JSON",
            2_200.0,
            over(&site_sizes, |sites| {
                serde_json::to_vec(&document(88.min(sites), sites)).map_or(0, |json| json.len())
                    as f64
                    / 1e3
            }),
        ),
        slope(
            "owner",
            "sites",
            "us to find what it owns",
            2_200.0,
            over(&site_sizes, |sites| {
                let view = view(88.min(sites), sites, 42);
                time_us(|| {
                    black_box(view.owned_pools());
                })
            }),
        ),
        slope(
            "relay",
            "zones",
            "us to choose among places",
            88.0,
            over(&zone_sizes, |zones| {
                let view = view(zones, zones * 8, 42);
                let service = view.plan.services.values().next().expect("there is one");
                time_us(|| {
                    black_box(view.targets(Instant::now(), service, None));
                })
            }),
        ),
        slope(
            "look-up",
            "zones",
            "ms to order the zones",
            88.0,
            over(&zone_sizes, |zones| {
                let view = view(zones, zones, 42);
                time_us(|| {
                    black_box(Directory::new(&view));
                }) / 1e3
            }),
        ),
        slope(
            "membership",
            "hosts in a zone",
            "us to take a heartbeat",
            target_zone_hosts,
            over(&host_sizes, |hosts| {
                let (mut me, mut others, now) = membership(hosts);
                let mut next = 0;
                time_us(|| {
                    next = (next + 1) % others.len();
                    let beat = others[next].heartbeat(now, Default::default());
                    me.heard(now, beat);
                })
            }),
        ),
        slope(
            "membership",
            "hosts in a zone",
            "us to say who is there",
            target_zone_hosts,
            over(&host_sizes, |hosts| {
                let (mut me, mut others, now) = membership(hosts);
                for other in &mut others {
                    me.heard(now, other.heartbeat(now, Default::default()));
                }
                time_us(|| {
                    black_box(me.staying(now));
                })
            }),
        ),
        slope(
            "membership",
            "hosts in a zone",
            "KB/s of heartbeats out",
            target_zone_hosts,
            over(&host_sizes, |hosts| {
                let every = Timing::of(hosts).beat_every.as_secs_f64();
                (hosts - 1) as f64 * beat_bytes / every / 1e3
            }),
        ),
        slope(
            "membership",
            "hosts in a zone",
            "s until a silent host is gone",
            target_zone_hosts,
            over(&host_sizes, |hosts| {
                let timing = Timing::of(hosts);
                (timing.doubt_after + timing.vouch_within).as_secs_f64()
            }),
        ),
        slope(
            "zone poller",
            "zones",
            "reads of the table a second",
            88.0,
            over(&zone_sizes, |zones| (zones * 2) as f64),
        ),
        slope(
            "any",
            "hosts",
            "us to rank the owners of a pool",
            target_zone_hosts,
            over(&host_sizes, |hosts| {
                let names: Vec<String> = (0..hosts).map(|n| format!("host-{n}")).collect();
                time_us(|| {
                    black_box(rendezvous::rank(
                        "service/zone/0",
                        names.iter().map(String::as_str),
                    ));
                })
            }),
        ),
    ];
    let mut slopes = slopes;
    slopes.push(slope(
        "configuration",
        "blocks",
        "MB of blocks held as objects",
        1.7e6,
        block_points(|size| {
            let before_mb = rss_mb();
            let document = black_box(with_blocks(size));
            let held_mb = rss_mb() - before_mb;
            drop(document);
            held_mb
        }),
    ));
    slopes.push(slope(
        "configuration",
        "blocks",
        "ms to accept a change of another object",
        1.7e6,
        block_points(|size| {
            let mut history = History::default();
            let first = Document::default().difference(&with_blocks(size), "f".into());
            let entry = history.propose(first);
            history.accept(&entry).expect("the first change is valid");
            let mut plan = Plan::new(Arc::clone(history.document()));
            let mut number = 0;
            time_us(|| {
                number += 1;
                let entry = history.propose(change(number));
                history.accept(&entry).expect("the change is valid");
                plan = plan.next(Arc::clone(history.document()));
            }) / 1e3
        }),
    ));
    let by_hosts = traffic_over(&[2, 10, 21, 42], |hosts| Size {
        zones: 2,
        hosts,
        services: 1,
    });
    slopes.push(slope(
        "membership",
        "hosts in a zone",
        "KB/s of messages out and in, 2 zones, 1 service",
        target_zone_hosts,
        by_hosts?,
    ));
    let by_zones = traffic_over(&zone_sizes, |zones| Size {
        zones,
        hosts: 2,
        services: SERVICES_A_ZONE,
    });
    slopes.push(slope(
        "configuration exchange",
        "zones",
        "KB/s of messages out and in, 2 hosts, 25 services",
        88.0,
        by_zones?,
    ));
    Ok(json!({"measure": "capacity", "heartbeat_bytes": beat_bytes, "slopes": slopes}))
}

/// The slopes as a table for docs/CAPACITY.md.
pub fn table(measured: &Value) -> String {
    let mut lines = vec![
        "| role | cost | over | sizes measured | at the target's size | fit error |".to_owned(),
        "| --- | --- | --- | --- | --- | --- |".to_owned(),
    ];
    for slope in measured["slopes"].as_array().into_iter().flatten() {
        let points = slope["points"].as_array().into_iter().flatten();
        let points: Vec<String> = points
            .map(|point| format!("{}: {}", point[0], point[1]))
            .collect();
        let text = |field: &str| slope[field].as_str().unwrap_or("").to_owned();
        lines.push(format!(
            "| {} | {} | {} | {} | {} at {} | {} |",
            text("role"),
            text("unit"),
            text("over"),
            points.join(", "),
            slope["at_target"],
            slope["target_size"],
            slope["fit_error"]
        ));
    }
    lines.join("\n")
}
