//! What goes over a link.

use chervilfall_auth::Nonce;
use chervilfall_types::{EntryIncarnation, RemoteInstant};
use chervilfall_wire::PeerMessage;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Version of the protocol between entry instances; links of another version are refused.
pub const LINK_VERSION: u32 = 1;

/// First frame of either side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    pub(crate) version: u32,
    pub(crate) from: EntryIncarnation,
    pub(crate) nonce: Nonce,
}

/// Second frame of either side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Prove {
    pub(crate) proof: Vec<u8>,
}

/// Every further frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Frame {
    /// The sender is alive, and its clock stands here.
    Heartbeat(RemoteInstant),
    /// A message.
    Message(Box<PeerMessage>),
}

/// Returns the CBOR bytes of a frame.
pub(crate) fn encode<T: Serialize>(frame: &T) -> anyhow::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(frame, &mut bytes)?;
    Ok(bytes)
}

/// Returns the frame in CBOR bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> anyhow::Result<T> {
    Ok(ciborium::from_reader(bytes)?)
}
