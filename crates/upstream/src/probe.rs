//! Requests the health and load of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use steering::pool::LoadReport;
use tokio::time::timeout;

use crate::{Connections, Reuse, SendError, full};

/// Path at which an upstream reports its load, as JSON.
pub const LOAD_PATH: &str = "/load";

const MAX_REPORT_BYTES: usize = 4_096;

/// Why a probe failed.
#[derive(Debug, Display, Error)]
pub enum ProbeError {
    /// The request could not be sent, or got no answer.
    #[display("{_0}")]
    Send(SendError),
    /// The report did not arrive within the time limit.
    #[display("the report arrived too late")]
    Timeout,
    /// The answer could not be decoded as a load report.
    #[display("the answer is not a load report: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// Requests a load report once. At most `max_connections` to the upstream may be open, and the
/// report must arrive within `time_limit`.
pub async fn probe(
    connections: &Connections,
    address: SocketAddr,
    max_connections: u32,
    time_limit: Duration,
) -> Result<LoadReport, ProbeError> {
    match timeout(
        time_limit,
        request_report(connections, address, max_connections, time_limit),
    )
    .await
    {
        Ok(report) => report,
        Err(_) => Err(ProbeError::Timeout),
    }
}

async fn request_report(
    connections: &Connections,
    address: SocketAddr,
    max_connections: u32,
    time_limit: Duration,
) -> Result<LoadReport, ProbeError> {
    let request = Request::get(LOAD_PATH)
        .header("host", address.to_string())
        .body(full(""))
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))?;
    let deadline = clock::now() + time_limit;
    let answer = connections
        .send(address, max_connections, Reuse::Any, request, deadline)
        .await
        .map_err(ProbeError::Send)?;
    let body = Limited::new(answer.into_body(), MAX_REPORT_BYTES)
        .collect()
        .await
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))
}
