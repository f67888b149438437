//! Between capnp messages and the types of `steering`.

use std::collections::BTreeSet;
use std::time::Duration;

use capnp::{Error, text_list};
use steering::belief::{SUMMARY_HOSTS, ServiceLoad, ZoneSummary};
use steering::history::Position;
use steering::limiter::{LoanGrant, LoanRequest};
use steering::membership::{Heartbeat, HostEntry};
use steering::pool::PoolLoad;

use crate::messages::Beat;
use crate::{LIST_LIMIT, peer_capnp as wire};

/// Refuses a list that is longer than any host sends.
fn bounded(length: u32, what: &str) -> Result<(), Error> {
    match length > LIST_LIMIT {
        true => Err(Error::failed(format!("{length} {what} in one message"))),
        false => Ok(()),
    }
}

fn text(reader: capnp::text::Reader<'_>) -> Result<String, Error> {
    Ok(reader.to_str()?.to_owned())
}

fn address(reader: capnp::text::Reader<'_>) -> Result<std::net::SocketAddr, Error> {
    let text = reader.to_str()?;
    text.parse()
        .map_err(|_| Error::failed(format!("`{text}` is no address")))
}

pub fn write_host(mut to: wire::host::Builder<'_>, host: &HostEntry) {
    to.set_name(&host.name);
    to.set_zone(&host.zone);
    to.set_caller_address(host.caller_address.to_string());
    to.set_relay_address(host.relay_address.to_string());
    to.set_peer_address(host.peer_address.to_string());
    to.set_operator_address(host.operator_address.to_string());
}

pub fn read_host(from: wire::host::Reader<'_>) -> Result<HostEntry, Error> {
    Ok(HostEntry {
        name: text(from.get_name()?)?,
        zone: text(from.get_zone()?)?,
        caller_address: address(from.get_caller_address()?)?,
        relay_address: address(from.get_relay_address()?)?,
        peer_address: address(from.get_peer_address()?)?,
        operator_address: address(from.get_operator_address()?)?,
    })
}

pub fn write_position(mut to: wire::position::Builder<'_>, position: &Position) {
    to.set_revision(position.revision);
    to.set_digest(&position.digest);
}

pub fn read_position(from: wire::position::Reader<'_>) -> Result<Position, Error> {
    Ok(Position {
        revision: from.get_revision(),
        digest: text(from.get_digest()?)?,
    })
}

fn write_loads(mut to: capnp::struct_list::Builder<'_, wire::load::Owned>, loads: &[ServiceLoad]) {
    for (i, load) in loads.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_service(&load.service);
        to.set_in_flight(load.load.in_flight);
        to.set_capacity(load.load.capacity);
        to.set_queued(load.load.queued);
        to.set_latency_ms(load.load.latency_ms);
    }
}

fn read_loads(
    from: capnp::struct_list::Reader<'_, wire::load::Owned>,
) -> Result<Vec<ServiceLoad>, Error> {
    bounded(from.len(), "loads")?;
    from.iter().map(read_load).collect()
}

fn read_load(from: wire::load::Reader<'_>) -> Result<ServiceLoad, Error> {
    let latency_ms = from.get_latency_ms();
    if !latency_ms.is_finite() || latency_ms < 0.0 {
        return Err(Error::failed(format!("latency of {latency_ms} ms")));
    }
    Ok(ServiceLoad {
        service: text(from.get_service()?)?,
        load: PoolLoad {
            in_flight: from.get_in_flight(),
            capacity: from.get_capacity(),
            queued: from.get_queued(),
            latency_ms,
        },
    })
}

pub fn write_beat(mut to: wire::heartbeat::Builder<'_>, beat: &Beat) {
    let heartbeat = &beat.heartbeat;
    write_host(to.reborrow().init_host(), &heartbeat.host);
    to.set_incarnation(heartbeat.incarnation);
    to.set_sequence(heartbeat.sequence);
    to.set_leaving(heartbeat.leaving);
    let doubts = to.reborrow().init_doubts(heartbeat.doubts.len() as u32);
    write_texts(doubts, heartbeat.doubts.iter());
    let vouches = to.reborrow().init_vouches(heartbeat.vouches.len() as u32);
    write_texts(vouches, heartbeat.vouches.iter());
    let lenders = to.reborrow().init_lenders(heartbeat.lenders.len() as u32);
    write_texts(lenders, heartbeat.lenders.iter());
    write_position(to.reborrow().init_position(), &beat.position);
    write_loads(to.init_loads(beat.loads.len() as u32), &beat.loads);
}

