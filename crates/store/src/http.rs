//! The platform over HTTP, through `ureq`.

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

    /// Reads rows by key.
    pub const READ: &str = "/table/read";
    /// Reads rows by prefix.
    pub const SCAN: &str = "/table/scan";
    /// Commits a transaction.
    pub const COMMIT: &str = "/table/commit";
    /// Objects, by name.
    pub const OBJECTS: &str = "/objects/";
    /// The host list.
    pub const HOSTS: &str = "/hosts";

    /// Body of a scan.
    #[derive(Debug, Clone, Serialize, Deserialize)]
    pub struct Scan {
        /// What keys start with.
        pub prefix: String,
        /// Key that all come after.
        pub after: String,
        /// Most rows.
        pub limit: usize,
    }
}

const ANSWER_LIMIT_BYTES: u64 = 256 << 20;

/// The platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    agent: Agent,
    base: String,
}

impl HttpPlatform {
    /// A client; every call ends within `timeout`.
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
            .map_err(lost)?;
        read_json(accept(answer)?)
    }
}

type HttpAnswer = ureq::http::Response<ureq::Body>;

fn accept(answer: HttpAnswer) -> Result<HttpAnswer, StoreError> {
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
        .limit(ANSWER_LIMIT_BYTES)
        .read_to_vec()
        .map_err(lost)?;
    serde_json::from_slice(&bytes).map_err(|error| StoreError::InvalidAnswer(error.to_string()))
}

fn lost(error: ureq::Error) -> StoreError {
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
            .map_err(lost)?;
        accept(answer).map(|_| ())
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let answer = self
            .agent
            .get(format!("{}{}{name}", self.base, wire::OBJECTS))
            .call()
            .map_err(lost)?;
        if answer.status().as_u16() == 404 {
            return Ok(None);
        }
        let bytes = accept(answer)?
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT_BYTES)
            .read_to_vec()
            .map_err(lost)?;
        Ok(Some(bytes))
    }
}

impl HostList for HttpPlatform {
    fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let answer = self
            .agent
            .get(format!("{}{}", self.base, wire::HOSTS))
            .call()
            .map_err(lost)?;
        read_json(accept(answer)?)
    }

    fn register(&self, host: &ListedHost) -> Result<(), StoreError> {
        self.post(wire::HOSTS, host)
    }
}
