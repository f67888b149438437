//! Selects the hosts that the answer to a look-up names.

use std::collections::BTreeSet;

use rand::{Rng, RngCore};

use super::look_up_host::LookUpHost;
use super::region_sizes::RegionSizes;

/// Smallest number of hosts to name, if there are as many: a caller needs others when one fails.
const MIN_NAMED: usize = 3;
/// Fraction of the answers that name the host with the largest weight. Callers that keep connections
/// while the next answer names the host gather at hosts that are named often: for a host named
/// in a fraction `p` of the answers, up to `1 / (1 - p)` times its share.
const MAX_NAMED_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of all hosts' capacity below which those that are not cut off can't serve all callers,
/// so that hosts that are cut off are named too.
const MIN_DIRECT_FRACTION: f64 = 0.5;

/// Returns the hosts to name to a caller that takes one of them at random, at most `max`.
///
/// If all hosts weigh the same, all are named. Otherwise the answer names some of them, drawn
/// anew for each answer such that each host is named as often as corresponds to its weight: by
/// its capacity, less if it is busy or cut off. Each zone with a host of weight is named.
/// `listed` has the sizes of all hosts of the region, of which `hosts` are those known to live.
pub fn look_up_hosts<'a>(
    hosts: &'a [LookUpHost],
    listed: &RegionSizes,
    max: usize,
    rng: &mut dyn RngCore,
) -> Vec<&'a LookUpHost> {
    let weights = weights(hosts, listed);
    let first = weights.first();
    if weights.iter().all(|weight| Some(weight) == first) {
        return hosts.iter().take(max).collect();
    }
    let mut candidates: Vec<Candidate> = hosts
        .iter()
        .zip(weights)
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(host, weight)| Candidate { host, weight })
        .collect();
    let mut named = draw(&mut candidates, max, rng);
    add_zones(&mut named, &candidates, max, rng);
    named.into_iter().map(|candidate| candidate.host).collect()
}

/// A host with weight that has not been drawn.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    host: &'a LookUpHost,
    /// Above 0.
    weight: f64,
}

impl<'a> Candidate<'a> {
    fn zone(&self) -> &'a str {
        &self.host.zone
    }
}

/// Returns each host's weight.
fn weights(hosts: &[LookUpHost], listed: &RegionSizes) -> Vec<f64> {
    let known = RegionSizes::new(hosts.iter().map(|host| host.capacity));
    // A host of unknown capacity gets no more callers than the smallest one.
    let smallest = known.smallest().unwrap_or(1);
    let units = |host: &LookUpHost| host.capacity.units().unwrap_or(smallest);
    let known = RegionSizes::of_units(hosts.iter().map(units));
    let capacities: Vec<f64> = hosts
        .iter()
        .map(|host| f64::from(units(host)) * listed.represented_by(&known, units(host)))
        .collect();
    let total: f64 = capacities.iter().sum();
    let with_capacity = || hosts.iter().zip(&capacities);
    let direct = with_capacity().filter(|(host, _)| !host.condition.is_cut_off);
    let direct: f64 = direct.map(|(_, capacity)| capacity).sum();
    let weight = |(host, capacity): (&LookUpHost, &f64)| {
        let available = match host.condition.is_cut_off {
            true => cut_off_factor(direct / total),
            false => 1.0,
        };
        capacity * available / host.use_divisor()
    };
    with_capacity().map(weight).collect()
}

/// Returns the factor of the weight of hosts that are cut off, by which the others serve at most
/// `1 / MIN_DIRECT_FRACTION` times as many callers as without the cut.
fn cut_off_factor(direct_fraction: f64) -> f64 {
    let direct_callers = (direct_fraction / MIN_DIRECT_FRACTION).min(1.0);
    match direct_fraction > 0.0 {
        true => {
            let cut_off_fraction = 1.0 - direct_fraction;
            (1.0 - direct_callers) / direct_callers * direct_fraction / cut_off_fraction
        }
        false => 1.0,
    }
}

/// Draws hosts, each with a probability by its weight, and removes them from `candidates`. Those
/// that were drawn for certain come first.
fn draw<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    max: usize,
    rng: &mut dyn RngCore,
) -> Vec<Candidate<'a>> {
    candidates.sort_by(|a, b| b.weight.total_cmp(&a.weight));
    let largest = candidates.first().map_or(1.0, |largest| largest.weight);
    let mut rest: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    // With more than `rest / largest` draws, the largest weight would be drawn more than once.
    let few = (rest / largest * MAX_NAMED_FRACTION) as usize;
    let mut count = few.max(MIN_NAMED).min(candidates.len()).min(max);
    let mut drawn = Vec::with_capacity(count);
    while count > 0 && candidates[0].weight * count as f64 >= rest {
        let certain = candidates.remove(0);
        rest -= certain.weight;
        count -= 1;
        drawn.push(certain);
    }
    // Neighbors in this order are rarely drawn together, so zones get draws by their weight.
    candidates.sort_by_cached_key(|candidate| (&candidate.host.zone, rng.next_u64()));
    let step = rest / count as f64;
    let mut next = rng.random::<f64>() * step;
    let mut passed = 0.0;
    candidates.retain(|candidate| {
        passed += candidate.weight;
        let is_drawn = passed > next && count > 0;
        if is_drawn {
            next += step;
            count -= 1;
            drawn.push(*candidate);
        }
        !is_drawn
    });
    drawn
}

/// Names a host of each zone of which none was drawn, in place of the last one of a zone of which
/// several were.
fn add_zones<'a>(
    named: &mut Vec<Candidate<'a>>,
    candidates: &[Candidate<'a>],
    max: usize,
    rng: &mut dyn RngCore,
) {
    let mut zones: BTreeSet<&str> = named.iter().map(Candidate::zone).collect();
    let offset = rng.random_range(0..candidates.len().max(1));
    for candidate in candidates
        .iter()
        .cycle()
        .skip(offset)
        .take(candidates.len())
    {
        if !zones.insert(candidate.zone()) {
            continue;
        }
        let of_zone = |zone| named.iter().filter(|other| other.zone() == zone).count();
        let surplus = named.iter().rposition(|other| of_zone(other.zone()) > 1);
        if let Some(surplus) = surplus {
            named.remove(surplus);
        }
        if named.len() < max {
            named.push(*candidate);
        }
    }
}
