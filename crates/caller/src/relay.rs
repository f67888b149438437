//! Requests that one host passes to another, under the deployment's shared key.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::net::IpAddr;

use steering::ids::{HostName, RequestId, Revision};
use steering::limiter::LimitKey;
use steering::plan::PoolKey;

/// Header that a relayed request carries.
pub const RELAY_HEADER: &str = "stagedeck-relay";
/// Header of an answer to a relayed request with the pool's load as JSON.
pub const LOAD_HEADER: &str = "stagedeck-load";
/// Header of a failure that says at which stage it came up.
pub const STAGE_HEADER: &str = "stagedeck-stage";
/// Value of [`STAGE_HEADER`]: before admission to a pool.
pub const STAGE_ADMISSION: &str = "admission";
/// Value of [`STAGE_HEADER`]: after admission to a pool.
pub const STAGE_DISPATCH: &str = "dispatch";
/// Header of an answer to a relayed request that proves who gave it.
pub const PROOF_HEADER: &str = "stagedeck-relay-proof";
/// Connections to one other host.
pub const RELAY_CONNECTIONS: u32 = 1_024;

/// What the other host is asked to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Admit it to a pool and send it to an upstream.
    Admit {
        /// The pool.
        pool: PoolKey,
        /// Limits that it comes under.
        limits: Vec<LimitKey>,
        /// Priority of its service.
        priority: u8,
        /// Whether the pool's owner could not be reached.
        owner_unreachable: bool,
        /// Whether it is the second try at a request that is late.
        hedge: bool,
        /// How many more hosts may pass it on.
        hops: u8,
    },
    /// Run it under a ticket that the other host issued.
    Ticketed,
}

/// What a relayed request carries besides itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayHead {
    /// The request.
    pub id: RequestId,
    /// The host that passes it on.
    pub from: HostName,
    /// Revision that it was steered by.
    pub revision: Revision,
    /// The caller's address.
    pub caller: IpAddr,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What to do.
    pub purpose: Purpose,
}

/// Why a relay header is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RelayError {
    /// It can't be read.
    #[display("the relay header can't be read")]
    Unreadable,
    /// It is not under the shared key.
    #[display("the relay header is not by a host of this deployment")]
    Forged,
}

impl RelayHead {
    /// The header's value.
    pub fn sign(&self, key: &[u8]) -> String {
        let body = serde_json::to_vec(self).expect("relay headers are valid JSON");
        let mac = mac(key, &body).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(body),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Reads a header's value.
    pub fn verify(text: &str, key: &[u8]) -> Result<RelayHead, RelayError> {
        let (body, tag) = text.split_once('.').ok_or(RelayError::Unreadable)?;
        let decode = |part: &str| {
            URL_SAFE_NO_PAD
                .decode(part)
                .map_err(|_| RelayError::Unreadable)
        };
        let body = decode(body)?;
        mac(key, &body)
            .verify_slice(&decode(tag)?)
            .map_err(|_| RelayError::Forged)?;
        serde_json::from_slice(&body).map_err(|_| RelayError::Unreadable)
    }
}

/// What a host of this deployment answers a relayed request with, in [`PROOF_HEADER`].
///
/// The address of a host that vanished may be another's by now; whoever listens
/// there does not know the key.
pub fn prove(key: &[u8], id: &str) -> String {
    URL_SAFE_NO_PAD.encode(answer_mac(key, id).finalize().into_bytes())
}

/// Whether a proof is that of this request.
pub fn is_proven(key: &[u8], id: &str, proof: &str) -> bool {
    let proof = URL_SAFE_NO_PAD.decode(proof).unwrap_or_default();
    answer_mac(key, id).verify_slice(&proof).is_ok()
}

fn answer_mac(key: &[u8], id: &str) -> Hmac<Sha256> {
    let mut mac = mac(key, b"answer\0");
    mac.update(id.as_bytes());
    mac
}

fn mac(key: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is taken");
    mac.update(body);
    mac
}
