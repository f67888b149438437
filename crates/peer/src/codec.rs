//! Converts between capnp messages and the types of `steering`.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

use capnp::{Error, text_list};
use steering::history::Position;
use steering::host_capacity::HostCapacity;
use steering::ids::Incarnation;
use steering::limiter::{LoanGrant, LoanRequest};
use steering::load_estimate::{SUMMARY_HOSTS, ServiceLoad, ZoneSummary};
use steering::membership::{Heartbeat, HostEntry};
use steering::pool::PoolLoad;
use steering::route::HostCondition;

use crate::messages::HeartbeatMessage;
use crate::names::{ServiceNames, service_id};
use crate::{MAX_LIST_LENGTH, peer_capnp as wire};

/// Number of addresses of a host.
const ADDRESS_COUNT: usize = 4;

/// Rejects a list that is longer than any host sends.
fn check_length(length: u32, what: &str) -> Result<(), Error> {
    match length > MAX_LIST_LENGTH {
        true => Err(Error::failed(format!("{length} {what} in one message"))),
        false => Ok(()),
    }
}

fn text(reader: capnp::text::Reader<'_>) -> Result<String, Error> {
    Ok(reader.to_str()?.to_owned())
}

/// Returns the addresses of a host, in the order of the schema.
fn addresses(host: &HostEntry) -> [SocketAddr; ADDRESS_COUNT] {
    [
        host.caller_address,
        host.relay_address,
        host.peer_address,
        host.operator_address,
    ]
}

/// Writes a host. The zone is omitted if another field of the message contains it.
pub fn write_host(mut to: wire::host::Builder<'_>, host: &HostEntry, with_zone: bool) {
    let addresses = addresses(host);
    let v4 = |address: SocketAddr| match address.ip() {
        IpAddr::V4(ip) => ip.to_bits(),
        IpAddr::V6(_) => 0,
    };
    let [caller, relay, peer, operator] = addresses;
    to.set_name(&host.name);
    if with_zone {
        to.set_zone(&host.zone);
    }
    to.set_caller_v4(v4(caller));
    to.set_caller_port(caller.port());
    to.set_relay_v4(v4(relay));
    to.set_relay_port(relay.port());
    to.set_peer_v4(v4(peer));
    to.set_peer_port(peer.port());
    to.set_operator_v4(v4(operator));
    to.set_operator_port(operator.port());
    if addresses.iter().any(SocketAddr::is_ipv6) {
        let mut v6 = to.init_v6(ADDRESS_COUNT as u32);
        for (i, address) in addresses.iter().enumerate() {
            let ip = match address.ip() {
                IpAddr::V4(ip) => ip.to_ipv6_mapped(),
                IpAddr::V6(ip) => ip,
            };
            v6.set(i as u32, &ip.octets());
        }
    }
}

