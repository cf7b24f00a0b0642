//! Messages between entry instances.

mod attempt;
mod message;
mod request;
mod summary;

pub use attempt::{AttemptEnd, AttemptSpec, AttemptState, GangPlacement, Placement, Requester};
pub use message::PeerMessage;
pub use request::{ClaimAnswer, Fetched, RequestDigest};
pub use summary::{Ownership, PeerAddress, ShardClaim, Summary};
