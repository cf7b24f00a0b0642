//! Claims, acceptance and look-ups of requests.

use chervilfall_types::{Answer, EntryIncarnation, ExplainEvent, Reason, RequestKey};
use serde::{Deserialize, Serialize};

/// Hash of a request's content; tells a repeat from another request under the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

/// Answer to the claim of a key for a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The key was free and is now claimed durably.
    Granted,
    /// The key was claimed before; the outcome, once recorded.
    Taken {
        /// The incarnation that claimed it.
        by: EntryIncarnation,
        /// The first outcome, if it has been recorded.
        answer: Option<Box<Answer>>,
    },
    /// The key can't be claimed now, and was not.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// What an entry instance knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetched {
    /// Key that was asked for.
    pub key: RequestKey,
    /// The answer as it stands; absent if the key is not known there.
    pub answer: Option<Box<Answer>>,
    /// Whether the sender would know if the request had been taken through any instance: it holds
    /// the shard of the key, or took the one execution that the key means there.
    pub authoritative: bool,
    /// What happened to the request there, in order.
    pub history: Vec<ExplainEvent>,
}
