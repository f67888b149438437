//! Connections to upstreams that one host relays for another.
//!
//! The requesting host connects to the relaying one, and both prove that they have the shared key.
//! Afterwards the connection carries the bytes to the upstream unchanged, and those from the
//! upstream in frames, so that an answer that ends with its connection can be told from one that
//! was lost with the relaying host.

mod frames;
mod handshake;

pub use frames::{OnRelease, RelayedStream, copy_to_frames};
pub use handshake::{
    RelayError, RelayOffer, RelayRequest, RelayStatus, receive_request, request_relay,
};