/// Reads a host of `zone`; if `zone` is none, the message contains the zone.
pub fn read_host(from: wire::host::Reader<'_>, zone: Option<&str>) -> Result<HostEntry, Error> {
    let v6 = from.get_v6()?;
    let ip = |number: usize, v4: u32| -> Result<IpAddr, Error> {
        if v6.is_empty() {
            return Ok(Ipv4Addr::from_bits(v4).into());
        }
        if v6.len() != ADDRESS_COUNT as u32 {
            return Err(Error::failed(format!("{} addresses of a host", v6.len())));
        }
        let octets = <[u8; 16]>::try_from(v6.get(number as u32)?);
        let octets = octets.map_err(|_| Error::failed("an address is cut short".to_owned()))?;
        Ok(Ipv6Addr::from(octets).to_canonical())
    };
    let address = |number: usize, v4: u32, port: u16| match port {
        0 => Err(Error::failed("an address has no port".to_owned())),
        port => Ok(SocketAddr::new(ip(number, v4)?, port)),
    };
    Ok(HostEntry {
        name: text(from.get_name()?)?,
        zone: match zone {
            Some(zone) => zone.to_owned(),
            None => text(from.get_zone()?)?,
        },
        caller_address: address(0, from.get_caller_v4(), from.get_caller_port())?,
        relay_address: address(1, from.get_relay_v4(), from.get_relay_port())?,
        peer_address: address(2, from.get_peer_v4(), from.get_peer_port())?,
        operator_address: address(3, from.get_operator_v4(), from.get_operator_port())?,
        // The store's list of hosts has the capacity.
        capacity: HostCapacity::default(),
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
        to.set_service(service_id(&load.service));
        to.set_in_flight(load.load.in_flight);
        to.set_capacity(load.load.capacity);
        to.set_queued(load.load.queued);
        to.set_latency_ms(load.load.latency_ms as f32);
    }
}

/// Reads loads; loads of services unknown to this host are skipped.
fn read_loads(
    from: capnp::struct_list::Reader<'_, wire::load::Owned>,
    names: &ServiceNames,
) -> Result<Vec<ServiceLoad>, Error> {
    check_length(from.len(), "loads")?;
    let mut loads = Vec::with_capacity(from.len() as usize);
    for load in from.iter() {
        let latency_ms = f64::from(load.get_latency_ms());
        if !latency_ms.is_finite() || latency_ms < 0.0 {
            return Err(Error::failed(format!("latency of {latency_ms} ms")));
        }
        if let Some(service) = names.find(load.get_service()) {
            let load = PoolLoad {
                in_flight: load.get_in_flight(),
                capacity: load.get_capacity(),
                queued: load.get_queued(),
                latency_ms,
            };
            loads.push(ServiceLoad { service, load });
        }
    }
    Ok(loads)
}

pub fn write_heartbeat(mut to: wire::heartbeat::Builder<'_>, message: &HeartbeatMessage) {
    let heartbeat = &message.heartbeat;
    to.set_sequence(heartbeat.sequence);
    to.set_revision(message.revision);
    to.set_leaving(heartbeat.leaving);
    // An empty list is not written, since it would take up space in the message.
    if !heartbeat.suspected_hosts.is_empty() {
        let suspected = to
            .reborrow()
            .init_doubts(heartbeat.suspected_hosts.len() as u32);
        write_texts(suspected, heartbeat.suspected_hosts.iter());
    }
    if !heartbeat.confirmed_hosts.is_empty() {
        let confirmed = to
            .reborrow()
            .init_vouches(heartbeat.confirmed_hosts.len() as u32);
        write_texts(confirmed, heartbeat.confirmed_hosts.iter());
    }
    if !heartbeat.lenders.is_empty() {
        let lenders = to.reborrow().init_lenders(heartbeat.lenders.len() as u32);
        write_texts(lenders, heartbeat.lenders.iter());
    }
    if let Some(condition) = &message.condition {
        let condition = postcard::to_stdvec(condition).expect("conditions can be encoded");
        to.set_condition(&condition);
    }
    if !message.loads.is_empty() {
        write_loads(to.init_loads(message.loads.len() as u32), &message.loads);
    }
}

fn write_texts<'a>(mut to: text_list::Builder<'_>, texts: impl Iterator<Item = &'a String>) {
    for (i, text) in texts.enumerate() {
        to.set(i as u32, text);
    }
}

fn read_texts(from: text_list::Reader<'_>) -> Result<BTreeSet<String>, Error> {
    check_length(from.len(), "names")?;
    from.iter().map(|name| text(name?)).collect()
}

/// Reads a heartbeat; the sender is the host and incarnation that opened the session.
pub fn read_heartbeat(
    from: wire::heartbeat::Reader<'_>,
    host: &HostEntry,
    incarnation: Incarnation,
    names: &ServiceNames,
) -> Result<HeartbeatMessage, Error> {
    Ok(HeartbeatMessage {
        heartbeat: Heartbeat {
            host: host.clone(),
            incarnation,
            sequence: from.get_sequence(),
            leaving: from.get_leaving(),
            suspected_hosts: read_texts(from.get_doubts()?)?,
            confirmed_hosts: read_texts(from.get_vouches()?)?,
            lenders: read_texts(from.get_lenders()?)?,
        },
        revision: from.get_revision(),
        loads: read_loads(from.get_loads()?, names)?,
        condition: read_condition(from.get_condition()?)?,
    })
}

