//! Tables and rows that tests build and read: the claim, the roster, the configuration and the rows
//! of jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilfall_planner::{
    decode_text, Account, Batch, CommitOutcome, Configuration, EndpointId, Event, HoldAnswer,
    HoldOrder, HoldReport, HolderRow, JobId, JobRow, ProgressRow, RosterEntry, StoredGroup,
    Takeover,
};

use super::World;

/// Version of the claim row at a takeover. Each commit increases it by one.
const CLAIM_VERSION: u64 = 100;

/// Returns the claim of a node without predecessor.
pub fn first_claim() -> Takeover {
    let row = HolderRow {
        term: 1,
        node: "holder".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        number: 0,
        released: false,
        settled: false,
        cpu_permille: 1_000,
        recovering: true,
        wanted_permille: 0,
        standstill_ms: 0,
        written_store_ms: 0,
    };
    Takeover {
        row,
        fence: CLAIM_VERSION,
        version: CLAIM_VERSION,
        predecessor_seen_ms: None,
        predecessor_written_store_ms: 0,
        predecessor_gone_ms: None,
    }
}

/// Returns the claim of a node whose predecessor was last seen at `seen_ms`.
pub fn claim_after(seen_ms: u64) -> Takeover {
    let first = first_claim();
    let row = HolderRow {
        term: 2,
        node: "successor".to_owned(),
        cpu_permille: 500,
        incarnation: 2,
        ..first.row
    };
    Takeover {
        row,
        predecessor_seen_ms: Some(seen_ms),
        ..first
    }
}

/// Returns a group without jobs whose roster names this number of endpoints, by their numbers.
pub fn group_with_roster(endpoints: usize) -> StoredGroup {
    let roster = (0..endpoints).map(|number| RosterEntry {
        id: EndpointId(format!("{number}")),
        born_ms: None,
        address: format!("{number}:1"),
        lapses_store_ms: None,
        stale_leases: None,
        capacity: None,
    });
    StoredGroup {
        roster: roster.collect(),
        ..StoredGroup::default()
    }
}

/// Returns the answer to a commit that is stored at `store_ms`.
pub fn stored(batch: &Batch, store_ms: u64) -> Event {
    Event::Committed {
        number: batch.number,
        copy: batch.copy,
        outcome: CommitOutcome::Stored {
            version: CLAIM_VERSION + batch.number,
            store_ms,
        },
    }
}

/// Returns the answer of an endpoint that runs nothing to a hold.
pub fn idle_report(order: &HoldOrder, sent_ms: u64, clock_ms: u64) -> Event {
    let report = HoldReport {
        clock_ms,
        ..HoldReport::default()
    };
    Event::Held {
        endpoint: order.endpoint,
        sent_ms,
        answer: HoldAnswer::Report(report),
    }
}

/// What the store has of a job.
#[derive(Debug, PartialEq)]
pub struct JobTables {
    /// The job's own row.
    pub job: Option<JobRow>,
    /// Its text, if that has a row of its own.
    pub text: Option<String>,
    /// Its progress while its own row exists.
    pub progress: Option<ProgressRow>,
    /// Its end.
    pub ended: Option<ProgressRow>,
}

impl World {
    /// Configures the simulation's queue as the only one, with these accounts.
    pub fn configure(&mut self, accounts: impl IntoIterator<Item = Account>) {
        let accounts = accounts.into_iter();
        let accounts = accounts.map(|account| (account.name.clone(), account));
        self.config = Arc::new(Configuration {
            version: self.config.version + 1,
            queues: BTreeMap::from([(self.queue.name.clone(), self.queue.clone())]),
            accounts: accounts.collect(),
            ..Configuration::clone(&self.config)
        });
    }

    /// Reads a job's rows.
    pub fn job_tables(&self, job: u64) -> JobTables {
        let key = JobId(job).to_string();
        let row = |table| self.store.row(table, &key).1;
        let progress = |bytes: Vec<u8>| ProgressRow::decode(&bytes).expect("a progress");
        JobTables {
            job: row("jobs").map(|bytes| JobRow::decode(&bytes).expect("a job")),
            text: row("texts").map(|bytes| decode_text(&bytes).expect("a text")),
            progress: row("progress").map(progress),
            ended: row("ended").map(progress),
        }
    }
}
