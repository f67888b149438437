//! The parts of a caller's HTTP request that decide where it is sent.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request};
use steering::blocks::ClassId;
use steering::document::{Identity, Operation, Service};
use steering::error::ErrorKind;
use steering::ids::{RequestId, ServiceName};
use steering::view::View;
use upstream::{DEADLINE_HEADER, end_to_end, has_unknown_coding};

/// Path prefix of requests to services: `/services/NAME/…`.
pub const SERVICES_PATH: &str = "/services/";
/// Header with a ticket from a look-up.
pub const TICKET_HEADER: &str = "stagedeck-ticket";
/// Header with a key that the caller chose, for a request that must run at most once.
pub const KEY_HEADER: &str = "idempotency-key";

/// A request without its body.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Identity of the request, the same on every host and in every log.
    pub id: RequestId,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Index of the matching operation of the service; `None` if no operation matches.
    pub operation: Option<usize>,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query without the prefix `/services/NAME`.
    pub path: String,
    /// Headers without those that apply to a single connection.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How header fields identify the request; `None` if a ticket or a key does.
    pub identity: Option<OperationIdentity>,
    /// Time by which the response must begin.
    pub deadline: Instant,
    /// IP address of the caller.
    pub caller: IpAddr,
    /// Class of the caller, from the client blocks of the configuration.
    pub class: ClassId,
}

/// Identification of a request by its operation and by header fields.
#[derive(Debug, Clone)]
pub struct OperationIdentity {
    /// Name of the operation.
    pub operation: String,
    /// The header fields that identify the request, as configured.
    pub identity: Identity,
}

impl OperationIdentity {
    fn of(operation: &Operation) -> Option<Self> {
        Some(OperationIdentity {
            identity: operation.identity.clone()?,
            operation: operation.name.clone(),
        })
    }
}

/// Parses the head of a request.
///
/// # Errors
///
/// The service is not known, a header is malformed, or the body is too large.
pub fn parse<B>(
    request: &Request<B>,
    view: &View,
    caller: IpAddr,
    id: RequestId,
) -> Result<RequestHead, ErrorKind> {
    if has_unknown_coding(request.headers()) {
        return Err(ErrorKind::Malformed);
    }
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
    let known = operation.map(|index| &service.operations[index]);
    let deadline = deadline(request.headers(), service, known)?;
    Ok(RequestHead {
        id,
        service: name.to_owned(),
        operation,
        identity: known.and_then(OperationIdentity::of),
        repeatable: known.map_or(is_safe(&method), |operation| operation.repeatable),
        method,
        path,
        headers: end_to_end(request.headers()),
        deadline: clock::now() + deadline,
        caller,
        class: view.plan.class_of(caller),
    })
}

/// The value of a header as text; `None` if it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Makes a header value; text that no header may contain becomes the empty value.
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

/// Time until the deadline: what the caller asks for, at most what is configured.
fn deadline(
    headers: &HeaderMap,
    service: &Service,
    operation: Option<&Operation>,
) -> Result<Duration, ErrorKind> {
    let limit_ms = operation.and_then(|operation| operation.deadline_ms);
    let limit = Duration::from_millis(limit_ms.unwrap_or(service.deadline_ms));
    let Some(asked) = headers.get(DEADLINE_HEADER) else {
        return Ok(limit);
    };
    let asked_ms = asked.to_str().ok().and_then(|text| text.parse().ok());
    let asked_ms = asked_ms.ok_or(ErrorKind::Malformed)?;
    Ok(limit.min(Duration::from_millis(asked_ms)))
}
