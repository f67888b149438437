//! Costs that grow with availability zones.

use std::hint::black_box;
use std::io;
use std::time::Instant;

use serde_json::Value;
use steering::lookup::Directory;

use super::slope::{ZONES, over, slope, time_us};
use super::traffic_over;
use super::worlds::view;
use crate::measure::traffic::Size;

const SIZES: &[usize] = &[6, 22, 44, 88];
/// Sites of a zone at the target, each of another service: 2,200 over 88.
const SERVICES_A_ZONE: usize = 25;

/// Measures them.
///
/// # Errors
///
/// A socket can't be had.
pub fn slopes() -> io::Result<Vec<Value>> {
    let messages = traffic_over(SIZES, |zones| Size {
        zones,
        hosts: 2,
        services: SERVICES_A_ZONE,
    })?;
    Ok(vec![
        slope(
            "relay",
            &ZONES,
            "us to choose among places",
            over(SIZES, |zones| {
                let view = view(zones, zones * 8, 42);
                let service = view.plan.services.values().next().expect("there is one");
                time_us(|| {
                    black_box(view.targets(Instant::now(), service, None));
                })
            }),
        ),
        slope(
            "look-up",
            &ZONES,
            "ms to order the zones",
            over(SIZES, |zones| {
                let view = view(zones, zones, 42);
                time_us(|| {
                    black_box(Directory::new(&view));
                }) / 1e3
            }),
        ),
        slope(
            "zone poller",
            &ZONES,
            "reads of the table a second",
            over(SIZES, |zones| (zones * 2) as f64),
        ),
        slope(
            "configuration exchange",
            &ZONES,
            "KB/s of messages out and in, 2 hosts, 25 services",
            messages,
        ),
    ])
}
