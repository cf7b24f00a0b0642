//! Group commits: what changed since the last one, under the condition that the claim still holds.

use crate::ids::{Millis, RowVersion};

/// Names a row: table and key; the group's part is added where the row is written.
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
    /// Drops the row.
    Remove(RowKey),
}

/// Rows that change together. The claim row moves with every batch, so that a batch which is
/// carried out late, or sent twice, finds its condition broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch; it also stands in the claim row.
    pub number: u64,
    /// Which copy of the batch this is, from 0.
    pub copy: usize,
    /// Version that the claim row must have.
    pub expected: RowVersion,
    /// The rows, the claim row among them.
    pub changes: Vec<RowChange>,
    /// How long to wait for an answer to this copy.
    pub timeout_ms: Millis,
}

/// What came of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is stored.
    Stored {
        /// Version that the claim row has now.
        version: RowVersion,
        /// The store's steady clock when it answered.
        store_ms: Millis,
    },
    /// The claim row has another version; holds the row, if there is one.
    Conflict(Option<(RowVersion, Vec<u8>)>),
    /// It was surely not carried out.
    NotDone,
    /// It may have been carried out, or may be later.
    Unknown,
}

impl CommitOutcome {
    /// Returns a word for logs.
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
