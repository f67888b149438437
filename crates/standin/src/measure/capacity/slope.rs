//! A cost over one size, and the straight line through it.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::measure::balance::round;

const REPEAT: Duration = Duration::from_millis(120);

/// A size that costs grow with.
pub struct Axis {
    /// What is counted.
    pub name: &'static str,
    /// How many there are at the size that is aimed for.
    pub target: f64,
}

/// Client blocks.
pub const BLOCKS: Axis = Axis {
    name: "blocks",
    target: 1.7e6,
};
/// Sites.
pub const SITES: Axis = Axis {
    name: "sites",
    target: 2_200.0,
};
/// Availability zones.
pub const ZONES: Axis = Axis {
    name: "zones",
    target: 88.0,
};
/// Hosts of a zone.
pub const HOSTS_IN_ZONE: Axis = Axis {
    name: "hosts in a zone",
    target: 42.0,
};
/// Hosts among which a pool's owners are ranked: those of its zone.
pub const HOSTS: Axis = Axis {
    name: "hosts",
    target: HOSTS_IN_ZONE.target,
};

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
pub fn time_us(mut call: impl FnMut()) -> f64 {
    call();
    let begun = Instant::now();
    let mut calls = 0_u32;
    while begun.elapsed() < REPEAT {
        call();
        calls += 1;
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

/// One role's cost over one size.
pub fn slope(role: &str, axis: &Axis, unit: &str, points: Vec<(f64, f64)>) -> Value {
    let fitted = fit(&points);
    let listed: Vec<Value> = points.iter().map(|(x, y)| json!([x, round(*y)])).collect();
    json!({
        "role": role, "over": axis.name, "unit": unit, "points": listed,
        "base": round(fitted.base), "slope": fitted.slope, "fit_error": round(fitted.error),
        "target_size": axis.target,
        "at_target": round(fitted.base + fitted.slope * axis.target),
    })
}

/// The points of a measurement at some sizes, in their order: the largest last, since memory
/// that was freed may be used again unseen.
pub fn over(sizes: &[usize], measure: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect()
}
