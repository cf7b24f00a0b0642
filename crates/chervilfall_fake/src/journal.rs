//! What endpoints record of the attempts that they started and ended: the ground truth of every
//! proof.

use chervilfall_agent::AgentOutcome;
use chervilfall_types::{AttemptKey, EndpointName, Resources};
use serde::{Deserialize, Serialize};

/// What happened to an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalKind {
    /// It started.
    Started {
        /// What the endpoint's attempts held right after, this one included.
        reserved: Resources,
        /// What the endpoint can carry.
        capacity: Resources,
        /// Whether the endpoint was leaving.
        leaving: bool,
    },
    /// It ended.
    Ended(AgentOutcome),
}

/// One line of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Time since the epoch of the system's clock, in microseconds.
    pub at_us: u64,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The attempt.
    pub attempt: AttemptKey,
    /// What happened.
    pub kind: JournalKind,
}
