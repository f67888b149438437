//! Costs that grow with client blocks.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use steering::Document;
use steering::blocks::BlockTable;
use steering::history::History;
use steering::lookup::Directory;
use steering::plan::Plan;

use super::slope::{BLOCKS, over, slope, time_us};
use super::worlds::{change, with_blocks};
use crate::measure::look_up::{blocks, directory};
use crate::measure::overhead::rss_mb;

const SIZES: &[usize] = &[10_000, 100_000, 500_000, 1_000_000, 1_700_000];

/// Measures them.
pub fn slopes() -> Vec<Value> {
    let addresses = addresses();
    let look_up_directory = directory(88, 42);
    vec![
        slope(
            "look-up",
            &BLOCKS,
            "MB of table",
            over(SIZES, |size| {
                BlockTable::build(blocks(size, 1)).bytes() as f64 / 1e6
            }),
        ),
        slope(
            "look-up",
            &BLOCKS,
            "us of a core for a decision",
            over(SIZES, |size| {
                look_up_us(
                    &BlockTable::build(blocks(size, 1)),
                    &look_up_directory,
                    &addresses,
                )
            }),
        ),
        slope(
            "configuration",
            &BLOCKS,
            "ms to build the table",
            over(SIZES, |size| {
                let blocks = blocks(size, 1);
                time_us(|| {
                    black_box(BlockTable::build(blocks.iter().copied()));
                }) / 1e3
            }),
        ),
        slope(
            "configuration",
            &BLOCKS,
            "MB of blocks held as objects",
            over(SIZES, |size| {
                let before_mb = rss_mb();
                let document = black_box(with_blocks(size));
                let held_mb = rss_mb() - before_mb;
                drop(document);
                held_mb
            }),
        ),
        slope(
            "configuration",
            &BLOCKS,
            "ms to accept a change of another object",
            over(SIZES, |size| {
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
        ),
    ]
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
