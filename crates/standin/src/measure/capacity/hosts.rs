//! Costs that grow with the hosts of a zone.

use std::hint::black_box;
use std::io;
use std::time::Instant;

use peer::HeartbeatMessage;
use serde_json::Value;
use steering::load_estimate::ServiceLoad;
use steering::membership::{Membership, Timing};
use steering::pool::PoolLoad;
use steering::rendezvous;

use super::slope::{HOSTS, HOSTS_IN_ZONE, over, slope, time_us};
use super::traffic_over;
use super::worlds::host;
use crate::measure::traffic::Size;

const SIZES: &[usize] = &[2, 10, 42, 100];
/// Sizes at which messages are counted.
const MESSAGE_SIZES: &[usize] = &[2, 10, 21, 42];

/// Measures them.
///
/// # Errors
///
/// A socket can't be had.
pub fn slopes(beat_bytes: f64) -> io::Result<Vec<Value>> {
    let messages = traffic_over(MESSAGE_SIZES, |hosts| Size {
        zones: 2,
        hosts,
        services: 1,
    })?;
    Ok(vec![
        slope(
            "membership",
            &HOSTS_IN_ZONE,
            "us to take a heartbeat",
            over(SIZES, |hosts| {
                let (mut me, mut others, now) = membership(hosts);
                let mut next = 0;
                time_us(|| {
                    next = (next + 1) % others.len();
                    let beat = others[next].heartbeat(now, Default::default());
                    me.receive(now, beat);
                })
            }),
        ),
        slope(
            "membership",
            &HOSTS_IN_ZONE,
            "us to say who is there",
            over(SIZES, |hosts| {
                let (mut me, mut others, now) = membership(hosts);
                for other in &mut others {
                    me.receive(now, other.heartbeat(now, Default::default()));
                }
                time_us(|| {
                    black_box(me.accepting_hosts(now));
                })
            }),
        ),
        slope(
            "membership",
            &HOSTS_IN_ZONE,
            "KB/s of heartbeats out",
            over(SIZES, |hosts| {
                let every = Timing::of(hosts).heartbeat_interval.as_secs_f64();
                (hosts - 1) as f64 * beat_bytes / every / 1e3
            }),
        ),
        slope(
            "membership",
            &HOSTS_IN_ZONE,
            "s until a silent host is gone",
            over(SIZES, |hosts| {
                let timing = Timing::of(hosts);
                (timing.suspect_after + timing.confirm_within).as_secs_f64()
            }),
        ),
        slope(
            "any",
            &HOSTS,
            "us to rank the owners of a pool",
            over(SIZES, |hosts| {
                let names: Vec<String> = (0..hosts).map(|n| format!("host-{n}")).collect();
                time_us(|| {
                    black_box(rendezvous::rank(
                        "service/zone/0",
                        names.iter().map(String::as_str),
                    ));
                })
            }),
        ),
        slope(
            "membership",
            &HOSTS_IN_ZONE,
            "KB/s of messages out and in, 2 zones, 1 service",
            messages,
        ),
    ])
}

/// Size of a heartbeat that tells the load of one pool, in bytes.
pub fn beat_bytes() -> f64 {
    let mut membership = Membership::new(host(0, 0), 1, Instant::now());
    let load = ServiceLoad {
        service: "service-1".to_owned(),
        load: PoolLoad::default(),
    };
    let beat = HeartbeatMessage {
        heartbeat: membership.heartbeat(Instant::now(), Default::default()),
        revision: 1,
        loads: vec![load],
        condition: None,
    };
    beat.wire_bytes() as f64
}

fn membership(hosts: usize) -> (Membership, Vec<Membership>, Instant) {
    let now = Instant::now();
    let make = |number| Membership::new(host(0, number), 1, now);
    (make(0), (1..hosts).map(make).collect(), now)
}
