//! The transactional table.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use chervilfall_fake::FakeTable;
use chervilfall_platform::{Row, ScanRequest, Transaction, TransactionAnswer};
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, Build, Rocket};
use serde::Serialize;

use crate::faults::{FaultState, PlatformFaults};
use crate::server::{build, Known, ServerSettings};

/// Ceilings of the table.
#[derive(Debug, Clone, Copy)]
pub struct TableLimits {
    /// Rows written a second.
    pub writes_per_s: u64,
    /// Reads a second.
    pub reads_per_s: u64,
}

/// Calls in the present second.
#[derive(Debug)]
struct Rate {
    began: Instant,
    count: u64,
}

impl Rate {
    fn new() -> Self {
        Self {
            began: Instant::now(),
            count: 0,
        }
    }

    fn take(&mut self, calls: u64, limit: u64) -> bool {
        if self.began.elapsed().as_millis() >= 1_000 {
            *self = Self::new();
        }
        self.count += calls;
        self.count <= limit
    }
}

/// What the table has done since it started.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Counts {
    writes: u64,
    reads: u64,
    refused: u64,
}

#[derive(Debug)]
struct State {
    table: FakeTable,
    writes: Rate,
    reads: Rate,
    counts: Counts,
}

/// The table.
#[derive(Debug)]
struct Table {
    limits: TableLimits,
    state: Mutex<State>,
    faults: FaultState,
}

impl Table {
    fn commit(&self, transaction: &Transaction) -> Result<TransactionAnswer, Status> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let count = transaction.writes.len() as u64;
        if !state.writes.take(count, self.limits.writes_per_s) {
            state.counts.refused += 1;
            return Err(Status::TooManyRequests);
        }
        state.counts.writes += count;
        Ok(state.table.commit(transaction))
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, Status> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.reads.take(1, self.limits.reads_per_s) {
            state.counts.refused += 1;
            return Err(Status::TooManyRequests);
        }
        state.counts.reads += 1;
        Ok(state.table.scan(prefix))
    }
}

#[post("/from/<domain>/v1/transactions", data = "<transaction>")]
async fn transact(
    _known: Known,
    table: &rocket::State<Table>,
    domain: &str,
    transaction: Json<Transaction>,
) -> Result<Json<TransactionAnswer>, Status> {
    table.faults.before(domain).await?;
    let answer = table.commit(&transaction)?;
    table.faults.after_write()?;
    Ok(Json(answer))
}

#[post("/from/<domain>/v1/scan", data = "<ask>")]
async fn scan(
    _known: Known,
    table: &rocket::State<Table>,
    domain: &str,
    ask: Json<ScanRequest>,
) -> Result<Json<Vec<Row>>, Status> {
    table.faults.before(domain).await?;
    table.scan(&ask.prefix).map(Json)
}

#[post("/faults", data = "<faults>")]
fn set_faults(table: &rocket::State<Table>, faults: Json<PlatformFaults>) {
    table.faults.set(faults.into_inner());
}

#[get("/counts")]
fn counts(table: &rocket::State<Table>) -> Json<Counts> {
    let state = table.state.lock().unwrap_or_else(PoisonError::into_inner);
    Json(state.counts)
}

/// Opens an empty table.
#[must_use]
pub fn open_table(settings: &ServerSettings, limits: TableLimits) -> Rocket<Build> {
    let state = State {
        table: FakeTable::default(),
        writes: Rate::new(),
        reads: Rate::new(),
        counts: Counts::default(),
    };
    let table = Table {
        limits,
        state: Mutex::new(state),
        faults: FaultState::default(),
    };
    build(settings)
        .manage(table)
        .mount("/", rocket::routes![transact, scan, set_faults, counts])
}
