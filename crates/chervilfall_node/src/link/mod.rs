//! Links from followers to the holder: one WebSocket each, with CBOR messages.

mod follower;
mod frames;
mod holder;
mod message;
mod octets;
mod pieces;
mod relay;
mod teller;

pub(crate) use follower::{dial, DialError, HolderLink};
pub(crate) use holder::{accept_links, FollowerLink};
pub(crate) use message::ToFollower;
pub(crate) use teller::ConfigurationSource;
