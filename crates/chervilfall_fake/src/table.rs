//! The transactional table.

use std::collections::BTreeMap;

use chervilfall_platform::{Conflict, Row, RowKey, RowVersion, Transaction, TransactionAnswer};

/// Rows with their versions.
#[derive(Debug, Clone, Default)]
pub struct FakeTable {
    rows: BTreeMap<RowKey, (RowVersion, String)>,
}

impl FakeTable {
    /// Carries out a transaction, or nothing of it if a condition does not hold.
    pub fn commit(&mut self, transaction: &Transaction) -> TransactionAnswer {
        let conflicts: Vec<Conflict> = transaction
            .conditions
            .iter()
            .filter_map(|condition| {
                let version = self.version(&condition.key);
                (version != condition.version).then(|| Conflict {
                    key: condition.key.clone(),
                    version,
                })
            })
            .collect();
        if conflicts.is_empty() {
            for write in &transaction.writes {
                let next = RowVersion(self.version(&write.key).0 + 1);
                let key = write.key.clone();
                match &write.value {
                    Some(value) => self.rows.insert(key, (next, value.clone())),
                    None => self.rows.remove(&key),
                };
            }
        }
        TransactionAnswer { conflicts }
    }

    /// Returns the rows whose keys begin with a prefix, in the order of their keys.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(RowKey(prefix.to_owned())..)
            .take_while(|(key, _)| key.0.starts_with(prefix))
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    fn version(&self, key: &RowKey) -> RowVersion {
        self.rows
            .get(key)
            .map_or(RowVersion(0), |(version, _)| *version)
    }
}
