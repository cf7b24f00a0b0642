//! Counts the bytes of bodies that are sent and received, by what they are for.

use bytes::Bytes;
use reqwest::Response;
use serde::Serialize;

/// Whom a call is for, in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Party {
    Agent,
    Platform,
}

impl Party {
    const fn name(self) -> &'static str {
        match self {
            Self::Agent => "agent",
            Self::Platform => "platform",
        }
    }
}

/// Returns the JSON of a body.
pub(crate) fn encode<T: Serialize>(party: Party, body: &T) -> Result<Vec<u8>, serde_json::Error> {
    let bytes = serde_json::to_vec(body)?;
    count(party, "sent", bytes.len());
    Ok(bytes)
}

/// Reads the body of a response.
pub(crate) async fn receive(party: Party, response: Response) -> Result<Bytes, reqwest::Error> {
    let bytes = response.bytes().await?;
    count(party, "received", bytes.len());
    Ok(bytes)
}

fn count(party: Party, direction: &'static str, bytes: usize) {
    metrics::counter!(
        "chervilfall_http_bytes_total",
        "party" => party.name(),
        "direction" => direction
    )
    .increment(bytes as u64);
}
