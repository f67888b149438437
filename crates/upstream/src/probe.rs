//! Asks an upstream for its health and load.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use steering::pool::LoadReport;
use tokio::time::timeout;

use crate::{Connections, Reuse, SendError, full};

/// Path at which an upstream tells its load as JSON.
pub const LOAD_PATH: &str = "/load";

const REPORT_LIMIT_BYTES: usize = 4_096;

/// Why a probe brought no report.
#[derive(Debug, Display, Error)]
pub enum ProbeError {
    /// No answer.
    #[display("{_0}")]
    Send(SendError),
    /// The answer came too late.
    #[display("the report came too late")]
    Timeout,
    /// The answer is not a report.
    #[display("the answer is not a load report: {_0}")]
    InvalidAnswer(#[error(not(source))] String),
}

/// Asks once; `limit` connections may be open to the upstream.
pub async fn probe(
    connections: &Connections,
    address: SocketAddr,
    limit: u32,
    within: Duration,
) -> Result<LoadReport, ProbeError> {
    match timeout(within, ask(connections, address, limit, within)).await {
        Ok(report) => report,
        Err(_) => Err(ProbeError::Timeout),
    }
}

async fn ask(
    connections: &Connections,
    address: SocketAddr,
    limit: u32,
    within: Duration,
) -> Result<LoadReport, ProbeError> {
    let request = Request::get(LOAD_PATH)
        .header("host", address.to_string())
        .body(full(""))
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))?;
    let deadline = clock::now() + within;
    let answer = connections
        .send(address, limit, Reuse::Any, request, deadline)
        .await
        .map_err(ProbeError::Send)?;
    let body = Limited::new(answer.into_body(), REPORT_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| ProbeError::InvalidAnswer(error.to_string()))
}
