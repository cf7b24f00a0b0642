//! Reads the rows that earlier holders have stored.
//!
//! A new holder serves as soon as it knows the open jobs, the endpoints and the latest starts.
//! Long texts of jobs and ended jobs are most of the bytes; they are read while it serves. Short
//! texts are in the rows of their jobs.

use std::future::Future;
use std::sync::Arc;

use chervilfall_planner::{
    decode_text, Event, JobId, JobRow, PartKey, PartRow, ProgressKey, ProgressRow, RosterEntry,
    StartsRow, StoredGroup, ENDED, JOBS, PROGRESS, ROSTER, STARTS, TEXTS,
};

use crate::ports::{Row, Store, StoreError};
use crate::watch::pages::{Progress, TableReader};

/// The rows that a holder needs before it serves. They change only under the claim, so what was
/// read stays valid as long as no other node has claimed the group.
pub(super) struct GroupReader {
    jobs: Table<(JobId, JobRow)>,
    progress: Table<StoredProgress>,
    roster: Table<RosterEntry>,
    starts: Table<(u64, StartsRow)>,
}

impl GroupReader {
    pub(super) fn new() -> Self {
        Self {
            jobs: Table::new(JOBS),
            progress: Table::new(PROGRESS),
            roster: Table::new(ROSTER),
            starts: Table::new(STARTS),
        }
    }

    /// Reads the rows that were not read yet.
    ///
    /// # Errors
    ///
    /// Returns an error if a row cannot be decoded, which stops the takeover: treating the row as
    /// absent would lose a job or a lease.
    pub(super) async fn read<S: Store>(
        &mut self,
        store: &S,
        group: &str,
        progress: &Progress,
    ) -> Result<(), StoreError> {
        tokio::try_join!(
            self.jobs.read(store, group, progress, decode_job),
            self.progress.read(store, group, progress, decode_progress),
            self.roster.read(store, group, progress, decode_roster),
            self.starts.read(store, group, progress, decode_starts),
        )?;
        Ok(())
    }

    pub(super) fn into_stored(self) -> StoredGroup {
        let (mut progress, mut progress_parts) = (Vec::new(), Vec::new());
        for row in self.progress.values {
            match row {
                StoredProgress::Job(id, row) => progress.push((id, row)),
                StoredProgress::Part(key, row) => progress_parts.push((key, row)),
            }
        }
        StoredGroup {
            jobs: self.jobs.values,
            progress,
            progress_parts,
            roster: self.roster.values,
            starts: self.starts.values,
        }
    }
}

/// A row of the table of progress.
enum StoredProgress {
    /// The row under a job's name.
    Job(JobId, ProgressRow),
    /// A part.
    Part(PartKey, PartRow),
}

/// A table and the values read from it so far.
struct Table<T> {
    reader: TableReader,
    values: Vec<T>,
}

impl<T> Table<T> {
    fn new(table: &'static str) -> Self {
        Self {
            reader: TableReader::new(table),
            values: Vec::new(),
        }
    }

    async fn read<S: Store>(
        &mut self,
        store: &S,
        group: &str,
        progress: &Progress,
        decode: fn(&Row) -> Result<Vec<T>, StoreError>,
    ) -> Result<(), StoreError> {
        while let Some(rows) = self.reader.next(store, group, progress).await {
            for row in rows {
                self.values.extend(decode(&row)?);
            }
        }
        Ok(())
    }
}

/// Reads texts, then ended jobs, and passes them on until `send` returns that they are no longer
/// needed.
///
/// A row that cannot be decoded affects one job: its tasks are not started, or its name is not
/// treated as new; other jobs are unaffected. The table is then never reported as completely read.
pub(super) async fn read_history<S: Store, F: Future<Output = bool>>(
    store: &S,
    group: &str,
    send: impl Fn(Event) -> F,
) {
    let progress = Progress::new();
    let mut texts = TableReader::new(TEXTS);
    let mut unreadable = 0;
    while let Some(rows) = texts.next(store, group, &progress).await {
        let texts = decode_rows(&rows, decode_row_text, &mut unreadable);
        if !send(Event::Texts(texts)).await {
            return;
        }
    }
    if unreadable == 0 && !send(Event::TextsRead).await {
        return;
    }
    let mut ended = TableReader::new(ENDED);
    let texts_unreadable = std::mem::take(&mut unreadable);
    while let Some(rows) = ended.next(store, group, &progress).await {
        let ends = decode_rows(&rows, decode_ended, &mut unreadable);
        if !send(Event::Ended(ends)).await {
            return;
        }
    }
    if unreadable == 0 {
        send(Event::HistoryRead).await;
    }
    let counts = progress.counts();
    log::info!(
        rows = counts.rows, bytes = counts.bytes, missed = counts.failed_pages,
        unreadable = texts_unreadable + unreadable;
        "texts and ended jobs read"
    );
}

/// Decodes the rows that can be decoded, and counts the others.
fn decode_rows<T>(
    rows: &[Row],
    decode: fn(&Row) -> Result<T, StoreError>,
    unreadable: &mut u64,
) -> Vec<T> {
    let mut values = Vec::with_capacity(rows.len());
    for row in rows {
        match decode(row) {
            Ok(value) => values.push(value),
            Err(error) => {
                log::error!(error:% = error; "row of a job cannot be read");
                metrics::counter!("chervilfall_unreadable_job_rows_total").increment(1);
                *unreadable += 1;
            }
        }
    }
    values
}

fn malformed(row: &Row, error: impl std::fmt::Display) -> StoreError {
    StoreError::Malformed(format!("row {}: {error}", row.key))
}

fn job_id(row: &Row) -> Result<JobId, StoreError> {
    row.key.parse().map_err(|error| malformed(row, error))
}

fn decode_job(row: &Row) -> Result<Vec<(JobId, JobRow)>, StoreError> {
    let value = JobRow::decode(&row.value).map_err(|error| malformed(row, error))?;
    Ok(vec![(job_id(row)?, value)])
}

fn decode_ended(row: &Row) -> Result<(JobId, ProgressRow), StoreError> {
    let value = ProgressRow::decode(&row.value).map_err(|error| malformed(row, error))?;
    Ok((job_id(row)?, value))
}

fn decode_progress(row: &Row) -> Result<Vec<StoredProgress>, StoreError> {
    let key: ProgressKey = row.key.parse().map_err(|error| malformed(row, error))?;
    let progress = match key {
        ProgressKey::Job(id) => {
            let value = ProgressRow::decode(&row.value).map_err(|error| malformed(row, error))?;
            StoredProgress::Job(id, value)
        }
        ProgressKey::Part(key) => {
            let value = PartRow::decode(&row.value).map_err(|error| malformed(row, error))?;
            StoredProgress::Part(key, value)
        }
    };
    Ok(vec![progress])
}

fn decode_roster(row: &Row) -> Result<Vec<RosterEntry>, StoreError> {
    RosterEntry::decode_all(&row.value).map_err(|error| malformed(row, error))
}

fn decode_starts(row: &Row) -> Result<Vec<(u64, StartsRow)>, StoreError> {
    let slot: Result<u64, _> = row.key.parse();
    let slot = slot.map_err(|error| malformed(row, error))?;
    let value = StartsRow::decode(&row.value).map_err(|error| malformed(row, error))?;
    Ok(vec![(slot, value)])
}

fn decode_row_text(row: &Row) -> Result<(JobId, Arc<str>), StoreError> {
    let text = decode_text(&row.value).map_err(|error| malformed(row, error))?;
    Ok((job_id(row)?, Arc::from(text)))
}
