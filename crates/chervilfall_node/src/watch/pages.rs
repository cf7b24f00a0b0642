//! Reads a table page by page, in pages that the way to the store can carry.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock::now_ms;
use crate::ports::{Row, Store, StoreError};

/// Rows of the first page.
const INITIAL_ROWS: usize = 100;
/// Most rows of a page.
const MAX_ROWS: usize = 500;
/// A page that came within this is followed by one of twice its rows.
const FAST_PAGE_MS: u64 = 200;
/// Pages without an answer are followed by ones with so many times fewer rows.
const SHRINK_FACTOR: usize = 4;
/// Pause after a page that did not come.
const PAUSE: Duration = Duration::from_millis(100);

/// How many rows the next page has: on a thin link a large one would never come within its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageSize {
    rows: usize,
}

impl Default for PageSize {
    fn default() -> Self {
        Self { rows: INITIAL_ROWS }
    }
}

impl PageSize {
    /// Returns the rows of the next page.
    #[must_use]
    pub const fn rows(self) -> usize {
        self.rows
    }

    /// Takes note of a page that came after some time.
    pub fn record_page(&mut self, took_ms: u64) {
        if took_ms <= FAST_PAGE_MS {
            self.rows = (self.rows * 2).min(MAX_ROWS);
        }
    }

    /// Takes note of a page that did not come.
    pub fn record_failure(&mut self) {
        self.rows = (self.rows / SHRINK_FACTOR).max(1);
    }
}

/// How far readings have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadCounts {
    pub(super) rows: u64,
    /// Bytes of their values.
    pub(super) bytes: u64,
    /// Pages that did not come.
    pub(super) failed_pages: u64,
}

/// What all readings of a group have brought.
#[derive(Debug)]
pub(super) struct Progress {
    rows: AtomicU64,
    bytes: AtomicU64,
    failed_pages: AtomicU64,
    /// When a page came last, in milliseconds.
    last_ms: AtomicU64,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self {
            rows: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            failed_pages: AtomicU64::new(0),
            last_ms: AtomicU64::new(now_ms()),
        }
    }

    fn record_page(&self, rows: &[Row]) {
        let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
        self.rows.fetch_add(rows.len() as u64, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.last_ms.store(now_ms(), Ordering::Relaxed);
    }

    fn record_failure(&self) {
        self.failed_pages.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how long ago a page came last.
    pub(super) fn since_last_page_ms(&self) -> u64 {
        now_ms().saturating_sub(self.last_ms.load(Ordering::Relaxed))
    }

    pub(super) fn counts(&self) -> ReadCounts {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ReadCounts {
            rows: count(&self.rows),
            bytes: count(&self.bytes),
            failed_pages: count(&self.failed_pages),
        }
    }
}

/// A table that is being read. What has come stays when a page does not come.
#[derive(Debug)]
pub(super) struct TableReader {
    table: &'static str,
    size: PageSize,
    last_key: Option<String>,
    done: bool,
}

impl TableReader {
    pub(super) fn new(table: &'static str) -> Self {
        Self {
            table,
            size: PageSize::default(),
            last_key: None,
            done: false,
        }
    }

    /// Reads the next page; returns nothing once there are no more.
    pub(super) async fn next<S: Store>(
        &mut self,
        store: &S,
        group: &str,
        progress: &Progress,
    ) -> Option<Vec<Row>> {
        while !self.done {
            let began_ms = now_ms();
            let after = self.last_key.as_deref();
            let read = store.read_page(group, self.table, after, self.size.rows());
            match read.await {
                Ok(page) => {
                    progress.record_page(&page.rows);
                    self.size.record_page(now_ms().saturating_sub(began_ms));
                    self.done = !page.more || page.rows.is_empty();
                    if let Some(last) = page.rows.last() {
                        self.last_key = Some(last.key.clone());
                    }
                    return Some(page.rows);
                }
                Err(error) => self.record_failure(&error, progress),
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    fn record_failure(&mut self, error: &StoreError, progress: &Progress) {
        log::warn!(
            table = self.table, rows = self.size.rows(), error:% = error;
            "page of the group's rows did not come"
        );
        progress.record_failure();
        self.size.record_failure();
    }
}
