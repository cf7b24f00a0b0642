//! Ring of rows with the latest starts, which lets a successor learn what a lost holder started.
//!
//! Starts are sent without waiting for the store. If a holder were lost together with an endpoint,
//! the runs started there would be unknown, and a task that crashes endpoints would be started
//! again as if it had never run. Each commit therefore includes one small row with the starts since
//! the previous commit.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, JobId, Millis, Run, TaskKey, UnixMillis};
use crate::record::{decode, encode, RecordError};

/// Table of the latest starts, by slot.
pub const STARTS: &str = "starts";

/// Rows of the ring. With one commit every 20 ms they cover 5 s, which is longer than it takes to
/// notice a lost endpoint.
const SLOTS: u64 = 256;
/// Maximum starts in a row.
const ROW_STARTS: usize = 400;
/// Bytes of a row beside its starts, at most.
const ROW_HEAD_BYTES: usize = 64;
/// Bytes of a start beside the name of its endpoint, at most: seven values in a list.
const START_BYTES: usize = 64;
/// How far before the last commit the ring is read: the time in which a lease lapses, which is
/// 2.8 s, and a commit. Older runs have since been reported by their endpoint or recorded with
/// their job. If a lapse takes longer, the runs are recorded once the endpoint is silent.
pub(crate) const READ_BACK_MS: Millis = 3_500;

/// A run that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StartNoteForm", into = "StartNoteForm")]
pub struct StartNote {
    job: JobId,
    occurrence: u32,
    step: u16,
    index: u32,
    pub(crate) run: Run,
    pub(crate) endpoint: EndpointId,
    /// When the incarnation for which the run was meant started.
    pub(crate) born_ms: Option<UnixMillis>,
}

/// Encodings of a start in rows. Hundreds of starts per second are recorded, and a new holder reads
/// them all before it serves requests, so field names are omitted to keep the rows small.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StartNoteForm {
    /// Job, occurrence, step, index, run, endpoint and when the endpoint's incarnation started.
    Short(JobId, u32, u16, u32, Run, EndpointId, Option<UnixMillis>),
    /// Encoding written by earlier versions.
    Named {
        job: JobId,
        occurrence: u32,
        step: u16,
        index: u32,
        run: Run,
        endpoint: EndpointId,
        #[serde(default)]
        born_ms: Option<UnixMillis>,
    },
}

impl From<StartNoteForm> for StartNote {
    fn from(form: StartNoteForm) -> Self {
        let (StartNoteForm::Short(job, occurrence, step, index, run, endpoint, born_ms)
        | StartNoteForm::Named {
            job,
            occurrence,
            step,
            index,
            run,
            endpoint,
            born_ms,
        }) = form;
        Self {
            job,
            occurrence,
            step,
            index,
            run,
            endpoint,
            born_ms,
        }
    }
}

impl From<StartNote> for StartNoteForm {
    fn from(note: StartNote) -> Self {
        Self::Short(
            note.job,
            note.occurrence,
            note.step,
            note.index,
            note.run,
            note.endpoint,
            note.born_ms,
        )
    }
}

impl StartNote {
    /// Returns a number of bytes that it does not exceed in a row.
    fn max_bytes(&self) -> usize {
        START_BYTES + self.endpoint.0.len()
    }

    pub(crate) const fn task(&self) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }
}

/// Starts recorded by one commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartsRow {
    /// The store's monotonic clock when the row was written, as estimated by the writer.
    pub(crate) written_store_ms: Millis,
    pub(crate) starts: Vec<StartNote>,
}

impl StartsRow {
    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a list of starts.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// The holder's write position in the ring, and the starts that are not stored yet.
#[derive(Debug, Default)]
pub(crate) struct StartRing {
    next_slot: u64,
    unsaved: Vec<StartNote>,
    /// Starts in rows that are in flight.
    in_flight: Vec<StartNote>,
}

impl StartRing {
    /// Continues after the newest row of earlier holders, so the oldest rows are overwritten first.
    pub(crate) fn after(rows: &[(u64, StartsRow)]) -> Self {
        let newest = rows.iter().max_by_key(|(_, row)| row.written_store_ms);
        Self {
            next_slot: newest.map_or(0, |(slot, _)| slot + 1),
            ..Self::default()
        }
    }

    pub(crate) fn note(
        &mut self,
        task: TaskKey,
        run: Run,
        endpoint: EndpointId,
        born_ms: Option<UnixMillis>,
    ) {
        self.unsaved.push(StartNote {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
            run,
            endpoint,
            born_ms,
        });
    }

    /// Records that all rows taken so far are stored.
    pub(crate) fn stored(&mut self) {
        self.in_flight.clear();
    }

    /// Returns the starts that may not be stored yet.
    pub(crate) fn unstored(&self) -> Vec<StartNote> {
        let starts = self.in_flight.iter().chain(&self.unsaved);
        starts.cloned().collect()
    }

    pub(crate) fn is_saved(&self) -> bool {
        self.unsaved.is_empty()
    }

    /// Returns the next row to write, within `row_bytes`, or none if there are no unsaved starts.
    pub(crate) fn take_row(
        &mut self,
        written_store_ms: Millis,
        row_bytes: usize,
    ) -> Option<(String, Vec<u8>)> {
        if self.unsaved.is_empty() {
            return None;
        }
        let mut bytes_left = row_bytes.saturating_sub(ROW_HEAD_BYTES);
        let fitting = self.unsaved.iter().take(ROW_STARTS).take_while(|start| {
            let left = bytes_left.checked_sub(start.max_bytes());
            bytes_left = left.unwrap_or(0);
            left.is_some()
        });
        let fitting = fitting.count().max(1);
        let rest = self.unsaved.split_off(fitting);
        let starts = std::mem::replace(&mut self.unsaved, rest);
        self.in_flight.extend(starts.iter().cloned());
        let key = format!("{:03}", self.next_slot % SLOTS);
        self.next_slot += 1;
        let row = StartsRow {
            written_store_ms,
            starts,
        };
        Some((key, encode(&row)))
    }
}

/// Returns the starts in rows written shortly before the last commit of earlier holders.
pub(crate) fn latest(rows: Vec<(u64, StartsRow)>, last_commit_store_ms: Millis) -> Vec<StartNote> {
    let newest_ms = rows.iter().map(|(_, row)| row.written_store_ms).max();
    let until_ms = newest_ms.unwrap_or(0).max(last_commit_store_ms);
    let recent = rows
        .into_iter()
        .filter(|(_, row)| row.written_store_ms + READ_BACK_MS >= until_ms);
    recent.flat_map(|(_, row)| row.starts).collect()
}
