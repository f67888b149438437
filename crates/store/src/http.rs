//! HTTP client of the platform, based on `ureq`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::hosts::{HostList, ListedHost};
use crate::table::{Commit, Key, ObjectStore, Row, StoreError, Table, Transaction};

/// Paths and messages of the platform's HTTP interface.
pub mod wire {
    use serde::{Deserialize, Serialize};

    /// Path of reads by key.
    pub const READ: &str = "/table/read";
    /// Path of scans by key prefix.
    pub const SCAN: &str = "/table/scan";
    /// Path of transactions.
    pub const COMMIT: &str = "/table/commit";
    /// Prefix of the paths of objects; the object's name follows.
    pub const OBJECTS: &str = "/objects/";
    /// Path of the host list.
    pub const HOSTS: &str = "/hosts";

    /// Request body of a scan.
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct Scan {
        /// Prefix of the keys.
        pub prefix: String,
        /// Only rows with a greater key are returned.
        pub after: String,
        /// Maximum number of rows.
        pub limit: usize,
    }
}

const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// HTTP client of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`; `timeout` limits the time of every call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .build();
        HttpPlatform {
            agent: config.into(),
            base: format!("http://{address}"),
        }
    }

    fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<A, StoreError> {
        let answer = self
            .agent
            .post(format!("{}{path}", self.base))
            .send_json(body)
            .map_err(transport_error)?;
        read_json(check_status(answer)?)
    }
}

type HttpAnswer = ureq::http::Response<ureq::Body>;

fn check_status(answer: HttpAnswer) -> Result<HttpAnswer, StoreError> {
    match answer.status().as_u16() {
        200..=299 => Ok(answer),
        503 => Err(StoreError::Unavailable("503".to_owned())),
        status => Err(StoreError::AnswerLost(format!("status {status}"))),
    }
}

fn read_json<A: DeserializeOwned>(mut answer: HttpAnswer) -> Result<A, StoreError> {
    let bytes = answer
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec()
        .map_err(transport_error)?;
    serde_json::from_slice(&bytes).map_err(|error| StoreError::InvalidAnswer(error.to_string()))
}

fn transport_error(error: ureq::Error) -> StoreError {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            StoreError::Unavailable(error.to_string())
        }
        ureq::Error::Io(ref io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unavailable(error.to_string())
        }
        other => StoreError::AnswerLost(other.to_string()),
    }
}

impl Table for HttpPlatform {
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, StoreError> {
        self.post(wire::READ, &keys)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let scan = wire::Scan {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.post(wire::SCAN, &scan)
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        self.post(wire::COMMIT, transaction)
    }
}

impl ObjectStore for HttpPlatform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let answer = self
            .agent
            .put(format!("{}{}{name}", self.base, wire::OBJECTS))
            .send(bytes)
            .map_err(transport_error)?;
        check_status(answer).map(|_| ())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let answer = self
            .agent
            .get(format!("{}{}{name}", self.base, wire::OBJECTS))
            .call()
            .map_err(transport_error)?;
        if answer.status().as_u16() == 404 {
            return Ok(None);
        }
        let bytes = check_status(answer)?
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_to_vec()
            .map_err(transport_error)?;
        Ok(Some(bytes))
    }
}

impl HostList for HttpPlatform {
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let answer = self
            .agent
            .get(format!("{}{}", self.base, wire::HOSTS))
            .call()
            .map_err(transport_error)?;
        read_json(check_status(answer)?)
    }

    fn register(&self, host: &ListedHost) -> Result<(), StoreError> {
        self.post(wire::HOSTS, host)
    }
}
