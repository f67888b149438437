//! The operators' side, through `ureq`.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use steering::document::{Proposal, ProposalOutcome};
use ureq::Agent;

use crate::messages::{InForce, Status};
use crate::{CHANGES_PATH, DOCUMENT_PATH, DUMP_PATH, METRICS_PATH, STATUS_PATH};

const ANSWER_LIMIT_BYTES: u64 = 512 << 20;

/// Why a host could not be asked.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// It can't be reached, or did not answer.
    #[display("{address}: {reason}")]
    Unreachable {
        /// The host's operator address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// It refused the request.
    #[display("{address} answered {status}: {text}")]
    Refused {
        /// The host's operator address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
}

/// Asks one host.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    agent: Agent,
    address: SocketAddr,
}

impl OperatorClient {
    /// A client of the host with this operator address.
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

    /// The host's status.
    pub fn status(&self) -> Result<Status, ClientError> {
        self.get(STATUS_PATH)
    }

    /// The host's whole state.
    pub fn dump(&self) -> Result<serde_json::Value, ClientError> {
        self.get(DUMP_PATH)
    }

    /// The configuration in force on the host.
    pub fn document(&self) -> Result<InForce, ClientError> {
        self.get(DOCUMENT_PATH)
    }

    /// The host's metrics, as Prometheus text.
    pub fn metrics(&self) -> Result<String, ClientError> {
        let answer = self.agent.get(self.url(METRICS_PATH)).call();
        let bytes = self.read(answer)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Proposes a change. An error means that its outcome is not known.
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
            .limit(ANSWER_LIMIT_BYTES)
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
