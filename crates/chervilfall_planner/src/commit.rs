//! Group commits: the changes since the previous commit, conditional on the claim still holding.

use crate::ids::{Millis, RowVersion};

/// Table and key of a row. The prefix of the group is added where the row is written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RowKey {
    /// Table.
    pub table: &'static str,
    /// Key in the table.
    pub key: String,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowChange {
    /// Writes the row.
    Put(RowKey, Vec<u8>),
    /// Deletes the row.
    Remove(RowKey),
}

/// Row changes that are applied atomically. Every batch also writes the claim row, so a batch that
/// is applied late or sent twice fails its condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch, which is also written to the claim row.
    pub number: u64,
    /// Index of this copy of the batch, from 0.
    pub copy: usize,
    /// Version that the claim row must have.
    pub expected: RowVersion,
    /// The row changes, including that of the claim row.
    pub changes: Vec<RowChange>,
    /// How long to wait for the answer to this copy.
    pub timeout_ms: Millis,
}

/// Outcome of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The batch is stored.
    Stored {
        /// New version of the claim row.
        version: RowVersion,
        /// The store's monotonic clock at the time of its answer.
        store_ms: Millis,
    },
    /// The claim row has another version; contains the row if it exists.
    Conflict(Option<(RowVersion, Vec<u8>)>),
    /// The batch was certainly not applied.
    NotDone,
    /// The batch may have been applied, or may still be applied later.
    Unknown,
}

impl CommitOutcome {
    /// Returns the label used in logs.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Stored { .. } => "stored",
            Self::Conflict(_) => "conflict",
            Self::NotDone => "not done",
            Self::Unknown => "unknown",
        }
    }
}
