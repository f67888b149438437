//! Messages between hosts over capnp-rpc.
//!
//! A caller proves the deployment's shared key before it gets a session. Every
//! call has a deadline, every message a bound, and a peer that speaks nonsense
//! is answered with an error and changes nothing.

mod client;
mod codec;
mod messages;
mod names;
mod server;
mod traffic;
mod transit;

/// Generated from `schema/peer.capnp` by `capnp compile -orust`.
#[allow(
    missing_docs,
    unused_qualifications,
    clippy::all,
    clippy::pedantic,
    unreachable_pub
)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
mod peer_capnp;

pub use client::{PeerClient, PeerError, fetch_feed_state};
pub use messages::{
    EncodedUpdate, Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateQuery,
};
pub use names::{ServiceId, ServiceNames, service_id};
pub use server::{PeerHandler, PeerServer};
pub use traffic::PeerTraffic;
pub use transit::{ReceiptTimes, ReplyTimes};

use std::time::{Duration, Instant};

use capnp::message::ReaderOptions;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Largest message, in words of 8 bytes: a snapshot of 1.7 million blocks fits.
const MESSAGE_LIMIT_WORDS: usize = 64 << 20;
/// Most entries in one answer.
pub const ENTRIES_LIMIT: usize = 128;
/// Most loads, summaries or doubts in one message.
const LIST_LIMIT: u32 = 16_384;
const NESTING_LIMIT: i32 = 16;
const NONCE_BYTES: usize = 32;

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_LIMIT_WORDS));
    options.nesting_limit(NESTING_LIMIT);
    options
}

/// An age in whole milliseconds, rounded up; more than 49 days are told as that.
fn millis(age: Duration) -> u32 {
    age.as_micros()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u32::MAX)
}

/// The moment so long before another; the earliest that the clock knows where it reaches no
/// further back.
fn before(now: Instant, age: Duration) -> Instant {
    let mut age = age;
    loop {
        match now.checked_sub(age) {
            Some(at) => return at,
            None => age /= 2,
        }
    }
}

/// The proof that a caller holds the shared key.
fn tag(key: &[u8], nonce: &[u8], host: &str, incarnation: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length is taken");
    mac.update(&(nonce.len() as u64).to_be_bytes());
    mac.update(nonce);
    mac.update(&incarnation.to_be_bytes());
    mac.update(host.as_bytes());
    mac
}
