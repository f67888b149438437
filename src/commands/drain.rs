//! The command `drain`, which stops new requests to an upstream or a zone, and can wait until
//! none is in flight.

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

const STATUS_INTERVAL: Duration = Duration::from_millis(200);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until a change is in force on all hosts. Before that, hosts may still send new requests,
/// so a count of zero does not mean that the drain is complete.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// The upstream or zone to drain.
struct DrainTarget {
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
    let target = match name.split_once('/') {
        Some(("zone", name)) => DrainTarget {
            kind: Kind::Zone,
            name: name.to_owned(),
        },
        Some(("upstream", name)) => DrainTarget {
            kind: Kind::Upstream,
            name: name.to_owned(),
        },
        Some((kind, _)) => {
            let reason = format!("`{kind}` can't be drained, only upstreams and zones can");
            return Outcome::failed(BAD_INPUT, reason);
        }
        None => DrainTarget {
            kind: Kind::Upstream,
            name: name.to_owned(),
        },
    };
    if target.kind == Kind::Zone
        && !force
        && let Err(refused) = check_capacity(&target.name, args)
    {
        return refused;
    }
    let outcome = set_state(target.kind, &target.name, DRAINING.1, args, output);
    match wait {
        Some(limit) if outcome.code == DONE => wait_until_idle(&target, limit, args, progress),
        _ => outcome,
    }
}

/// Checks that the other zones have capacity for the requests that the zone has in flight now.
///
/// # Errors
///
/// The failed outcome of the command.
fn check_capacity(zone: &str, args: &ChangeArgs) -> Result<(), Outcome> {
    let client = client(&args.host);
    let unreachable = |error| Outcome::unreachable(&error);
    let document = client.document().map_err(unreachable)?.document;
    let status = client.status().map_err(unreachable)?;
    let shortages = shortages(&document, &status, zone);
    if shortages.is_empty() {
        return Ok(());
    }
    let reason = format!(
        "{}\nuse --force to drain the zone anyway",
        shortages.join("\n")
    );
    Err(Outcome::failed(BAD_INPUT, reason))
}

/// One message for each service whose requests in the zone exceed the free slots elsewhere.
fn shortages(document: &Document, status: &Status, zone: &str) -> Vec<String> {
    let mut in_flight: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for load_in_zone in &status.zones {
        for service in &load_in_zone.services {
            let (here, elsewhere) = in_flight.entry(&service.service).or_default();
            let load = service.load.in_flight + service.load.queued;
            *(if load_in_zone.zone == zone {
                here
            } else {
                elsewhere
            }) += load;
        }
    }
    let is_open_zone = |name: &str| {
        let zone = document.zone(name);
        zone.is_some_and(|zone| takes_new_work(&zone.labels))
    };
    let mut shortages = Vec::new();
    for (service, (here, elsewhere)) in in_flight {
        let slots: u32 = document
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == service && upstream.zone != zone)
            .filter(|upstream| takes_new_work(&upstream.labels) && is_open_zone(&upstream.zone))
            .map(|upstream| upstream.slots)
            .sum();
        if here > 0 && here + elsewhere > slots {
            shortages.push(format!(
                "service {service}: {here} in flight in {zone}, \
                 but only {} of {slots} slots are free elsewhere",
                slots.saturating_sub(elsewhere)
            ));
        }
    }
    shortages
}

/// Waits until no request is in flight on the target, at most for `limit`.
fn wait_until_idle(
    target: &DrainTarget,
    limit: Duration,
    args: &ChangeArgs,
    progress: &mut dyn FnMut(&str),
) -> Outcome {
    let started_at = clock::now();
    let mut last = None;
    loop {
        let counted = count_in_flight(target, args);
        if clock::elapsed(started_at) > limit {
            let reason = format!("{} is not drained after {} s", target.name, limit.as_secs());
            return Outcome::failed(UNAVAILABLE, reason);
        }
        match counted {
            Ok(0) if clock::elapsed(started_at) >= PROPAGATION_TIME => {
                let ms = clock::elapsed(started_at).as_millis();
                return Outcome::done(format!("{} is drained after {ms} ms", target.name));
            }
            Ok(in_flight) if last != Some(in_flight) => {
                progress(&format!("{}: {in_flight} in flight", target.name));
                last = Some(in_flight);
            }
            Ok(_) => {}
            Err(reason) => progress(&reason),
        }
        std::thread::sleep(STATUS_INTERVAL);
    }
}

/// Requests in flight on the target, summed up over all hosts that the asked host knows.
fn count_in_flight(target: &DrainTarget, args: &ChangeArgs) -> Result<u32, String> {
    let client = client(&args.host);
    let document = client
        .document()
        .map_err(|error| error.to_string())?
        .document;
    let status = client.status().map_err(|error| error.to_string())?;
    let names: Vec<&str> = document
        .upstreams
        .iter()
        .filter(|upstream| match target.kind {
            Kind::Zone => upstream.zone == target.name,
            _ => upstream.name == target.name,
        })
        .map(|upstream| upstream.name.as_str())
        .collect();
    let mut in_flight = 0;
    for host in &status.hosts {
        let client = OperatorClient::new(host.operator_address, STATUS_TIMEOUT);
        let status = client
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
