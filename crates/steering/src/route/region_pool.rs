//! Upstreams of a service in one region.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use super::home_index::HomeIndex;
use super::object_hash::unit_hash;
use super::pool_part::PoolPart;
use super::upstream::{Upstream, lock};
use super::upstream_state::estimate_others;

/// Share of the new version's upstreams that is used on trial, relative to the share of the
/// requests.
const TRIAL_UPSTREAMS_FACTOR: f64 = 1.5;
/// Minimum number of upstreams of a pool that is divided into parts. In a smaller one, the
/// loss of one upstream would leave too little of a part.
const MIN_DIVIDED_UPSTREAMS: usize = 8;

/// Upstreams of a service in a region.
#[derive(Debug, Default)]
pub struct RegionPool {
    /// Upstreams that accept work, ordered by identity.
    pub upstreams: Vec<Arc<Upstream>>,
    /// During a roll-out, the upstreams of the version on trial, or of the old version once
    /// all requests go to the new one.
    pub other_version: Option<Box<RegionPool>>,
    /// Sum of the upstreams' slots, computed when first needed.
    slots: OnceLock<u32>,
    /// Ranking of the upstreams for objects, built when first needed.
    homes: OnceLock<HomeIndex>,
    /// For each upstream, the share of the slots that come before it in the order in which
    /// upstreams are assigned to short work, computed when first needed.
    places: OnceLock<Vec<f64>>,
}

impl RegionPool {
    /// Keeps the upstreams that are used while their version is on trial. With all of them,
    /// each would get too few requests to show how the version behaves under load.
    pub(super) fn keep_for_trial(&mut self, order_revision: u64, share_per_mille: u16) {
        let share = f64::from(share_per_mille) / 1_000.0 * TRIAL_UPSTREAMS_FACTOR;
        let count = (self.upstreams.len() as f64 * share).ceil() as usize;
        let place = |upstream: &Arc<Upstream>| unit_hash(upstream.hash ^ order_revision);
        self.upstreams.sort_by(|a, b| place(a).total_cmp(&place(b)));
        self.upstreams.truncate(count.max(1));
        self.slots = OnceLock::new();
        self.homes = OnceLock::new();
        self.places = OnceLock::new();
    }

    /// Returns the upstreams, those of the other version during a roll-out included.
    pub fn upstreams_of_all_versions(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let others = self.other_version.iter();
        let others = others.flat_map(|other| &other.upstreams);
        self.upstreams.iter().chain(others)
    }

    /// Returns the positions of the upstreams in the order of an object's homes, weighted by
    /// their slots.
    pub fn rank(&self, object: u64) -> impl Iterator<Item = usize> + '_ {
        let members = self.upstreams.iter();
        let members = members.map(|upstream| (upstream.hash, f64::from(upstream.report.slots)));
        let homes = self.homes.get_or_init(|| HomeIndex::new(members));
        homes.rank(object)
    }

    /// Returns whether the pool is large enough to be divided into parts.
    pub fn is_divisible(&self) -> bool {
        self.upstreams.len() >= MIN_DIVIDED_UPSTREAMS
    }

    /// Returns the positions of the upstreams in the order of an object's homes: those of
    /// the part first. Without a part, or in a pool that is too small, the order is that of
    /// [`rank`](Self::rank).
    pub fn rank_for(&self, object: u64, part: Option<PoolPart>) -> impl Iterator<Item = usize> {
        let part = part.filter(|_| self.is_divisible());
        let places = part.map(|_| self.places());
        let is_in_part = move |index: &usize| match (part, places) {
            (Some(part), Some(places)) => part.includes(places[*index]),
            _ => true,
        };
        let others = part.map(|_| self.rank(object));
        let others = others.into_iter().flatten();
        let others = others.filter(move |index| !is_in_part(index));
        self.rank(object).filter(is_in_part).chain(others)
    }

    /// Returns the upstreams' places in the order in which they are assigned to short work.
    /// Zones take turns in it, so that the loss of a zone leaves upstreams in each part.
    fn places(&self) -> &[f64] {
        self.places.get_or_init(|| {
            let mut by_hash: Vec<usize> = (0..self.upstreams.len()).collect();
            by_hash.sort_by_key(|index| self.upstreams[*index].hash);
            let mut of_zone: HashMap<&str, usize> = HashMap::new();
            let mut order: Vec<(usize, usize)> = Vec::with_capacity(by_hash.len());
            for index in by_hash {
                let turn = of_zone
                    .entry(&self.upstreams[index].report.zone)
                    .or_default();
                order.push((*turn, index));
                *turn += 1;
            }
            // The sort is stable, so hashes decide within a turn.
            order.sort_by_key(|(turn, _)| *turn);
            let mut places = vec![0.0; order.len()];
            let mut slots_before = 0;
            for (_, index) in order {
                places[index] = f64::from(slots_before) / f64::from(self.slots().max(1));
                slots_before += self.upstreams[index].report.slots;
            }
            places
        })
    }

    /// Returns the sum of the upstreams' slots.
    pub fn slots(&self) -> u32 {
        let slots = self.upstreams.iter().map(|upstream| upstream.report.slots);
        *self.slots.get_or_init(|| slots.sum())
    }

    /// Returns the number of requests that the upstreams may work on concurrently within
    /// the rate limits that they declare. `typical_work` is the typical work time.
    pub fn capacity(&self, now: Instant, typical_work: Option<Duration>) -> f64 {
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|upstream| upstream.capacity(now, typical_work))
            .sum()
    }

    /// Returns the load relative to the capacity; 1 is full. Unusable upstreams count as
    /// full. `hosts` is the number of hosts that send to the upstreams, `typical_work` the
    /// typical work time.
    pub fn utilization(&self, now: Instant, hosts: usize, typical_work: Option<Duration>) -> f64 {
        let region = self.upstreams.first().map(|upstream| &upstream.region);
        let use_of_slots = region.and_then(|region| lock(region).use_of_slots(now));
        let (mut load, mut capacity) = (0.0, 0.0);
        for upstream in &self.upstreams {
            // A host has observed a small part of the upstreams of a large deployment.
            let Some(state) = upstream.observed_state() else {
                let slots = f64::from(upstream.report.slots);
                capacity += slots;
                load += estimate_others(0.0, hosts, use_of_slots.map(|share| share * slots));
                continue;
            };
            let is_usable = state.is_usable(now);
            drop(state);
            let own_capacity = upstream.capacity(now, typical_work);
            capacity += own_capacity;
            load += match is_usable {
                true => upstream.load(now, hosts),
                false => own_capacity,
            };
        }
        if capacity == 0.0 {
            return f64::INFINITY;
        }
        load / capacity
    }
}
