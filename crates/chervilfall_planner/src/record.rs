//! Values of the rows that a planner stores, encoded as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::account::AccountName;
use crate::action::JobState;
use crate::config::{Queue, QueueName};
use crate::ids::{EndpointId, Millis, Run, UnixMillis};
use crate::job::JobSpec;
use crate::policy::crashes::Exposure;
use crate::resources::Resources;

/// Table of accepted jobs, by job.
pub const JOBS: &str = "jobs";
/// Table of the long texts that are passed with starts, by job. A new holder needs them only once it
/// starts tasks.
pub const TEXTS: &str = "texts";
/// Table of the progress of open jobs, by job, and by part if one row does not hold it.
pub const PROGRESS: &str = "progress";
/// Table of ended jobs, by job, kept so that callers can still ask for their state.
pub const ENDED: &str = "ended";
/// Table of the claim.
pub const CLAIMS: &str = "claims";
/// Key of the claim row.
pub const HOLDER: &str = "holder";
/// Table of endpoints that may hold leases, by bucket.
pub const ROSTER: &str = "roster";

/// Size of an entry of a row of progress, in bytes, at most: the largest names an endpoint.
const MAX_ENTRY_BYTES: usize = 400;
/// Number of roster buckets. An entry takes up to 200 bytes beside the name of its endpoint. With 2,500
/// endpoints, a change of one endpoint rewrites some 6 KB.
const ROSTER_BUCKETS: u64 = 64;
/// Offset basis and prime of the FNV-1a hash, which must be the same in all versions of the
/// program.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A part of the roster that is stored in one row.
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

/// Error for a row that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row is not what this version writes: {0}")]
pub struct RecordError(String);

/// An accepted job, with the text passed with its starts if that is short. If the text here is
/// empty, it has a row of its own.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The queue's settings when the job was accepted; they outlive the removal of the queue.
    pub queue: Queue,
    /// The job.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Client account that submitted it; none if none was required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// It was submitted in excess of the account's share.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub beyond: bool,
}

/// Progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u16,
    /// Indices of tasks that are done, as ranges `(first, count)`.
    pub done: Vec<(u32, u32)>,
    /// Failed runs by task; those of a gang are recorded under index 0.
    pub failed: Vec<(u32, Vec<Run>)>,
    /// Runs by task that may have crashed their endpoints.
    #[serde(default)]
    pub(crate) exposures: Vec<(u32, Vec<Exposure>)>,
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRow {
    /// The caller has cancelled it.
    pub cancelled: bool,
    /// It was cancelled before it was submitted; the row keeps it from running if it is submitted
    /// later.
    #[serde(default)]
    pub awaited: bool,
    /// Final state, once it has one.
    pub outcome: Option<JobState>,
    /// A task has started.
    pub started: bool,
    /// Occurrences that are complete and not among `steps`, as ranges of a first one and a number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub complete: Vec<(u32, u32)>,
    /// Steps with recorded progress.
    pub steps: Vec<StepRow>,
    /// Owner, in rows of ended jobs; none if no account was required.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Owner>,
}

/// Owner of an ended job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Client account that submitted it.
    pub account: AccountName,
    /// Queue to which it was submitted.
    pub queue: QueueName,
}

/// An endpoint that may hold a lease of this group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Name.
    pub id: EndpointId,
    /// When the incarnation that may hold the lease started; none in rows of earlier versions and
    /// if endpoints do not report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born_ms: Option<UnixMillis>,
    /// Address.
    pub address: String,
    /// Set if the endpoint is silent: no lease extends beyond this time by the store's clock, and
    /// none is granted until a later roster without this is stored.
    #[serde(default)]
    pub lapses_store_ms: Option<Millis>,
    /// Upper limit on the resources that runs reserve there; none in rows of earlier versions and
    /// if an earlier holder may have reserved more than is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Resources>,
    /// Stale leases that it may hold; none if all orders to earlier incarnations are settled.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_leases: Option<StaleLeases>,
}

/// Leases of an incarnation that come from orders to the one before. These name a time on the clock of
/// that one, so only the longest lease that endpoints accept limits them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StaleLeases {
    /// Such orders may still arrive: it has not answered with a token that refuses them.
    Arriving,
    /// None lasts beyond this time on its clock.
    Until(Millis),
}

/// Encodes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    // Writing to a Vec cannot fail, and CBOR can represent all of the types above.
    ciborium::into_writer(value, &mut bytes).expect("plain records have a CBOR form");
    bytes
}

/// Decodes a value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError(error.to_string()))
}

/// Packs ascending indices into ranges `(first, count)`.
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
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not an accepted job.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// Decodes a row that holds a job's text.
///
/// # Errors
///
/// Returns an error if the value is not a text.
pub fn decode_text(bytes: &[u8]) -> Result<String, RecordError> {
    decode(bytes)
}

impl ProgressRow {
    /// Returns a number of bytes that the encoded row does not exceed, from the number of its entries.
    pub(crate) fn max_bytes(&self) -> usize {
        let entries = self.steps.iter().map(|step| {
            let failed = step.failed.iter().map(|(_, runs)| 1 + runs.len());
            let exposures = step
                .exposures
                .iter()
                .map(|(_, exposures)| 1 + exposures.len());
            1 + step.done.len() + failed.sum::<usize>() + exposures.sum::<usize>()
        });
        MAX_ENTRY_BYTES * (1 + self.complete.len() + entries.sum::<usize>())
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a job's progress.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

impl RosterEntry {
    /// Decodes a row of the roster.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a list of roster entries.
    pub fn decode_all(bytes: &[u8]) -> Result<Vec<Self>, RecordError> {
        decode(bytes)
    }
}
