//! Tickets for non-idempotent requests.
//!
//! A ticket names the only host incarnation that may run its request and an expiry
//! time. It is signed with an HMAC whose key exists only in that incarnation's memory.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use derive_more::{Display, Error};
use hmac::{Hmac, Mac};
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::document::TicketMode;
use crate::ids::{ClaimId, HostName, Incarnation, ServiceName};

const MAC_BYTES: usize = 32;
/// Maximum length of a ticket's text; a longer text is refused without decoding.
const TEXT_LIMIT_BYTES: usize = 1_024;

/// The content of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Random identity of the ticket, under which its request is deduplicated.
    pub id: ClaimId,
    /// Host that issued the ticket.
    pub host: HostName,
    /// Incarnation of that host.
    pub incarnation: Incarnation,
    /// The only service that the ticket is valid for.
    pub service: ServiceName,
    /// How the request is kept from running twice.
    pub mode: TicketMode,
    /// Expiry in milliseconds since the start of the issuing host, by its monotonic clock.
    pub lapse_ms: u64,
}

/// Why a ticket is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TicketError {
    /// The text is not a well-formed ticket.
    #[display("the ticket can't be read")]
    Unreadable,
    /// The HMAC was not made with this incarnation's key.
    #[display("the ticket was not issued here")]
    Forged,
    /// The ticket has expired.
    #[display("the ticket has lapsed")]
    Lapsed,
    /// The ticket was issued for another service.
    #[display("the ticket is for another service")]
    OtherService,
}

/// Issues and verifies the tickets of one incarnation of a host.
pub struct Issuer {
    host: HostName,
    incarnation: Incarnation,
    key: [u8; MAC_BYTES],
}

impl Issuer {
    /// Creates an issuer with a random key.
    pub fn new(host: HostName, incarnation: Incarnation, rng: &mut dyn RngCore) -> Self {
        let mut key = [0; MAC_BYTES];
        rng.fill_bytes(&mut key);
        Issuer {
            host,
            incarnation,
            key,
        }
    }

    /// Issues a ticket and returns its text.
    ///
    /// `expiry` is the time since the start of the host.
    pub fn issue(
        &self,
        service: &str,
        mode: TicketMode,
        expiry: Duration,
        rng: &mut dyn RngCore,
    ) -> String {
        let ticket = Ticket {
            id: format!("{:032x}", rng.random::<u128>()),
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: service.to_owned(),
            mode,
            lapse_ms: expiry.as_millis() as u64,
        };
        let body = serde_json::to_vec(&ticket).expect("a ticket is always valid JSON");
        let mac = self.mac(&body).finalize().into_bytes();
        format!(
            "{}.{}",
            URL_SAFE_NO_PAD.encode(body),
            URL_SAFE_NO_PAD.encode(mac)
        )
    }

    /// Whether this incarnation issued the ticket.
    pub fn issued(&self, ticket: &Ticket) -> bool {
        ticket.host == self.host && ticket.incarnation == self.incarnation
    }

    /// Verifies a ticket's signature, service and expiry.
    ///
    /// `now` is the time since the start of this host.
    pub fn verify(&self, text: &str, service: &str, now: Duration) -> Result<Ticket, TicketError> {
        let (body, mac) = split(text)?;
        self.mac(&body)
            .verify_slice(&mac)
            .map_err(|_| TicketError::Forged)?;
        let ticket = decode(&body)?;
        if ticket.service != service {
            return Err(TicketError::OtherService);
        }
        if now.as_millis() as u64 >= ticket.lapse_ms {
            return Err(TicketError::Lapsed);
        }
        Ok(ticket)
    }

    fn mac(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC accepts any key length");
        mac.update(body);
        mac
    }
}

/// Decodes a ticket without verifying it, to find the host that can verify it.
pub fn decode_unverified(text: &str) -> Result<Ticket, TicketError> {
    let (body, _) = split(text)?;
    decode(&body)
}

fn split(text: &str) -> Result<(Vec<u8>, Vec<u8>), TicketError> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(TicketError::Unreadable);
    }
    let (body, mac) = text.split_once('.').ok_or(TicketError::Unreadable)?;
    let decode = |text: &str| {
        URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Unreadable)
    };
    Ok((decode(body)?, decode(mac)?))
}

fn decode(body: &[u8]) -> Result<Ticket, TicketError> {
    serde_json::from_slice(body).map_err(|_| TicketError::Unreadable)
}
