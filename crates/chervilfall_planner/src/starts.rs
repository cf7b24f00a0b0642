//! The latest starts, as a ring of rows: what a successor could not know otherwise.
//!
//! Starts are not written ahead, so that they need not wait for the store. Should a holder be lost together with an
//! endpoint, nobody would know what had begun there, and a task that brings endpoints down would be started anew as if
//! it had never run. So each commit carries the starts since the one before, in one small row.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, JobId, Millis, Run, TaskKey, UnixMillis};
use crate::record::{decode, encode, RecordError};

/// Table of the latest starts, by slot.
pub const STARTS: &str = "starts";

/// Rows of the ring: with one commit each 20 ms they reach back 5 s, longer than a lost endpoint goes unnoticed.
const SLOTS: u64 = 256;
/// Starts of a row: 75 bytes each, less than half of what a row holds.
const ROW_STARTS: usize = 400;
/// How far the ring is read back from the last commit: a lapse, which takes 2.8 s, and a commit. What is older was heard
/// at work since, or is noted with its job; where a lapse takes longer, it is noted once the endpoint is silent.
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
    /// When the incarnation was started for which it was meant.
    pub(crate) born_ms: Option<UnixMillis>,
}

/// Forms of a note in rows. Hundreds of starts a second are noted, and a new holder reads them all before it serves
/// anybody, so that names of fields would cost callers more than they tell.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StartNoteForm {
    /// Job, occurrence, step, index, run, endpoint and when that was started.
    Short(JobId, u32, u16, u32, Run, EndpointId, Option<UnixMillis>),
    /// As earlier versions write it.
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
    pub(crate) const fn task(&self) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }
}

/// Starts of one commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartsRow {
    /// The store's steady clock when the row was written, as the writer knew it.
    pub(crate) written_store_ms: Millis,
    pub(crate) starts: Vec<StartNote>,
}

impl StartsRow {
    /// Reads the value of a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is no list of starts.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// The holder's end of the ring.
#[derive(Debug, Default)]
pub(crate) struct StartRing {
    next_slot: u64,
    unsaved: Vec<StartNote>,
    /// In rows that are on their way.
    in_flight: Vec<StartNote>,
}

impl StartRing {
    /// Goes on after the newest row of earlier holders, so that the oldest are overwritten first.
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

    /// Notes that all rows which were taken are stored.
    pub(crate) fn stored(&mut self) {
        self.in_flight.clear();
    }

    /// Returns the starts that may not be stored.
    pub(crate) fn unstored(&self) -> Vec<StartNote> {
        let starts = self.in_flight.iter().chain(&self.unsaved);
        starts.cloned().collect()
    }

    pub(crate) fn is_saved(&self) -> bool {
        self.unsaved.is_empty()
    }

    /// Returns the next row to write, if there is something to tell.
    pub(crate) fn take_row(&mut self, written_store_ms: Millis) -> Option<(String, Vec<u8>)> {
        if self.unsaved.is_empty() {
            return None;
        }
        let rest = self.unsaved.split_off(self.unsaved.len().min(ROW_STARTS));
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

/// Returns the latest starts, as of the last commit of earlier holders.
pub(crate) fn latest(rows: Vec<(u64, StartsRow)>, last_commit_store_ms: Millis) -> Vec<StartNote> {
    let newest_ms = rows.iter().map(|(_, row)| row.written_store_ms).max();
    let until_ms = newest_ms.unwrap_or(0).max(last_commit_store_ms);
    let recent = rows
        .into_iter()
        .filter(|(_, row)| row.written_store_ms + READ_BACK_MS >= until_ms);
    recent.flat_map(|(_, row)| row.starts).collect()
}
