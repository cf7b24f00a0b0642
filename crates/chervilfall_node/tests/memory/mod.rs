//! A platform in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use chervilfall_node::ports::{
    Advisor, ConfigurationQuery, ConfigurationReading, EndpointList, Endpoints, EvacuationList,
    FoundConfiguration, LateLists, Page, Platform, ReadProgress, Row, Store, StoreError,
};
use chervilfall_node::{RouteTable, Settings};
use chervilfall_planner::{
    AdviceAnswer, AdviceOrder, Batch, CommitOutcome, HoldAnswer, HoldOrder, Millis, RowChange,
    RowVersion, StartAnswer, StartOrder, StopAnswer, StopOrder, CLAIMS, HOLDER,
};

/// Returns the settings of a node that accepts links at a port.
pub fn settings(node: &str, link_port: u16) -> Settings {
    let settings = format!(
        "node: {node}\ndomain: a\nlisten: 127.0.0.1:1\nready_listen: 127.0.0.1:2\n\
         link_listen: 127.0.0.1:{link_port}\nstore: 127.0.0.1:4\nlease_max_ms: 10000\nstatus_s: 120\nrow_bytes: 65536\n"
    );
    Settings::parse("test", &settings).expect("sound settings")
}

/// A store in memory, which notes when commits arrive.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore(Arc<Mutex<Rows>>);

#[derive(Debug, Default)]
struct Rows {
    version: RowVersion,
    rows: BTreeMap<(&'static str, String), Row>,
    commits: Vec<Instant>,
}

impl Rows {
    fn claim(&self) -> Option<&Row> {
        self.rows.get(&(CLAIMS, HOLDER.to_owned()))
    }

    fn commit(&mut self, batch: Batch) -> CommitOutcome {
        let found = self.claim().map(|row| (row.version, row.value.clone()));
        if found.as_ref().map_or(0, |(version, _)| *version) != batch.expected {
            return CommitOutcome::Conflict(found);
        }
        self.version += 1;
        for change in batch.changes {
            match change {
                RowChange::Put(key, value) => {
                    let row = Row {
                        key: key.key.clone(),
                        value,
                        version: self.version,
                    };
                    self.rows.insert((key.table, key.key), row);
                }
                RowChange::Remove(key) => {
                    self.rows.remove(&(key.table, key.key));
                }
            }
        }
        self.commits.push(Instant::now());
        CommitOutcome::Stored {
            version: self.version,
            store_ms: 0,
        }
    }
}

impl Store for MemoryStore {
    const CHANGES_LAG_MS: Millis = 0;

    async fn commit(&self, _group: &str, batch: Batch) -> CommitOutcome {
        self.0.lock().expect("not poisoned").commit(batch)
    }

    async fn read_page(
        &self,
        _group: &str,
        _table: &str,
        _after: Option<&str>,
        _most: usize,
    ) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn read_row(
        &self,
        _group: &str,
        _table: &str,
        _key: &str,
    ) -> Result<(Option<Row>, Millis), StoreError> {
        Ok((None, 0))
    }

    async fn read_claim(&self, _group: &str) -> Result<(Option<Row>, Millis), StoreError> {
        Ok((self.0.lock().expect("not poisoned").claim().cloned(), 0))
    }

    async fn read_endpoints(&self) -> Result<EndpointList, StoreError> {
        Ok(EndpointList {
            version: 1,
            entries: Vec::new(),
            evacuations: EvacuationList::default(),
        })
    }

    async fn read_configuration(
        &self,
        _query: ConfigurationQuery,
        _progress: ReadProgress,
    ) -> Result<ConfigurationReading, StoreError> {
        Ok(ConfigurationReading {
            as_of: 1,
            lag_ms: 0,
            found: FoundConfiguration::Changed {
                version: 1,
                bytes: 1,
                table: RouteTable::default(),
            },
        })
    }
}

/// Endpoints and an advice service that nobody calls.
#[derive(Debug, Clone)]
pub struct Unused;

impl Endpoints for Unused {
    const MAX_LISTED_ENDS: usize = 100;

    async fn start(&self, _order: StartOrder) -> StartAnswer {
        StartAnswer::Unanswered
    }

    async fn stop(&self, _order: StopOrder) -> StopAnswer {
        StopAnswer::Unanswered
    }

    async fn hold(&self, _order: HoldOrder, _late: LateLists) -> HoldAnswer {
        HoldAnswer::Unanswered
    }
}

impl Advisor for Unused {
    async fn advise(&self, _order: AdviceOrder) -> AdviceAnswer {
        AdviceAnswer::Failed
    }
}

/// A platform of which only the store works.
#[derive(Debug, Clone, Default)]
pub struct MemoryPlatform {
    store: MemoryStore,
}

impl Platform for MemoryPlatform {
    type Store = MemoryStore;
    type Endpoints = Unused;
    type Advisor = Unused;

    fn store(&self) -> &MemoryStore {
        &self.store
    }

    fn endpoints(&self) -> &Unused {
        &Unused
    }

    fn advisor(&self) -> &Unused {
        &Unused
    }
}

impl MemoryPlatform {
    /// Returns when commits have arrived.
    pub fn commits(&self) -> Vec<Instant> {
        let rows = self.store.0.lock().expect("not poisoned");
        rows.commits.clone()
    }
}
