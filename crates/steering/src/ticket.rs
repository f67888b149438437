//! Tickets for work that may not be repeated.
//!
//! A ticket names the one host incarnation that may run it and its lapse, under
//! an HMAC whose key lives and dies with that incarnation.

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
const TEXT_LIMIT_BYTES: usize = 1_024;

/// What a ticket says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Identity of the work, drawn at random.
    pub id: ClaimId,
    /// Host that issued it.
    pub host: HostName,
    /// Start of that host.
    pub incarnation: Incarnation,
    /// Service that it is for.
    pub service: ServiceName,
    /// How its work is kept from running twice.
    pub mode: TicketMode,
    /// Lapse in milliseconds since the start of the issuing host, by its monotonic clock.
    pub lapse_ms: u64,
}

/// Why a ticket is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TicketError {
    /// It can't be read.
    #[display("the ticket can't be read")]
    Unreadable,
    /// Its HMAC is not by this incarnation's key.
    #[display("the ticket was not issued here")]
    Forged,
    /// Its time is over.
    #[display("the ticket has lapsed")]
    Lapsed,
    /// It is for another service.
    #[display("the ticket is for another service")]
    OtherService,
}

/// Issues and verifies tickets of one incarnation.
pub struct Issuer {
    host: HostName,
    incarnation: Incarnation,
    key: [u8; MAC_BYTES],
}

impl Issuer {
    /// An issuer with a new key.
    pub fn new(host: HostName, incarnation: Incarnation, rng: &mut dyn RngCore) -> Self {
        let mut key = [0; MAC_BYTES];
        rng.fill_bytes(&mut key);
        Issuer {
            host,
            incarnation,
            key,
        }
    }

    /// A ticket that lapses at `lapse` after the start of the host, as text.
    pub fn issue(
        &self,
        service: &str,
        mode: TicketMode,
        lapse: Duration,
        rng: &mut dyn RngCore,
    ) -> String {
        let ticket = Ticket {
            id: format!("{:032x}", rng.random::<u128>()),
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: service.to_owned(),
            mode,
            lapse_ms: lapse.as_millis() as u64,
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

    /// Verifies a ticket's text, `now` after the start of this host.
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
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any key length is taken");
        mac.update(body);
        mac
    }
}

/// Reads a ticket without verifying it, to find the host that can.
pub fn read(text: &str) -> Result<Ticket, TicketError> {
    let (body, _) = split(text)?;
    decode(&body)
}

fn split(text: &str) -> Result<(Vec<u8>, Vec<u8>), TicketError> {
    if text.len() > TEXT_LIMIT_BYTES {
        return Err(TicketError::Unreadable);
    }
    let (body, mac) = text.split_once('.').ok_or(TicketError::Unreadable)?;
    let decode = |part: &str| {
        URL_SAFE_NO_PAD
            .decode(part)
            .map_err(|_| TicketError::Unreadable)
    };
    Ok((decode(body)?, decode(mac)?))
}

fn decode(body: &[u8]) -> Result<Ticket, TicketError> {
    serde_json::from_slice(body).map_err(|_| TicketError::Unreadable)
}