fn write_texts<'a>(mut to: text_list::Builder<'_>, texts: impl Iterator<Item = &'a String>) {
    for (i, text) in texts.enumerate() {
        to.set(i as u32, text);
    }
}

fn read_texts(from: text_list::Reader<'_>) -> Result<BTreeSet<String>, Error> {
    bounded(from.len(), "names")?;
    from.iter().map(|name| text(name?)).collect()
}

pub fn read_beat(from: wire::heartbeat::Reader<'_>) -> Result<Beat, Error> {
    Ok(Beat {
        heartbeat: Heartbeat {
            host: read_host(from.get_host()?)?,
            incarnation: from.get_incarnation(),
            sequence: from.get_sequence(),
            leaving: from.get_leaving(),
            doubts: read_texts(from.get_doubts()?)?,
            vouches: read_texts(from.get_vouches()?)?,
            lenders: read_texts(from.get_lenders()?)?,
        },
        position: read_position(from.get_position()?)?,
        loads: read_loads(from.get_loads()?)?,
    })
}

pub fn write_summaries(
    mut to: capnp::struct_list::Builder<'_, wire::summary::Owned>,
    summaries: &[ZoneSummary],
) {
    for (i, summary) in summaries.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_zone(&summary.zone);
        to.set_age_ms(summary.age.as_millis().min(u128::from(u32::MAX)) as u32);
        write_loads(
            to.reborrow().init_loads(summary.loads.len() as u32),
            &summary.loads,
        );
        let mut hosts = to.init_hosts(summary.hosts.len() as u32);
        for (i, host) in summary.hosts.iter().enumerate() {
            write_host(hosts.reborrow().get(i as u32), host);
        }
    }
}

pub fn read_summaries(
    from: capnp::struct_list::Reader<'_, wire::summary::Owned>,
) -> Result<Vec<ZoneSummary>, Error> {
    bounded(from.len(), "summaries")?;
    from.iter().map(read_summary).collect()
}

fn read_summary(from: wire::summary::Reader<'_>) -> Result<ZoneSummary, Error> {
    let hosts = from.get_hosts()?;
    Ok(ZoneSummary {
        zone: text(from.get_zone()?)?,
        age: Duration::from_millis(from.get_age_ms().into()),
        loads: read_loads(from.get_loads()?)?,
        hosts: hosts
            .iter()
            .take(SUMMARY_HOSTS)
            .map(read_host)
            .collect::<Result<_, _>>()?,
    })
}

pub fn write_request(mut to: wire::loan_request::Builder<'_>, request: &LoanRequest) {
    to.set_borrower(&request.borrower);
    to.set_incarnation(request.incarnation);
    to.set_sequence(request.sequence);
    to.set_keep(request.keep);
    to.set_want(request.want);
}

pub fn read_request(from: wire::loan_request::Reader<'_>) -> Result<LoanRequest, Error> {
    Ok(LoanRequest {
        borrower: text(from.get_borrower()?)?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        keep: from.get_keep(),
        want: from.get_want(),
    })
}

pub fn write_grant(mut to: wire::loan_grant::Builder<'_>, grant: &LoanGrant) {
    to.set_sequence(grant.sequence);
    to.set_total(grant.total);
}

pub fn read_grant(from: wire::loan_grant::Reader<'_>) -> LoanGrant {
    LoanGrant {
        sequence: from.get_sequence(),
        total: from.get_total(),
    }
}

/// Reads a value that travels as JSON, as it is stored.
pub fn read_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::failed(error.to_string()))
}

/// Writes a value that travels as JSON.
pub fn write_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("what travels is valid JSON")
}
