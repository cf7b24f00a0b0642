//! Multiplexed, authenticated links between entry instances.
//!
//! Each pair of instances shares one WebSocket connection: the instance with the lower number
//! dials. Frames are CBOR. A handshake checks the protocol version and that both sides know the
//! shared secret; heartbeats carry each side's clock and show that the link is alive.

mod connection;
mod frame;
mod handshake;
mod hub;

pub use frame::LINK_VERSION;
pub use hub::{Clock, LinkError, LinkEvent, LinkHub, LinkNumber, LinkSettings, SendOutcome, Sink};
