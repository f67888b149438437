//! Requests that one host relays to another, authenticated with the deployment's shared key.

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

/// Header of a relayed request: a signed [`RelayHead`].
pub const RELAY_HEADER: &str = "stagedeck-relay";
/// Header of a relay response with the pool's load as JSON.
pub const LOAD_HEADER: &str = "stagedeck-load";
/// Header of a relay response that says at which stage the request failed.
pub const STAGE_HEADER: &str = "stagedeck-stage";
/// Value of [`STAGE_HEADER`]: before admission to a pool.
pub const STAGE_ADMISSION: &str = "admission";
/// Value of [`STAGE_HEADER`]: after admission to a pool.
pub const STAGE_DISPATCH: &str = "dispatch";
/// Header of a relay response that proves that a host of this deployment sent it.
pub const PROOF_HEADER: &str = "stagedeck-relay-proof";
/// Most connections to one other host for relayed requests.
pub const RELAY_CONNECTIONS: u32 = 1_024;

/// What the receiving host is to do with a relayed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purpose {
    /// Admit the request to a pool and send it to an upstream.
    Admit {
        /// Key of the pool.
        pool: PoolKey,
        /// Limits of the receiving zone that apply to the request.
        limits: Vec<LimitKey>,
        /// Priority of the service.
        priority: u8,
        /// Whether the sender could not reach the owner of the pool.
        owner_unreachable: bool,
        /// Whether this is a hedge beside a first attempt without a response so far.
        hedge: bool,
        /// Times that the request may still be relayed again.
        hops: u8,
    },
    /// Run the request under a ticket that the receiving host issued.
    Ticketed,
}

/// Metadata of a relayed request, sent as JSON in [`RELAY_HEADER`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayHead {
    /// Identity of the request, the same on all hosts.
    pub id: RequestId,
    /// The host that relays the request.
    pub from: HostName,
    /// Configuration revision that the sending host applied.
    pub revision: Revision,
    /// Address of the caller, as the first host saw it.
    pub caller: IpAddr,
    /// Time left until the deadline when the request was sent, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// What the receiving host is to do.
    pub purpose: Purpose,
}

/// Why a relay header is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum RelayError {
    /// The header can't be parsed.
    #[display("the relay header can't be read")]
    Unreadable,
    /// The signature does not match the shared key.
    #[display("the relay header is not by a host of this deployment")]
    Forged,
}

impl RelayHead {
    /// The value of the relay header, signed with `key`.
    pub fn sign(&self, key: &[u8]) -> String {
        let body = serde_json::to_vec(self).expect("relay headers are valid JSON");
        let mac = mac(key, &body).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(body),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Parses the value of a relay header and verifies its signature.
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

/// The value of [`PROOF_HEADER`] in the response to the request `id`.
///
/// The address of a host that is gone may belong to another process by now, which does not
/// know the key.
pub fn prove(key: &[u8], id: &str) -> String {
    URL_SAFE_NO_PAD.encode(answer_mac(key, id).finalize().into_bytes())
}

/// Whether `proof` is the value of [`PROOF_HEADER`] for the request `id`.
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
