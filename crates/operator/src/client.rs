//! Client for operators, based on `ureq`.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use steering::document::{Proposal, ProposalOutcome};
use ureq::Agent;

use crate::messages::{InForce, Status};
use crate::{CHANGES_PATH, DOCUMENT_PATH, DUMP_PATH, METRICS_PATH, STATUS_PATH};

const MAX_ANSWER_BYTES: u64 = 512 << 20;

/// Why a request to a host failed.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The host can't be reached, did not answer, or sent an invalid answer.
    #[display("{address}: {reason}")]
    Unreachable {
        /// Operator address of the host.
        address: SocketAddr,
        /// Cause of the error.
        reason: String,
    },
    /// The host refused the request.
    #[display("{address} answered {status}: {text}")]
    Refused {
        /// Operator address of the host.
        address: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        text: String,
    },
}

/// Client of the operator endpoint of one host.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    agent: Agent,
    address: SocketAddr,
}

impl OperatorClient {
    /// Creates a client; `address` is the operator address of the host, `timeout` limits the time of
    /// every request.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build();
        OperatorClient {
            agent: config.into(),
            address,
        }
    }

    /// Fetches the status of the host.
    pub fn status(&self) -> Result<Status, ClientError> {
        self.get(STATUS_PATH)
    }

    /// Fetches the complete state of the host, for diagnosis.
    pub fn dump(&self) -> Result<serde_json::Value, ClientError> {
        self.get(DUMP_PATH)
    }

    /// Fetches the configuration in force on the host.
    pub fn document(&self) -> Result<InForce, ClientError> {
        self.get(DOCUMENT_PATH)
    }

    /// Fetches the metrics of the host, in the Prometheus text format.
    pub fn metrics(&self) -> Result<String, ClientError> {
        let answer = self.agent.get(self.url(METRICS_PATH)).call();
        let bytes = self.read(answer)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Proposes a change. After an error the outcome of the proposal is unknown.
    pub fn propose(&self, proposal: &Proposal) -> Result<ProposalOutcome, ClientError> {
        let answer = self.agent.post(self.url(CHANGES_PATH)).send_json(proposal);
        self.parse(answer)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.agent.get(self.url(path)).call();
        self.parse(answer)
    }

    fn parse<T: DeserializeOwned>(&self, answer: Answer) -> Result<T, ClientError> {
        let bytes = self.read(answer)?;
        serde_json::from_slice(&bytes).map_err(|error| self.unreachable(&error))
    }

    fn read(&self, answer: Answer) -> Result<Vec<u8>, ClientError> {
        let mut answer = answer.map_err(|error| self.unreachable(&error))?;
        let bytes = answer
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(|error| self.unreachable(&error))?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(ClientError::Refused {
                address: self.address,
                status,
                text: String::from_utf8_lossy(&bytes).into_owned(),
            });
        }
        Ok(bytes)
    }

    fn unreachable(&self, reason: &dyn std::fmt::Display) -> ClientError {
        ClientError::Unreachable {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

type Answer = Result<ureq::http::Response<ureq::Body>, ureq::Error>;
