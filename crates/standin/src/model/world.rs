//! The zones and upstreams of a model, after the users' deployments.

use std::sync::Arc;

use serde_json::json;
use steering::Document;
use steering::plan::Plan;

use super::upstream::ModelUpstream;

/// How an upstream's load reports mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lie {
    /// They don't.
    None,
    /// They say that it is empty.
    Low,
    /// They say that it is full.
    High,
}

/// What to build.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    /// Zones, by region.
    pub regions: Vec<Vec<&'static str>>,
    /// Upstreams in each zone.
    pub upstreams_per_zone: usize,
    /// Slots of each.
    pub slots: u32,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: f64,
    /// One way between zones of a region, in milliseconds.
    pub zone_ms: f64,
    /// One way between regions, in milliseconds.
    pub region_ms: f64,
    /// Time in which an answer must begin, in milliseconds.
    pub deadline_ms: u64,
    /// Rules, as in a configuration.
    pub rules: serde_json::Value,
}

impl WorldPlan {
    /// The railway's consultations.
    pub fn railway() -> Self {
        WorldPlan {
            regions: vec![
                vec!["quito-norte", "quito-sur"],
                vec!["guayaquil-puerto", "duran"],
                vec!["cuenca-centro", "azogues"],
            ],
            upstreams_per_zone: 4,
            slots: 9,
            mean_ms: 20.0,
            zone_ms: 1.0,
            region_ms: 35.0,
            deadline_ms: 1_500,
            rules: json!([]),
        }
    }

    /// The tax platform's notices.
    pub fn tax() -> Self {
        WorldPlan {
            regions: vec![
                vec!["khomas-east", "khomas-west"],
                vec!["erongo-north", "erongo-south"],
                vec!["oshana-east", "oshana-west"],
            ],
            slots: 3,
            mean_ms: 25.0,
            zone_ms: 1.5,
            region_ms: 12.0,
            deadline_ms: 2_000,
            ..WorldPlan::railway()
        }
    }

    fn document(&self) -> Document {
        let mut zones = Vec::new();
        let mut upstreams = Vec::new();
        let mut links = Vec::new();
        for (region, names) in self.regions.iter().enumerate() {
            for name in names {
                zones.push(json!({"name": name, "region": format!("r{region}"), "one_way_ms": self.zone_ms}));
                for number in 0..self.upstreams_per_zone {
                    let port = upstreams.len() + 1;
                    upstreams.push(
                        json!({"name": format!("{name}-{number}"), "service": "s", "zone": name,
                        "address": format!("127.0.0.1:{port}"), "slots": self.slots}),
                    );
                }
            }
            for other in 0..region {
                links.push(json!({"from": format!("r{other}"), "to": format!("r{region}"), "one_way_ms": self.region_ms}));
            }
        }
        let regions: Vec<_> = (0..self.regions.len())
            .map(|r| json!({"name": format!("r{r}")}))
            .collect();
        serde_json::from_value(json!({
            "regions": regions, "zones": zones, "links": links, "upstreams": upstreams, "rules": self.rules,
            "services": [{"name": "s", "expected_ms": self.mean_ms, "deadline_ms": self.deadline_ms}],
        }))
        .expect("the document is valid")
    }
}

/// The zones and upstreams of a model.
pub struct World {
    /// The configuration.
    pub plan: Arc<Plan>,
    /// Zone names, by number.
    pub zones: Vec<String>,
    /// Zone of each upstream.
    pub zone_of: Vec<usize>,
    /// The upstreams, zone after zone.
    pub upstreams: Vec<ModelUpstream>,
    /// How each one's reports mislead.
    pub lies: Vec<Lie>,
    /// One way between zones, in milliseconds.
    pub one_way_ms: Vec<Vec<f64>>,
    /// Time in which an answer must begin, in milliseconds.
    pub deadline_ms: f64,
    /// Zones whose hosts and upstreams are gone.
    pub lost: Vec<bool>,
}

impl World {
    /// Puts a changed configuration in force.
    pub fn change(&mut self, change: impl FnOnce(&mut Document)) {
        let mut document = Document::clone(&self.plan.document);
        change(&mut document);
        self.plan = Arc::new(Plan::new(Arc::new(document)));
    }

    /// Builds it, all warm and empty.
    pub fn new(plan: &WorldPlan) -> Self {
        let document = Arc::new(plan.document());
        document
            .check()
            .expect("the model's configuration is valid");
        let zones: Vec<String> = document
            .zones
            .iter()
            .map(|zone| zone.name.clone())
            .collect();
        let number = |name: &str| zones.iter().position(|zone| zone == name).unwrap_or(0);
        let zone_of: Vec<usize> = document.upstreams.iter().map(|u| number(&u.zone)).collect();
        let one_way_ms = zones
            .iter()
            .map(|a| zones.iter().map(|b| document.one_way_ms(a, b)).collect())
            .collect();
        let upstreams = vec![ModelUpstream::new(plan.slots, plan.mean_ms); zone_of.len()];
        World {
            lies: vec![Lie::None; zone_of.len()],
            lost: vec![false; zones.len()],
            plan: Arc::new(Plan::new(document)),
            deadline_ms: plan.deadline_ms as f64,
            zones,
            zone_of,
            upstreams,
            one_way_ms,
        }
    }

    /// Requests a second that keep every slot busy.
    pub fn capacity_per_s(&self) -> f64 {
        let per_s =
            |upstream: &ModelUpstream| f64::from(upstream.slots) * 1_000.0 / upstream.mean_ms;
        self.upstreams.iter().map(per_s).sum()
    }

    /// Upstreams of a zone.
    pub fn of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.upstreams.len())
            .filter(|u| self.zone_of[*u] == zone)
            .collect()
    }

    /// Load that an upstream reports now.
    pub fn reported(&self, upstream: usize) -> u32 {
        match self.lies[upstream] {
            Lie::None => self.upstreams[upstream].inside(),
            Lie::Low => 0,
            Lie::High => self.upstreams[upstream].slots,
        }
    }

    /// Takes a zone away, with its hosts and upstreams.
    pub fn lose(&mut self, zone: usize) {
        self.lost[zone] = true;
        for upstream in self.of_zone(zone) {
            self.upstreams[upstream].vanish();
        }
    }
}
