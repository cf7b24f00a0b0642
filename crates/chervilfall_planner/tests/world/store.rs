//! A simulated store with the tables of one group.

use std::collections::BTreeMap;

use chervilfall_planner::{Batch, CommitOutcome, RowChange};

/// Maximum size of a row's value in bytes, which the store's encoding makes a third longer.
const ROW_BYTES: usize = 65_536 * 3 / 4;
/// Maximum number of changes in a transaction.
const CHANGES: usize = 100;
/// Maximum size of a transaction, with its values as they are encoded.
const TRANSACTION_BYTES: usize = 1_000_000;
/// Bytes that a change takes beside its value.
const CHANGE_BYTES: usize = 200;

/// Returns in what a transaction exceeds what the store takes.
fn excess(batch: &Batch) -> Option<String> {
    let value_bytes = |change: &RowChange| match change {
        RowChange::Put(_, value) => value.len(),
        RowChange::Remove(_) => 0,
    };
    let large = |change: &&RowChange| value_bytes(change) > ROW_BYTES;
    if let Some(RowChange::Put(key, value)) = batch.changes.iter().find(large) {
        return Some(format!(
            "{}/{} has {} bytes",
            key.table,
            key.key,
            value.len()
        ));
    }
    let bytes = batch
        .changes
        .iter()
        .map(|change| CHANGE_BYTES + value_bytes(change) * 4 / 3);
    let (changes, bytes) = (batch.changes.len(), bytes.sum::<usize>());
    (changes > CHANGES || bytes > TRANSACTION_BYTES)
        .then(|| format!("has {changes} changes of {bytes} bytes"))
}

/// The simulated store.
#[derive(Default)]
pub struct FakeStore {
    version: u64,
    rows: BTreeMap<(String, String), (u64, Vec<u8>)>,
    pub down_until_ms: u64,
    /// Additional time that a transaction takes.
    pub slow_ms: u64,
    /// Percentage of transactions that are not answered and are carried out late.
    pub lost_answer_percent: u64,
    /// Rows that were to be removed and did not exist, as `table/key`.
    pub absent_removals: Vec<String>,
    /// Transactions beyond what the store takes.
    pub refused: Vec<String>,
}

impl FakeStore {
    pub fn commit(&mut self, now: u64, batch: &Batch) -> CommitOutcome {
        let claim = self.rows.get(&("claims".to_owned(), "holder".to_owned()));
        if claim.map_or(0, |(version, _)| *version) != batch.expected {
            return CommitOutcome::Conflict(claim.cloned());
        }
        if let Some(excess) = excess(batch) {
            self.refused
                .push(format!("commit {} {excess}", batch.number));
            return CommitOutcome::NotDone;
        }
        self.version += 1;
        for change in &batch.changes {
            match change {
                RowChange::Put(key, value) => {
                    let key = (key.table.to_owned(), key.key.clone());
                    self.rows.insert(key, (self.version, value.clone()));
                }
                RowChange::Remove(key) => {
                    let removed = self.rows.remove(&(key.table.to_owned(), key.key.clone()));
                    if removed.is_none() {
                        let name = format!("{}/{}", key.table, key.key);
                        self.absent_removals.push(name);
                    }
                }
            }
        }
        CommitOutcome::Stored {
            version: self.version,
            store_ms: now,
        }
    }

    /// Replaces the values of all rows except the claim.
    pub fn rewrite(&mut self, change: impl Fn(&[u8]) -> Vec<u8>) {
        for ((table, _), (_, value)) in &mut self.rows {
            if table != "claims" {
                *value = change(value);
            }
        }
    }

    /// Removes all rows of a table.
    pub fn clear_table(&mut self, table: &str) {
        self.rows.retain(|(name, _), _| name != table);
    }

    pub fn row(&self, table: &str, key: &str) -> (u64, Option<Vec<u8>>) {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.map_or((0, None), |(version, value)| {
            (*version, Some(value.clone()))
        })
    }

    pub fn table(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let rows = self.rows.iter().filter(|((name, _), _)| name == table);
        rows.map(|((_, key), (_, value))| (key.clone(), value.clone()))
            .collect()
    }
}