fn read_condition(from: &[u8]) -> Result<Option<HostCondition>, Error> {
    if from.is_empty() {
        return Ok(None);
    }
    let condition = postcard::from_bytes(from);
    condition
        .map(Some)
        .map_err(|error| Error::failed(error.to_string()))
}

pub fn write_summaries(
    mut to: capnp::struct_list::Builder<'_, wire::summary::Owned>,
    summaries: &[ZoneSummary],
) {
    for (i, summary) in summaries.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_zone(&summary.zone);
        to.set_age_ms(wire_ms(summary.age));
        write_loads(
            to.reborrow().init_loads(summary.loads.len() as u32),
            &summary.loads,
        );
        if summary.hosts.is_empty() {
            continue;
        }
        to.set_hosts_age_ms(wire_ms(summary.hosts_age));
        let mut hosts = to.init_hosts(summary.hosts.len() as u32);
        for (i, host) in summary.hosts.iter().enumerate() {
            write_host(hosts.reborrow().get(i as u32), host, false);
        }
    }
}

pub fn read_summaries(
    from: capnp::struct_list::Reader<'_, wire::summary::Owned>,
    names: &ServiceNames,
) -> Result<Vec<ZoneSummary>, Error> {
    check_length(from.len(), "summaries")?;
    from.iter()
        .map(|summary| read_summary(summary, names))
        .collect()
}

fn read_summary(
    from: wire::summary::Reader<'_>,
    names: &ServiceNames,
) -> Result<ZoneSummary, Error> {
    let zone = text(from.get_zone()?)?;
    let hosts = from.get_hosts()?.iter().take(SUMMARY_HOSTS);
    Ok(ZoneSummary {
        age: Duration::from_millis(from.get_age_ms().into()),
        loads: read_loads(from.get_loads()?, names)?,
        hosts: hosts
            .map(|host| read_host(host, Some(&zone)))
            .collect::<Result<_, _>>()?,
        hosts_age: Duration::from_millis(from.get_hosts_age_ms().into()),
        zone,
    })
}

fn wire_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

pub fn write_request(mut to: wire::loan_request::Builder<'_>, request: &LoanRequest) {
    to.set_borrower(&request.borrower);
    to.set_incarnation(request.incarnation);
    to.set_sequence(request.sequence);
    to.set_keep(request.keep);
    to.set_want(request.demand);
}

pub fn read_request(from: wire::loan_request::Reader<'_>) -> Result<LoanRequest, Error> {
    Ok(LoanRequest {
        borrower: text(from.get_borrower()?)?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        keep: from.get_keep(),
        demand: from.get_want(),
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

/// Decodes a value that is sent as JSON, in the same format as in the store.
pub fn read_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::failed(error.to_string()))
}

/// Encodes a value as JSON.
pub fn write_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages are valid JSON")
}

/// Decodes records of a feed, or another value in the postcard format.
pub fn read_records<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::failed(error.to_string()))
}

/// Encodes records of a feed in the postcard format, which takes a third of the bytes of JSON.
///
/// Returns none if the encoded records take more than `max_bytes`. Encoding stops at that size,
/// since a host that starts has thousands of reports and sends none of them.
pub fn write_records<T: serde::Serialize>(value: &T, max_bytes: usize) -> Option<Vec<u8>> {
    let writer = BoundedWriter {
        bytes: Vec::new(),
        max_bytes,
    };
    let written = postcard::to_io(value, writer).ok()?;
    Some(written.bytes)
}

/// A buffer that rejects writes beyond `max_bytes`.
struct BoundedWriter {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl io::Write for BoundedWriter {
    fn write(&mut self, chunk: &[u8]) -> io::Result<usize> {
        if self.bytes.len() + chunk.len() > self.max_bytes {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(chunk.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
