//! What a caller asks for, read from its HTTP request.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request};
use steering::blocks::ClassId;
use steering::document::{Identity, Operation, Service};
use steering::error::ErrorKind;
use steering::ids::{RequestId, ServiceName};
use steering::view::View;
use upstream::{DEADLINE_HEADER, end_to_end};

/// Path below which services are found: `/services/NAME/…`.
pub const SERVICES_PATH: &str = "/services/";
/// Header with a ticket.
pub const TICKET_HEADER: &str = "stagedeck-ticket";
/// Header with a caller's own key for work that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// A request without its body.
#[derive(Debug, Clone)]
pub struct WorkHead {
    /// Its identity, the same on every host.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Its kind, by number in the service's operations.
    pub operation: Option<usize>,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Headers without those for one connection only.
    pub headers: HeaderMap,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What names its work; none: a ticket or a key does.
    pub named: Option<NamedWork>,
    /// Time by which its answer must begin.
    pub deadline: Instant,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Class of the caller.
    pub class: ClassId,
}

/// What names a request's work.
#[derive(Debug, Clone)]
pub struct NamedWork {
    /// The operation.
    pub operation: String,
    /// The header fields.
    pub identity: Identity,
}

impl NamedWork {
    fn of(operation: &Operation) -> Option<Self> {
        Some(NamedWork {
            identity: operation.identity.clone()?,
            operation: operation.name.clone(),
        })
    }
}

/// Reads a request's head; `path` is what follows [`SERVICES_PATH`].
pub fn parse<B>(
    request: &Request<B>,
    view: &View,
    caller: IpAddr,
    id: RequestId,
) -> Result<WorkHead, ErrorKind> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let below = path
        .strip_prefix(SERVICES_PATH)
        .ok_or(ErrorKind::UnknownService)?;
    let end = below.find(['/', '?']).unwrap_or(below.len());
    let (name, rest) = below.split_at(end);
    let service = view
        .plan
        .services
        .get(name)
        .ok_or(ErrorKind::UnknownService)?;
    let service = &service.service;
    let path = match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    };
    check_length(request, service)?;
    let method = request.method().clone();
    let operation = service
        .operations
        .iter()
        .position(|operation| operation.matches(method.as_str(), &path));
    let known = operation.map(|number| &service.operations[number]);
    let deadline = deadline(request.headers(), service, known)?;
    Ok(WorkHead {
        id,
        service: name.to_owned(),
        operation,
        named: known.and_then(NamedWork::of),
        repeatable: known.map_or(is_safe(&method), |operation| operation.repeatable),
        method,
        path,
        headers: end_to_end(request.headers()),
        deadline: clock::now() + deadline,
        caller,
        class: view.plan.class_of(caller),
    })
}

/// A header's value as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header value of text that the system made.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn check_length<B>(request: &Request<B>, service: &Service) -> Result<(), ErrorKind> {
    let Some(length) = text(request.headers(), "content-length") else {
        return Ok(());
    };
    match length.parse::<u64>() {
        Ok(length) if length > service.body_limit_bytes => Err(ErrorKind::TooLarge),
        Ok(_) => Ok(()),
        Err(_) => Err(ErrorKind::Malformed),
    }
}

fn deadline(
    headers: &HeaderMap,
    service: &Service,
    operation: Option<&Operation>,
) -> Result<Duration, ErrorKind> {
    let most = operation.and_then(|operation| operation.deadline_ms);
    let most = Duration::from_millis(most.unwrap_or(service.deadline_ms));
    let Some(asked) = headers.get(DEADLINE_HEADER) else {
        return Ok(most);
    };
    let asked = asked.to_str().ok().and_then(|text| text.parse().ok());
    let asked = asked.ok_or(ErrorKind::Malformed)?;
    Ok(most.min(Duration::from_millis(asked)))
}
