//! Messages between hosts over capnp-rpc, and connections that one host relays for another.
//!
//! A connecting host proves that it has the deployment's shared key before it gets a session.
//! Every call has a deadline and every message a maximum size. An invalid message is answered
//! with an error and changes nothing.

mod client;
mod codec;
mod messages;
mod names;
pub mod relay;
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
    EncodedUpdate, Exchange, ExchangeReply, FeedState, HeartbeatMessage, LocalHost, StateCursor,
    StateError, StateQuery,
};
pub use names::{ServiceId, ServiceNames, service_id};
pub use server::{PeerHandler, PeerServer};
pub use traffic::PeerTraffic;
pub use transit::{ReceiptTimes, ReplyTimes};

use std::time::{Duration, Instant};

use capnp::message::ReaderOptions;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Maximum size of a message, in words of 8 bytes; enough for a snapshot of 1.7 million blocks.
const MAX_MESSAGE_WORDS: usize = 64 << 20;
/// Maximum number of history entries in one answer.
pub const ENTRIES_LIMIT: usize = 128;
/// Maximum length of each list of loads, summaries or host names in a message.
const MAX_LIST_LENGTH: u32 = 16_384;
const MAX_NESTING: i32 = 16;
const NONCE_BYTES: usize = 32;

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options.nesting_limit(MAX_NESTING);
    options
}

/// Converts an age to whole milliseconds, rounded up; at most `u32::MAX`, about 49 days.
fn age_ms(age: Duration) -> u32 {
    age.as_micros()
        .div_ceil(1_000)
        .try_into()
        .unwrap_or(u32::MAX)
}

/// Returns the instant `age` before `now`. If the clock can't represent an instant that early,
/// halves `age` until it can.
fn instant_before(now: Instant, age: Duration) -> Instant {
    let mut age = age;
    loop {
        match now.checked_sub(age) {
            Some(at) => return at,
            None => age /= 2,
        }
    }
}

/// Returns the HMAC by which a connecting host proves that it has the shared key.
fn session_tag(key: &[u8], nonce: &[u8], host: &str, incarnation: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(&(nonce.len() as u64).to_be_bytes());
    mac.update(nonce);
    mac.update(&incarnation.to_be_bytes());
    mac.update(host.as_bytes());
    mac
}
