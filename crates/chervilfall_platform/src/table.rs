//! The transactional table.

use serde::{Deserialize, Serialize};

/// Key of a row; rows are ordered by it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(pub String);

/// Version of a row: 0 while it does not exist, then one more with each write.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: RowKey,
    /// Its version.
    pub version: RowVersion,
    /// Its content.
    pub value: String,
}

/// Asks that a row has a version when the transaction commits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row.
    pub key: RowKey,
    /// The version that it must have.
    pub version: RowVersion,
}

/// Writes or deletes a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: RowKey,
    /// Its new content; absent to delete it.
    pub value: Option<String>,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// All are carried out.
    pub writes: Vec<Write>,
}

/// A condition that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The row.
    pub key: RowKey,
    /// The version that it has.
    pub version: RowVersion,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TransactionAnswer {
    /// Conditions that did not hold; if there are any, nothing was written.
    pub conflicts: Vec<Conflict>,
}

/// Asks for rows by prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
}
