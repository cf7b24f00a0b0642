//! Which parts the progress of a job is stored in, and which of them have changed.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::progress_part::{Known, PartRow, ProgressEntry, ProgressPosition};
use crate::record::{encode, ProgressRow};
use crate::tasks::{all_complete, Job, StepProgress, TaskState};

/// Part of a row's maximum size that a part of the progress may have: an end rewrites one of them.
const PART_DIVISOR: usize = 4;

/// Hash of a row that is stored, or on its way to the store.
type RowDigest = u64;

/// The parts of a job's progress, by first position; none as long as one row holds the progress.
#[derive(Debug, Default)]
pub(crate) struct JobParts {
    parts: BTreeMap<ProgressPosition, Part>,
    next_number: u32,
    /// The row under the job's name, if it leaves all steps to the parts.
    head: Option<RowDigest>,
}

#[derive(Debug)]
struct Part {
    number: u32,
    /// Its row; none if it has not been written yet.
    digest: Option<RowDigest>,
}

/// The row of a part as it should be.
struct EncodedPart {
    first: ProgressPosition,
    /// It holds nothing.
    empty: bool,
    row: Vec<u8>,
}

/// A change of a row of a job's progress.
#[derive(Debug)]
pub(crate) enum PartChange {
    /// The row under the job's name.
    Head(Vec<u8>),
    /// A part.
    Put {
        first: ProgressPosition,
        number: u32,
        row: Vec<u8>,
    },
    /// A part that holds nothing any more.
    Remove {
        first: ProgressPosition,
        number: u32,
    },
}

impl JobParts {
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the numbers of the parts that may be in the store.
    pub(crate) fn stored_numbers(&self) -> impl Iterator<Item = u32> + '_ {
        let stored = self.parts.values().filter(|part| part.digest.is_some());
        stored.map(|part| part.number)
    }

    /// Takes in a part that is in the store.
    pub(crate) fn restore(&mut self, number: u32, row: &PartRow) {
        let digest = Some(digest(&encode(row)));
        self.parts.insert(row.first, Part { number, digest });
        self.next_number = self.next_number.max(number.saturating_add(1));
    }

    /// Takes in the row under the job's name.
    pub(crate) fn restore_head(&mut self, row: &ProgressRow) {
        self.head = row.steps.is_empty().then(|| digest(&encode(row)));
    }

    /// Notes that a change is on its way to the store.
    pub(crate) fn record(&mut self, change: &PartChange) {
        match change {
            PartChange::Head(row) => self.head = Some(digest(row)),
            PartChange::Put { first, row, .. } => {
                if let Some(part) = self.parts.get_mut(first) {
                    part.digest = Some(digest(row));
                }
            }
            PartChange::Remove { first, .. } => {
                self.parts.remove(first);
            }
        }
    }

    fn add(&mut self, first: ProgressPosition) {
        let number = self.next_number;
        self.next_number += 1;
        let digest = None;
        self.parts.insert(first, Part { number, digest });
    }

    /// Returns the rows of all parts that hold these entries, each within `part_bytes` unless it has
    /// one entry, and adds the parts that this takes.
    fn rows(&mut self, entries: &[ProgressEntry<'_>], part_bytes: usize) -> Vec<EncodedPart> {
        if self.parts.is_empty() {
            self.add(ProgressPosition::default());
        }
        let firsts: Vec<ProgressPosition> = self.parts.keys().copied().collect();
        let mut rows = Vec::new();
        let mut rest = entries;
        for (position, first) in firsts.iter().enumerate() {
            let next = firsts.get(position + 1);
            let own = next.map_or(rest.len(), |next| {
                rest.partition_point(|entry| entry.position < *next)
            });
            let (entries, later) = rest.split_at(own);
            rest = later;
            encode_within(*first, entries, part_bytes, &mut rows);
        }
        for row in &rows {
            if !self.parts.contains_key(&row.first) {
                self.add(row.first);
            }
        }
        rows
    }
}

