//! Look-ups: the hosts that a caller should use, and tickets for at-most-once requests.

use std::net::{IpAddr, SocketAddr};

use hyper::{Response, Uri};
use serde::Serialize;
use steering::document::TicketMode;
use steering::error::ErrorKind;
use steering::ids::{HostName, Revision, ServiceName, ZoneName};
use upstream::Body;

use crate::answers::json;
use crate::shared::SharedState;

/// Path of look-ups.
pub const LOOK_UP_PATH: &str = "/v1/hosts";
/// Most tickets in one response.
pub const MAX_TICKETS: usize = 32;

#[derive(Serialize)]
struct FoundHost {
    name: HostName,
    zone: ZoneName,
    address: SocketAddr,
}

#[derive(Serialize)]
struct LookUpResponse {
    service: ServiceName,
    /// Best first.
    hosts: Vec<FoundHost>,
    /// Time that the response may be cached, in milliseconds.
    ttl_ms: u64,
    revision: Revision,
    /// Each ticket is good for one request, to be sent to `ticket_host`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tickets: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket_host: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket_ttl_ms: Option<u64>,
}

/// Parameters of a look-up.
#[derive(Debug, Default, PartialEq, Eq)]
struct Query {
    service: Option<String>,
    address: Option<IpAddr>,
    tickets: usize,
}

fn parse(uri: &Uri) -> Result<Query, ErrorKind> {
    let mut query = Query::default();
    for pair in uri
        .query()
        .unwrap_or("")
        .split('&')
        .filter(|pair| !pair.is_empty())
    {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        match key {
            "service" => query.service = Some(value.to_owned()),
            "address" => query.address = Some(value.parse().map_err(|_| ErrorKind::Malformed)?),
            "tickets" => query.tickets = value.parse().map_err(|_| ErrorKind::Malformed)?,
            _ => return Err(ErrorKind::Malformed),
        }
    }
    Ok(query)
}

/// Answers a look-up.
///
/// # Errors
///
/// The query is malformed, or the service is not known.
pub fn answer(
    shared: &SharedState,
    uri: &Uri,
    caller: IpAddr,
) -> Result<Response<Body>, ErrorKind> {
    let query = parse(uri)?;
    let view = shared.view.load();
    let name = query.service.ok_or(ErrorKind::Malformed)?;
    let service = view
        .plan
        .services
        .get(&name)
        .ok_or(ErrorKind::UnknownService)?;
    let address = query.address.unwrap_or(caller);
    let class = view.plan.class(view.plan.class_of(address));
    let directory = shared.directory.load();
    let hosts = directory.find(class.zone.as_deref(), address_hash(address));
    let found = |host: &steering::membership::HostEntry| FoundHost {
        name: host.name.clone(),
        zone: host.zone.clone(),
        address: host.caller_address,
    };
    let hosts: Vec<FoundHost> = hosts.into_iter().map(found).collect();
    let tickets = tickets(shared, &name, service.service.ticket_mode, query.tickets);
    let has_tickets = !tickets.is_empty();
    Ok(json(&LookUpResponse {
        service: name,
        hosts,
        ttl_ms: shared.config.look_up_ttl.as_millis() as u64,
        revision: view.revision,
        ticket_host: has_tickets.then_some(view.me.caller_address),
        ticket_ttl_ms: has_tickets.then_some(shared.config.ticket_ttl.as_millis() as u64),
        tickets,
    }))
}

fn tickets(shared: &SharedState, service: &str, mode: TicketMode, count: usize) -> Vec<String> {
    let leaving = shared.view.load().leaving;
    if count == 0 || leaving || !shared.spent().may_issue() {
        return Vec::new();
    }
    let expiry = clock::elapsed(shared.started) + shared.config.ticket_ttl;
    let mut rng = rand::rng();
    (0..count.min(MAX_TICKETS))
        .map(|_| shared.issuer.issue(service, mode, expiry, &mut rng))
        .collect()
}

/// A hash that spreads callers over hosts, and is the same each time for the same caller.
fn address_hash(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => steering::rendezvous::hash(&address.octets()),
        IpAddr::V6(address) => steering::rendezvous::hash(&address.octets()),
    }
}
