//! Documents, views and hosts of any size.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde_json::{Value, json};
use steering::Document;
use steering::document::{Block, Change, Edit, Kind, ObjectId};
use steering::host_capacity::HostCapacity;
use steering::membership::HostEntry;
use steering::plan::Plan;
use steering::view::View;

use crate::measure::look_up::blocks;

/// Zones of a document that has as many.
const ZONES_MOST: usize = 88;

/// A host of a zone.
pub fn host(zone: usize, number: usize) -> HostEntry {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    HostEntry {
        name: format!("host-{zone}-{number}"),
        zone: format!("zone-{zone}"),
        caller_address: any,
        relay_address: any,
        peer_address: any,
        operator_address: any,
        capacity: HostCapacity::default(),
    }
}

/// Sites spread over zones, with a service for each eight of them.
pub fn document(zones: usize, sites: usize) -> Document {
    let zone_list: Vec<Value> = (0..zones)
        .map(|z| json!({"name": format!("zone-{z}"), "region": "r"}))
        .collect();
    let services = sites.div_ceil(8);
    let service_list: Vec<Value> = (0..services)
        .map(|s| json!({"name": format!("s{s}")}))
        .collect();
    let upstreams: Vec<Value> = (0..sites)
        .map(|u| {
            json!({"name": format!("u{u}"), "service": format!("s{}", u % services),
                   "zone": format!("zone-{}", u % zones), "slots": 9,
                   "address": format!("10.{}.{}.{}:80", u >> 16, (u >> 8) & 255, u & 255)})
        })
        .collect();
    let document = json!({"regions": [{"name": "r"}], "zones": zone_list,
        "services": service_list, "upstreams": upstreams});
    serde_json::from_value(document).expect("the document is valid")
}

/// What a host of the first zone believes, with so many hosts in each zone.
pub fn view(zones: usize, sites: usize, hosts_per_zone: usize) -> View {
    let mut view = View::new(host(0, 0), 1);
    view.plan = Arc::new(Plan::new(Arc::new(document(zones, sites))));
    view.hosts = (0..zones)
        .map(|z| {
            (
                format!("zone-{z}"),
                (0..hosts_per_zone).map(|n| host(z, n)).collect(),
            )
        })
        .collect();
    view
}

/// So many sites, over as many zones as there are at most.
pub fn sites_document(sites: usize) -> Document {
    document(ZONES_MOST.min(sites), sites)
}

/// Sites with so many client blocks.
pub fn with_blocks(count: usize) -> Document {
    let mut document = document(ZONES_MOST, 2_200);
    let blocks = blocks(count, 1).into_iter().map(|(prefix, class)| Block {
        prefix,
        zone: format!("zone-{}", class as usize % ZONES_MOST),
        labels: Default::default(),
    });
    document.blocks = Arc::new(blocks.collect());
    document
}

/// A change of one label.
pub fn change(number: u64) -> Change {
    let object = ObjectId {
        kind: Kind::Upstream,
        name: "u1".to_owned(),
    };
    let labels = [("n".to_owned(), Some(number.to_string()))].into();
    Change {
        id: number.to_string(),
        edits: vec![Edit::Label { object, labels }],
    }
}
