//! `drain`: no new work for an upstream or a zone, and the wait until it is quiet.

use std::collections::BTreeMap;
use std::time::Duration;

use operator::{OperatorClient, Status};
use steering::Document;
use steering::document::Kind;
use steering::labels::takes_new_work;

use super::DRAINING;
use super::change::{client, set_state};
use super::outcome::{BAD_INPUT, DONE, Outcome, UNAVAILABLE};
use crate::cli::{ChangeArgs, Output};

const ASK_EVERY: Duration = Duration::from_millis(200);
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a change is in force everywhere; before that, quiet means nothing.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// What is drained.
struct Drained {
    kind: Kind,
    name: String,
}

pub fn run(
    name: &str,
    wait: Option<Duration>,
    force: bool,
    args: &ChangeArgs,
    output: Output,
    progress: &mut dyn FnMut(&str),
) -> Outcome {
    let drained = match name.split_once('/') {
        Some(("zone", name)) => Drained {
            kind: Kind::Zone,
            name: name.to_owned(),
        },
        Some(("upstream", name)) => Drained {
            kind: Kind::Upstream,
            name: name.to_owned(),
        },
        Some((kind, _)) => {
            let reason = format!("`{kind}` can't be drained; upstreams and zones can");
            return Outcome::failed(BAD_INPUT, reason);
        }
        None => Drained {
            kind: Kind::Upstream,
            name: name.to_owned(),
        },
    };
    if drained.kind == Kind::Zone
        && !force
        && let Err(refused) = check_room(&drained.name, args)
    {
        return refused;
    }
    let outcome = set_state(drained.kind, &drained.name, DRAINING.1, args, output);
    match wait {
        Some(limit) if outcome.code == DONE => wait_quiet(&drained, limit, args, progress),
        _ => outcome,
    }
}

/// Whether the rest has room for what the zone has in flight now.
fn check_room(zone: &str, args: &ChangeArgs) -> Result<(), Outcome> {
    let client = client(&args.host);
    let unreachable = |error| Outcome::unreachable(&error);
    let document = client.document().map_err(unreachable)?.document;
    let status = client.status().map_err(unreachable)?;
    let short = shortages(&document, &status, zone);
    if short.is_empty() {
        return Ok(());
    }
    let reason = format!("{}\nuse --force to drain it all the same", short.join("\n"));
    Err(Outcome::failed(BAD_INPUT, reason))
}

/// Services whose work in the zone would not fit into the free slots elsewhere.
fn shortages(document: &Document, status: &Status, zone: &str) -> Vec<String> {
    let mut in_flight: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for place in &status.zones {
        for service in &place.services {
            let (here, elsewhere) = in_flight.entry(&service.service).or_default();
            let load = service.load.in_flight + service.load.queued;
            *(if place.zone == zone { here } else { elsewhere }) += load;
        }
    }
    let open_zone = |name: &str| {
        let zone = document.zone(name);
        zone.is_some_and(|zone| takes_new_work(&zone.labels))
    };
    let mut short = Vec::new();
    for (service, (here, elsewhere)) in in_flight {
        let slots: u32 = document
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == service && upstream.zone != zone)
            .filter(|upstream| takes_new_work(&upstream.labels) && open_zone(&upstream.zone))
            .map(|upstream| upstream.slots)
            .sum();
        if here > 0 && here + elsewhere > slots {
            short.push(format!(
                "service {service}: {here} in flight in {zone}, \
                 but only {} of {slots} slots are free elsewhere",
                slots.saturating_sub(elsewhere)
            ));
        }
    }
    short
}

fn wait_quiet(
    drained: &Drained,
    limit: Duration,
    args: &ChangeArgs,
    progress: &mut dyn FnMut(&str),
) -> Outcome {
    let begun = clock::now();
    let mut last = None;
    loop {
        let counted = count(drained, args);
        if clock::elapsed(begun) > limit {
            let reason = format!("{} is not quiet after {} s", drained.name, limit.as_secs());
            return Outcome::failed(UNAVAILABLE, reason);
        }
        match counted {
            Ok(0) if clock::elapsed(begun) >= IN_FORCE_WITHIN => {
                let ms = clock::elapsed(begun).as_millis();
                return Outcome::done(format!("{} is quiet after {ms} ms", drained.name));
            }
            Ok(in_flight) if last != Some(in_flight) => {
                progress(&format!("{}: {in_flight} in flight", drained.name));
                last = Some(in_flight);
            }
            Ok(_) => {}
            Err(reason) => progress(&reason),
        }
        std::thread::sleep(ASK_EVERY);
    }
}

/// Requests in flight on what is drained, over all hosts that may have sent some.
fn count(drained: &Drained, args: &ChangeArgs) -> Result<u32, String> {
    let client = client(&args.host);
    let document = client
        .document()
        .map_err(|error| error.to_string())?
        .document;
    let status = client.status().map_err(|error| error.to_string())?;
    let names: Vec<&str> = document
        .upstreams
        .iter()
        .filter(|upstream| match drained.kind {
            Kind::Zone => upstream.zone == drained.name,
            _ => upstream.name == drained.name,
        })
        .map(|upstream| upstream.name.as_str())
        .collect();
    let mut in_flight = 0;
    for host in &status.hosts {
        let own = OperatorClient::new(host.operator_address, ASK_TIMEOUT);
        let status = own
            .status()
            .map_err(|error| format!("{}: {error}", host.name))?;
        in_flight += status
            .pools
            .iter()
            .flat_map(|pool| &pool.upstreams)
            .filter(|upstream| names.contains(&upstream.name.as_str()))
            .map(|upstream| upstream.in_flight)
            .sum::<u32>();
    }
    Ok(in_flight)
}
