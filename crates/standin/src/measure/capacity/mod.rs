//! Slopes of what each role costs, measured at several sizes and fitted.

mod blocks;
mod hosts;
mod sites;
mod slope;
mod worlds;
mod zones;

use std::io;

use serde_json::{Value, json};

use super::traffic::{self, Size};

/// Measures; one JSON object.
///
/// # Errors
///
/// A socket can't be had.
pub fn run() -> io::Result<Value> {
    let beat_bytes = hosts::beat_bytes();
    let mut slopes = blocks::slopes();
    slopes.extend(sites::slopes());
    slopes.extend(zones::slopes()?);
    slopes.extend(hosts::slopes(beat_bytes)?);
    Ok(json!({"measure": "capacity", "heartbeat_bytes": beat_bytes, "slopes": slopes}))
}

/// Messages between hosts, in KB/s, at some sizes.
fn traffic_over(sizes: &[usize], size: impl Fn(usize) -> Size) -> io::Result<Vec<(f64, f64)>> {
    sizes
        .iter()
        .map(|x| Ok((*x as f64, traffic::kb_per_s(size(*x))?)))
        .collect()
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
