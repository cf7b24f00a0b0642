//! Values of the rows that a planner keeps, as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account::AccountName;
use crate::action::JobState;
use crate::config::{Queue, QueueName};
use crate::ids::{EndpointId, Millis, Run, UnixMillis};
use crate::job::JobSpec;
use crate::policy::crashes::Exposure;

/// Table of accepted jobs, by name.
pub const JOBS: &str = "jobs";
/// Table of the texts that their starts carry, by name. They are long, and a new holder needs them only once it starts
/// tasks.
pub const TEXTS: &str = "texts";
/// Table of what became of open jobs, by name.
pub const PROGRESS: &str = "progress";
/// Table of jobs that have ended, by name, kept for their callers' questions.
pub const ENDED: &str = "ended";
/// Table of the claim.
pub const CLAIMS: &str = "claims";
/// Key of the claim row.
pub const HOLDER: &str = "holder";
/// Table of endpoints that may hold leases, by bucket.
pub const ROSTER: &str = "roster";

/// Buckets of the roster. An entry takes 80 bytes, so that a row holds 800 of the 65,536 bytes that the
/// store takes: enough for 50,000 endpoints, and one endpoint's change rewrites 3 KB of 2,500 endpoints.
const ROSTER_BUCKETS: u64 = 64;
/// First value and factor of the FNV-1a hash, which is the same in all versions of this program.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A part of the roster that stands in one row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RosterBucket(u64);

impl RosterBucket {
    /// Returns the bucket that an endpoint belongs to.
    pub(crate) fn of(id: &EndpointId) -> Self {
        let hash = id.0.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        Self(hash % ROSTER_BUCKETS)
    }

    /// Returns the key of its row.
    pub(crate) fn key(self) -> String {
        format!("{:02}", self.0)
    }
}

/// A row that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row is not what this version writes: {0}")]
pub struct RecordError(String);

/// An accepted job, without the text that its starts carry. Rows of earlier versions hold the text too.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Queue as it was when the job was accepted; it outlives the queue's removal.
    pub queue: Queue,
    /// The job.
    pub spec: JobSpec,
    /// Time of day of acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Client account that handed it in; none if none was needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// It was handed in beyond the account's share.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub beyond: bool,
}

/// Progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Indices of tasks that are done, as ranges `(first, count)`.
    pub done: Vec<(u32, u32)>,
    /// Failed runs by task; of a gang they stand under index 0.
    pub failed: Vec<(u32, Vec<Run>)>,
    /// Runs by task that may have brought down their endpoints.
    #[serde(default)]
    pub(crate) exposures: Vec<(u32, Vec<Exposure>)>,
}

/// What became of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// The caller has cancelled it.
    pub cancelled: bool,
    /// It was cancelled before it came: the row keeps it from running if it still does.
    #[serde(default)]
    pub awaited: bool,
    /// Set once nothing more can come.
    pub outcome: Option<JobState>,
    /// A task has started.
    pub started: bool,
    /// Steps that something is known of.
    pub steps: Vec<StepRow>,
    /// Whose it is, in rows of jobs that have ended; none if no account was needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// Whose a job is that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Client account that handed it in.
    pub account: AccountName,
    /// Queue that it was handed in to.
    pub queue: QueueName,
}

/// An endpoint that may hold a lease of this group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name.
    pub id: EndpointId,
    /// When the incarnation that holds them was started; none in rows of earlier versions and where endpoints do not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<UnixMillis>,
    /// Address.
    pub address: String,
    /// Set if the endpoint is silent: no lease reaches beyond this time by the store's clock, and none is
    /// granted before a later roster without this.
    #[serde(default)]
    pub lapses_store_ms: Option<Millis>,
}

/// Encodes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    // A Vec takes any number of bytes and the types above have no form that CBOR lacks.
    ciborium::into_writer(value, &mut bytes).expect("plain records have a CBOR form");
    bytes
}

/// Decodes a value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError(error.to_string()))
}

/// Packs ascending indices into ranges.
pub(crate) fn ranges(indices: impl Iterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for index in indices {
        match ranges.last_mut() {
            Some((first, count)) if *first + *count == index => *count += 1,
            _ => ranges.push((index, 1)),
        }
    }
    ranges
}

impl JobRow {
    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an accepted job.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// Reads the value of a row that holds a job's text.
///
/// # Errors
///
/// Returns an error if the value is no text.
pub fn decode_text(bytes: &[u8]) -> Result<String, RecordError> {
    decode(bytes)
}

impl ProgressRow {
    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a job's progress.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

impl RosterEntry {
    /// Reads the value of a row of the roster.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a roster.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Self>, RecordError> {
        decode(bytes)
    }
}
