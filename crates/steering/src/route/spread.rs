//! Distributes requests over the services of a route and over regions.

use super::document::WeightedService;
use super::work_mix::WorkLength;

/// Number of requests by which a share may deviate before the selection by object is
/// overridden.
const MAX_DEVIATION: f64 = 4.0;
/// Share of [`MAX_DEVIATION`] from which the requests whose length makes them the first ones
/// to correct a deviation do so.
const FIRST_DEVIATION_SHARE: f64 = 0.5;
/// Number of requests after which a share changes by steps only.
const START_REQUESTS: u64 = 8;
/// Utilization of the own region above which more requests go to other regions.
const HIGH_UTILIZATION: f64 = 0.85;
/// Utilization of the own region below which more requests stay.
const LOW_UTILIZATION: f64 = 0.6;
/// Maximum share that a region keeps while other regions have lower utilization, as a
/// multiple of its share of slots.
const MAX_SLOT_SHARE_FACTOR: f64 = 1.3;

/// Distributes a route's requests over its services by weight (smooth weighted round
/// robin).
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    /// Requests owed to each service so far.
    owed: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Picks the service to which most requests are owed and returns its index.
    pub fn pick(&mut self, parts: &[WeightedService]) -> usize {
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        if parts.len() < 2 || total <= 0.0 {
            return 0;
        }
        self.owed.resize(parts.len(), 0.0);
        for (owed, part) in self.owed.iter_mut().zip(parts) {
            *owed += part.weight / total;
        }
        let largest = self.owed.iter().enumerate();
        let largest = largest.max_by(|a, b| a.1.total_cmp(b.1).then(b.0.cmp(&a.0)));
        let picked = largest.map_or(0, |(index, _)| index);
        self.owed[picked] -= 1.0;
        picked
    }
}

/// Controls the share of a service's requests that stays in this host's region.
#[derive(Debug)]
pub struct RegionShare {
    /// Share of the requests that stays, from 0 to 1.
    share: f64,
    /// Requests owed to the own region.
    owed: f64,
    /// Number of requests so far.
    requests: u64,
}

impl RegionShare {
    /// Starts with the region's share of capacity, see [`share_by_capacity`].
    pub fn new(by_capacity: f64) -> Self {
        RegionShare {
            share: by_capacity,
            owed: 0.0,
            requests: 0,
        }
    }

    /// Returns whether so few requests have been decided that the share may be another one
    /// at once: this host may not yet have seen of which lengths the work is.
    pub fn is_starting(&self) -> bool {
        self.requests < START_REQUESTS
    }

    /// Sets the share, unless more than a few requests have been decided.
    pub fn start_with(&mut self, share: f64) {
        if self.is_starting() {
            self.share = share;
        }
    }

    /// Returns the share that stays, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a request stays. `object_position` is the number from 0 to 1 derived
    /// from its object's hash, so that the same objects stay.
    pub fn keeps_local(&mut self, object_position: f64) -> bool {
        self.keep(object_position, self.share, MAX_DEVIATION, MAX_DEVIATION)
    }

    /// Returns whether a request of a service with short and long work stays. Long work
    /// leaves first, since distance makes few of its answers late; short work leaves once
    /// no long work stays. The share of all requests that stays is the same as without the
    /// distinction. `long_share` is the share of the requests whose work is long.
    pub fn keeps_local_by_length(
        &mut self,
        object_position: f64,
        length: WorkLength,
        long_share: f64,
    ) -> bool {
        let long_stays = self.long_stays(long_share);
        let first = MAX_DEVIATION * FIRST_DEVIATION_SHARE;
        match length {
            WorkLength::Long => self.keep(object_position, long_stays, MAX_DEVIATION, first),
            WorkLength::Short => {
                let short_share = 1.0 - long_share;
                let short_stays = match short_share > 0.0 {
                    true => (self.share - long_share * long_stays) / short_share,
                    false => 1.0,
                };
                self.keep(object_position, short_stays, first, MAX_DEVIATION)
            }
        }
    }

    /// Returns the share of long work among the requests that stay; `long_share` is its
    /// share of all requests.
    pub fn long_share_of_stays(&self, long_share: f64) -> f64 {
        match self.share > 0.0 {
            true => long_share * self.long_stays(long_share) / self.share,
            false => long_share,
        }
    }

    /// Returns the share of the long work that stays.
    fn long_stays(&self, long_share: f64) -> f64 {
        match long_share > 0.0 {
            true => (1.0 - (1.0 - self.share) / long_share).max(0.0),
            false => 0.0,
        }
    }

    /// Returns whether a request stays, by the share of its objects that stay, unless the
    /// requests that have stayed lack more than `max_lack` or exceed their share by more
    /// than `max_excess`.
    fn keep(
        &mut self,
        object_position: f64,
        objects_share: f64,
        max_lack: f64,
        max_excess: f64,
    ) -> bool {
        self.owed += self.share;
        self.requests += 1;
        let mut stays = object_position < objects_share;
        if self.owed > max_lack && self.share > 0.0 {
            stays = true;
        }
        if self.owed < -max_excess && self.share < 1.0 {
            stays = false;
        }
        if stays {
            self.owed -= 1.0;
        }
        self.owed = self.owed.clamp(-2.0 * MAX_DEVIATION, 2.0 * MAX_DEVIATION);
        stays
    }

    /// Adjusts the share by at most `step`, given the utilization of the own region and of
    /// the least loaded other region; 1 is full. `by_capacity` is the region's current
    /// share of capacity, as a share of the requests.
    ///
    /// While other regions have lower utilization, the share is bounded by the region's
    /// slots. A region with a tenth of all slots that takes back all work of its callers at
    /// half utilization has some full upstreams, because each upstream serves many objects.
    /// With 3 regions and 1,188 upstreams, 120 of them in one region, this bound raised the
    /// share of its callers' answers in time from 0.84 to 0.94 (of those owed to them, in
    /// one day without faults).
    pub fn adapt(
        &mut self,
        step: f64,
        own_utilization: f64,
        others_utilization: f64,
        by_capacity: f64,
    ) {
        let max = match others_utilization < own_utilization {
            true => (by_capacity * MAX_SLOT_SHARE_FACTOR).min(1.0),
            false => 1.0,
        };
        let is_overloaded =
            own_utilization > HIGH_UTILIZATION && others_utilization < own_utilization;
        if is_overloaded || self.share > max {
            let min = if is_overloaded { 0.0 } else { max };
            self.share = (self.share - step).max(min);
        } else if own_utilization < LOW_UTILIZATION {
            self.share = (self.share + step).min(max);
        }
    }
}

/// Returns the share of its callers' requests for which a region has capacity if callers
/// are spread evenly over regions.
pub fn share_by_capacity(own_capacity: f64, total_capacity: f64, regions: usize) -> f64 {
    let even = total_capacity / regions.max(1) as f64;
    match even > 0.0 {
        true => (own_capacity / even).min(1.0),
        false => 1.0,
    }
}