impl Job {
    /// Returns the changes of rows that its progress takes in parts. They are in an order in which
    /// they can be stored one by one: what was stored before is in a row at all times.
    pub(crate) fn part_changes(&mut self, row_bytes: usize) -> Vec<PartChange> {
        let mut parts = std::mem::take(&mut self.parts);
        let head = encode(&self.head());
        // Until the row under the job's name says which occurrences are complete, the parts do.
        let entries = self.entries(parts.head.is_none());
        let (mut added, mut rewritten) = (Vec::new(), Vec::new());
        for EncodedPart { first, empty, row } in parts.rows(&entries, row_bytes / PART_DIVISOR) {
            let Some(part) = parts.parts.get(&first) else {
                continue;
            };
            let number = part.number;
            // The first part stays, so that versions that do not know parts refuse the job's rows.
            let superfluous = empty && first != ProgressPosition::default();
            match part.digest {
                None => added.push(PartChange::Put { first, number, row }),
                Some(_) if superfluous => rewritten.push(PartChange::Remove { first, number }),
                Some(stored) if stored != digest(&row) => {
                    rewritten.push(PartChange::Put { first, number, row });
                }
                Some(_) => {}
            }
        }
        let head_changes = parts.head != Some(digest(&head));
        let head = head_changes.then_some(PartChange::Head(head));
        let mut changes = added;
        if parts.head.is_some() {
            // Complete occurrences are in this row before they leave the parts.
            changes.extend(head);
            changes.extend(rewritten);
        } else {
            // The row that is stored lists steps, which must be in the parts before they leave it.
            changes.extend(rewritten);
            changes.extend(head);
        }
        self.parts = parts;
        changes
    }

    /// Returns the entries of its progress in ascending order, with or without those of complete
    /// occurrences.
    fn entries(&self, with_complete: bool) -> Vec<ProgressEntry<'_>> {
        let mut entries = Vec::new();
        for (occurrence, steps) in &self.occurrences {
            if !with_complete && all_complete(steps) {
                continue;
            }
            for (step, progress) in (0_u16..).zip(steps) {
                let position = ProgressPosition {
                    occurrence: *occurrence,
                    step,
                    ..ProgressPosition::default()
                };
                add_step(&mut entries, position, progress);
            }
        }
        entries
    }
}

fn add_step<'a>(
    entries: &mut Vec<ProgressEntry<'a>>,
    position: ProgressPosition,
    progress: &'a StepProgress,
) {
    if progress.complete() {
        let known = Known::Finished;
        entries.push(ProgressEntry { position, known });
        return;
    }
    let from = entries.len();
    let mut done: Option<(u32, u32)> = None;
    for (index, task) in progress.tasks.begun() {
        if task.state == TaskState::Done {
            let (first, count) = done.unwrap_or((index, 0));
            done = Some((first, count + 1));
            continue;
        }
        push_done(entries, position, done.take());
        let about = |run, known| ProgressEntry {
            position: ProgressPosition {
                index,
                run,
                ..position
            },
            known,
        };
        let failed = task.failed.iter().map(|run| about(*run, Known::Failed));
        let exposures = task.exposures.iter();
        let exposures = exposures.map(|exposure| about(exposure.run, Known::Exposed(exposure)));
        entries.extend(failed.chain(exposures));
    }
    push_done(entries, position, done);
    entries[from..].sort_by_key(|entry| entry.position);
}

fn push_done(
    entries: &mut Vec<ProgressEntry<'_>>,
    position: ProgressPosition,
    done: Option<(u32, u32)>,
) {
    let Some((index, count)) = done else {
        return;
    };
    entries.push(ProgressEntry {
        position: ProgressPosition { index, ..position },
        known: Known::Done(count),
    });
}

/// Adds rows that hold the entries from `first` on, each within `part_bytes` as far as entries of
/// one position, which stay together, allow.
fn encode_within(
    first: ProgressPosition,
    entries: &[ProgressEntry<'_>],
    part_bytes: usize,
    rows: &mut Vec<EncodedPart>,
) {
    let row = encode(&PartRow::new(first, entries));
    let middle = entries.get(entries.len() / 2).map(|entry| entry.position);
    let cut = middle.map_or(0, |middle| {
        let cut = entries.partition_point(|entry| entry.position < middle);
        if cut > 0 {
            cut
        } else {
            entries.partition_point(|entry| entry.position <= middle)
        }
    });
    if row.len() <= part_bytes || cut == 0 || cut == entries.len() {
        rows.push(EncodedPart {
            first,
            empty: entries.is_empty(),
            row,
        });
        return;
    }
    let (lower, upper) = entries.split_at(cut);
    encode_within(first, lower, part_bytes, rows);
    encode_within(upper[0].position, upper, part_bytes, rows);
}

fn digest(row: &[u8]) -> RowDigest {
    let mut hasher = DefaultHasher::new();
    row.hash(&mut hasher);
    hasher.finish()
}
