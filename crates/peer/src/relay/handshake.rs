//! How a relay is requested, and the proofs of both hosts.

use std::io;

use derive_more::{Display, Error, From};
use hmac::{Hmac, Mac};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use steering::ids::{HostName, ServiceName};
use steering::route::UpstreamId;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use super::frames::RelayedStream;
use crate::NONCE_BYTES;

/// Largest encoded request, in bytes.
const MAX_REQUEST_BYTES: usize = 2_048;
const TAG_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// A request to relay a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The host that requests the relay.
    pub from: HostName,
    /// The host that is to relay.
    pub to: HostName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream to connect to.
    pub upstream: UpstreamId,
    /// Whether the request only asks if the upstream can be reached. The connection is closed after
    /// the answer.
    #[serde(default)]
    pub is_check: bool,
    /// Whether the requesting host understands the request to release the connection.
    #[serde(default)]
    pub accepts_release: bool,
}

/// A request with the nonce that its answer must be signed with.
#[derive(Serialize, Deserialize)]
struct SignedRequest {
    nonce: Nonce,
    request: RelayRequest,
}

/// Answer to a request for a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[repr(u8)]
pub enum RelayStatus {
    /// The connection to the upstream is open; bytes follow.
    #[display("open")]
    Open = 0,
    /// The upstream's address refuses connections.
    #[display("the upstream refuses connections")]
    UpstreamRefuses = 1,
    /// The relaying host can't reach the upstream.
    #[display("the upstream can't be reached")]
    UpstreamUnreachable = 2,
    /// The relaying host knows no such upstream that may get requests.
    #[display("the upstream is not known")]
    UpstreamUnknown = 3,
    /// The host does not relay now: it is leaving, or is itself cut off from the upstream's zone.
    #[display("the host does not relay now")]
    Unavailable = 4,
    /// The host relays as many connections for the requesting one as it can. Says nothing about the
    /// upstream.
    #[display("the host relays as many connections as it can")]
    Full = 5,
    /// The upstream accepts connections and does not answer on a new one, as if it were full. Only
    /// in answers to checks.
    #[display("the upstream does not answer")]
    UpstreamSilent = 6,
}

impl RelayStatus {
    const ALL: [RelayStatus; 7] = [
        RelayStatus::Open,
        RelayStatus::UpstreamRefuses,
        RelayStatus::UpstreamUnreachable,
        RelayStatus::UpstreamUnknown,
        RelayStatus::Unavailable,
        RelayStatus::Full,
        RelayStatus::UpstreamSilent,
    ];

    fn from_byte(byte: u8) -> Option<RelayStatus> {
        RelayStatus::ALL
            .into_iter()
            .find(|status| *status as u8 == byte)
    }
}

/// Why no relay was negotiated.
#[derive(Debug, Display, Error, From)]
pub enum RelayError {
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The other side does not have the shared key, or the request is meant for another host.
    #[display("the other side is no host of this deployment")]
    #[from(skip)]
    Forged,
    /// This host does not know the shared key yet.
    #[display("the shared key is not known yet")]
    #[from(skip)]
    NoKey,
    /// The message can't be parsed.
    #[display("the message can't be read")]
    #[from(skip)]
    Unreadable,
}

/// Requests a relay over a new connection to `request.to`. Returns the status, and the stream if it
/// is [`RelayStatus::Open`].
///
/// # Errors
///
/// Returns [`RelayError`] if there is no valid answer.
pub async fn request_relay<S>(
    mut stream: S,
    key: &[u8],
    request: &RelayRequest,
) -> Result<(RelayStatus, Option<RelayedStream<S>>), RelayError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut challenge: Nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut challenge).await?;
    let mut nonce: Nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    let signed = SignedRequest {
        nonce,
        request: request.clone(),
    };
    let body = serde_json::to_vec(&signed).expect("requests are valid JSON");
    let length = u16::try_from(body.len()).map_err(|_| RelayError::Unreadable)?;
    let tag = request_tag(key, &challenge, &body).finalize().into_bytes();
    let message = [&length.to_be_bytes()[..], &body, &tag].concat();
    stream.write_all(&message).await?;
    let mut answer = [0; 1 + TAG_BYTES];
    stream.read_exact(&mut answer).await?;
    let [status, tag @ ..] = answer;
    answer_tag(key, &nonce, status)
        .verify_slice(&tag)
        .map_err(|_| RelayError::Forged)?;
    let status = RelayStatus::from_byte(status).ok_or(RelayError::Unreadable)?;
    let relayed = (status == RelayStatus::Open).then(|| RelayedStream::new(stream));
    Ok((status, relayed))
}

/// A request for a relay that is waiting for its answer.
pub struct RelayOffer<S> {
    /// The request, which was signed with the shared key.
    pub request: RelayRequest,
    stream: S,
    nonce: Nonce,
}

impl<S: AsyncWrite + Unpin> RelayOffer<S> {
    /// Answers the request, and returns the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection.
    pub async fn answer(mut self, key: &[u8], status: RelayStatus) -> io::Result<S> {
        let byte = status as u8;
        let tag = answer_tag(key, &self.nonce, byte).finalize().into_bytes();
        let message = [&[byte][..], &tag].concat();
        self.stream.write_all(&message).await?;
        Ok(self.stream)
    }
}

/// Receives a request for a relay that is meant for the host `own_name`.
///
/// # Errors
///
/// Returns [`RelayError`] if there is no valid request.
pub async fn receive_request<S>(
    mut stream: S,
    key: &[u8],
    own_name: &str,
) -> Result<RelayOffer<S>, RelayError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut challenge: Nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut challenge);
    stream.write_all(&challenge).await?;
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_REQUEST_BYTES {
        return Err(RelayError::Unreadable);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let mut tag = [0; TAG_BYTES];
    stream.read_exact(&mut tag).await?;
    request_tag(key, &challenge, &body)
        .verify_slice(&tag)
        .map_err(|_| RelayError::Forged)?;
    let SignedRequest { nonce, request } =
        serde_json::from_slice(&body).map_err(|_| RelayError::Unreadable)?;
    if request.to != own_name {
        return Err(RelayError::Forged);
    }
    Ok(RelayOffer {
        request,
        stream,
        nonce,
    })
}

fn request_tag(key: &[u8], challenge: &Nonce, body: &[u8]) -> Hmac<Sha256> {
    tag(key, b"relay request\0", challenge, body)
}

fn answer_tag(key: &[u8], nonce: &Nonce, status: u8) -> Hmac<Sha256> {
    tag(key, b"relay answer\0", nonce, &[status])
}

fn tag(key: &[u8], purpose: &[u8], nonce: &Nonce, body: &[u8]) -> Hmac<Sha256> {
    let mut tag = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    for part in [purpose, nonce, body] {
        tag.update(part);
    }
    tag
}
