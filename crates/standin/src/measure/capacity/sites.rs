//! Costs that grow with sites.

use std::hint::black_box;
use std::sync::Arc;

use serde_json::Value;
use steering::Document;
use steering::history::History;
use steering::plan::Plan;

use super::slope::{SITES, over, slope, time_us};
use super::worlds::{change, sites_document, view};

const SIZES: &[usize] = &[36, 300, 1_100, 2_200];

/// Measures them.
pub fn slopes() -> Vec<Value> {
    vec![
        slope(
            "configuration",
            &SITES,
            "ms to make a plan",
            over(SIZES, |sites| {
                let document = Arc::new(sites_document(sites));
                time_us(|| {
                    black_box(Plan::new(Arc::clone(&document)));
                }) / 1e3
            }),
        ),
        slope(
            "configuration",
            &SITES,
            "ms to accept a change",
            over(SIZES, |sites| {
                let mut history = History::default();
                let first = Document::default().difference(&sites_document(sites), "f".into());
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
            &SITES,
            "KB of the document as JSON",
            over(SIZES, |sites| {
                serde_json::to_vec(&sites_document(sites)).map_or(0, |json| json.len()) as f64 / 1e3
            }),
        ),
        slope(
            "owner",
            &SITES,
            "us to find what it owns",
            over(SIZES, |sites| {
                let view = view(88.min(sites), sites, 42);
                time_us(|| {
                    black_box(view.owned_pools());
                })
            }),
        ),
    ]
}
