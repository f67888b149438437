//! The commands `status`, `lookup`, `dump` and `show`, which print the state of a host.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use operator::Status;
use serde::Serialize;
use ureq::Agent;

use super::change::client;
use super::outcome::{BAD_INPUT, Outcome, UNAVAILABLE};
use crate::cli::{HostArgs, Output};

const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(10);

pub fn status(host: &HostArgs, output: Output) -> Outcome {
    match (client(host).status(), output) {
        (Ok(status), Output::Text) => Outcome::done(describe(&status)),
        (Ok(status), Output::Json) => Outcome::done(pretty(&status)),
        (Err(error), _) => Outcome::unreachable(&error),
    }
}

pub fn dump(host: &HostArgs) -> Outcome {
    match client(host).dump() {
        Ok(dump) => Outcome::done(pretty(&dump)),
        Err(error) => Outcome::unreachable(&error),
    }
}

pub fn document(host: &HostArgs) -> Outcome {
    match client(host).document() {
        Ok(in_force) => Outcome::done(pretty(&in_force.document)),
        Err(error) => Outcome::unreachable(&error),
    }
}

pub fn look_up(at: SocketAddr, service: &str, address: Option<IpAddr>, tickets: usize) -> Outcome {
    let config = Agent::config_builder()
        .timeout_global(Some(LOOK_UP_TIMEOUT))
        .http_status_as_error(false)
        .build();
    let mut url = format!("http://{at}/v1/hosts?service={service}&tickets={tickets}");
    if let Some(address) = address {
        let _ = write!(url, "&address={address}");
    }
    let answer = Agent::from(config).get(url).call();
    let mut answer = match answer {
        Ok(answer) => answer,
        Err(error) => return Outcome::failed(UNAVAILABLE, format!("{at}: {error}")),
    };
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    match answer.status().as_u16() {
        200 => Outcome::done(text),
        400..=499 => Outcome::failed(BAD_INPUT, text),
        _ => Outcome::failed(UNAVAILABLE, text),
    }
}

fn pretty<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).expect("answers of hosts are valid JSON")
}

fn describe(status: &Status) -> String {
    let mut text = String::new();
    let store = match status.store_silent_ms {
        Some(ms) => format!("answered {ms} ms ago"),
        None => "never answered".to_owned(),
    };
    let leaving = if status.leaving { ", leaving" } else { "" };
    let _ = writeln!(
        text,
        "host      {} in {}{leaving}",
        status.host, status.zone
    );
    let _ = writeln!(text, "revision  {}", status.revision);
    let _ = writeln!(text, "platform  {store}");
    let _ = writeln!(text, "in flight {}", status.in_flight);
    for host in &status.hosts {
        let _ = writeln!(
            text,
            "knows     {} in {} at {}",
            host.name, host.zone, host.caller_address
        );
    }
    for zone in &status.zones {
        for service in &zone.services {
            let load = &service.load;
            let _ = writeln!(
                text,
                "load      {} in {}: {} of {} in flight, {} queued, {:.1} ms, {} ms old",
                service.service,
                zone.zone,
                load.in_flight,
                load.capacity,
                load.queued,
                load.latency_ms,
                zone.age_ms
            );
        }
    }
    for upstream in status.pools.iter().flat_map(|pool| &pool.upstreams) {
        let state = if upstream.usable {
            "open"
        } else {
            "no new work"
        };
        let _ = writeln!(
            text,
            "upstream  {}: {} of {} in flight, {:.1} ms, {state}",
            upstream.name, upstream.in_flight, upstream.allowed, upstream.latency_ms
        );
    }
    text
}
