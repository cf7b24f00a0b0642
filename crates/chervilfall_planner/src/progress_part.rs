//! Parts of the progress of a job that one row does not hold.
//!
//! Most jobs have one row of progress, under the job's name. A job with more has further rows under
//! its name and a number: its parts. Each part holds what is known from its first position to that of
//! the next part. The row under the job's name then holds only what concerns the job as a whole.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{InvalidJobId, JobId, Run};
use crate::policy::crashes::Exposure;
use crate::record::{decode, RecordError, StepRow};

/// Separates the name of a job from the number of a part in keys.
const NUMBER_SEPARATOR: char = '.';
/// Tasks that a word of a bit set stands for.
const WORD_TASKS: u32 = u64::BITS;

/// Key of a row in the table of progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressKey {
    /// The row under the job's name.
    Job(JobId),
    /// A part.
    Part(PartKey),
}

/// Key of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartKey {
    /// The job.
    pub job: JobId,
    /// Number of the part, which its job uses for no other one.
    pub number: u32,
}

impl std::fmt::Display for PartKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}{NUMBER_SEPARATOR}{}", self.job, self.number)
    }
}

/// Error for a key that is neither a job's name nor that of a part.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InvalidProgressKey {
    /// The job's name is malformed.
    #[error(transparent)]
    Job(#[from] InvalidJobId),
    /// The number of the part is malformed.
    #[error("number of a part: {0}")]
    Number(#[from] std::num::ParseIntError),
}

impl FromStr for ProgressKey {
    type Err = InvalidProgressKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((job, number)) = text.split_once(NUMBER_SEPARATOR) else {
            return Ok(Self::Job(text.parse()?));
        };
        Ok(Self::Part(PartKey {
            job: job.parse()?,
            number: number.parse()?,
        }))
    }
}

/// Position of an entry in the progress of a job.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub(crate) struct ProgressPosition {
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
    /// Index of the task.
    pub(crate) index: u32,
    /// Run of the task, if the entry is about one.
    pub(crate) run: Run,
}

/// Consecutive steps of an occurrence that are finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u16, u16)", into = "(u32, u16, u16)")]
pub(crate) struct FinishedSteps {
    pub(crate) occurrence: u32,
    pub(crate) first: u16,
    pub(crate) count: u16,
}

impl From<(u32, u16, u16)> for FinishedSteps {
    fn from((occurrence, first, count): (u32, u16, u16)) -> Self {
        Self {
            occurrence,
            first,
            count,
        }
    }
}

impl From<FinishedSteps> for (u32, u16, u16) {
    fn from(steps: FinishedSteps) -> Self {
        (steps.occurrence, steps.first, steps.count)
    }
}

/// Tasks of a step that are done, a bit each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DoneBits {
    pub(crate) occurrence: u32,
    pub(crate) step: u16,
    /// Index of the task that the lowest bit of the first word stands for.
    first: u32,
    words: Vec<u64>,
}

impl DoneBits {
    /// Returns the form with a bit for each task, if it is shorter than ascending ranges `(first,
    /// count)`.
    pub(crate) fn if_shorter(occurrence: u32, step: u16, ranges: &[(u32, u32)]) -> Option<Self> {
        let (first, _) = *ranges.first()?;
        let (last, count) = *ranges.last()?;
        let words = (last.saturating_add(count) - first).div_ceil(WORD_TASKS) as usize;
        if words >= ranges.len() {
            return None;
        }
        let mut bits = Self {
            occurrence,
            step,
            first,
            words: vec![0; words],
        };
        for (begin, count) in ranges {
            for index in *begin..begin.saturating_add(*count) {
                let bit = index - first;
                bits.words[(bit / WORD_TASKS) as usize] |= 1 << (bit % WORD_TASKS);
            }
        }
        Some(bits)
    }

    /// Returns the indices of the tasks in ascending order.
    pub(crate) fn indices(&self) -> impl Iterator<Item = u32> + '_ {
        let words = (0_u32..).zip(&self.words);
        words.flat_map(|(position, word)| {
            let begin = self.first.saturating_add(position * WORD_TASKS);
            let set = (0..WORD_TASKS).filter(move |bit| word >> bit & 1 == 1);
            set.map(move |bit| begin.saturating_add(bit))
        })
    }
}

/// A part of a job's progress.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRow {
    /// Position from which on it holds what is known.
    pub(crate) first: ProgressPosition,
    /// Steps that are finished.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) finished: Vec<FinishedSteps>,
    /// Done tasks of other steps, as far as they are not listed there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) done: Vec<DoneBits>,
    /// Other steps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) steps: Vec<StepRow>,
}

/// What is known of a step, a task or a run.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Known<'a> {
    /// The step is finished.
    Finished,
    /// This number of tasks from that of the position on are done.
    Done(u32),
    /// The run has failed.
    Failed,
    /// The run may have crashed its endpoint.
    Exposed(&'a Exposure),
}

/// An entry in the progress of a job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgressEntry<'a> {
    pub(crate) position: ProgressPosition,
    pub(crate) known: Known<'a>,
}

impl PartRow {
    /// Returns the row of a part from `first` on with these entries, which are in ascending order.
    pub(crate) fn new(first: ProgressPosition, entries: &[ProgressEntry<'_>]) -> Self {
        let mut row = Self {
            first,
            ..Self::default()
        };
        for entry in entries {
            row.add(entry);
        }
        row.shorten_done();
        row
    }

    fn add(&mut self, entry: &ProgressEntry<'_>) {
        let ProgressPosition { index, run, .. } = entry.position;
        match entry.known {
            Known::Finished => self.add_finished(entry.position),
            Known::Done(count) => self.step(entry.position).done.push((index, count)),
            Known::Failed => push_run(&mut self.step(entry.position).failed, index, run),
            Known::Exposed(exposure) => {
                let exposures = &mut self.step(entry.position).exposures;
                push_run(exposures, index, exposure.clone());
            }
        }
    }

    fn add_finished(&mut self, position: ProgressPosition) {
        let ProgressPosition {
            occurrence, step, ..
        } = position;
        match self.finished.last_mut() {
            Some(last) if last.occurrence == occurrence && last.first + last.count == step => {
                last.count += 1;
            }
            _ => self.finished.push(FinishedSteps {
                occurrence,
                first: step,
                count: 1,
            }),
        }
    }

    /// Returns the row of a step, which is the last one.
    fn step(&mut self, position: ProgressPosition) -> &mut StepRow {
        let ProgressPosition {
            occurrence, step, ..
        } = position;
        let same = |row: &StepRow| row.occurrence == occurrence && row.step == step;
        if !self.steps.last().is_some_and(same) {
            self.steps.push(StepRow {
                occurrence,
                step,
                ..StepRow::default()
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Replaces the ranges of done tasks by bits where these are shorter. The first range, of the tasks
    /// that all came before, may be long and stays.
    fn shorten_done(&mut self) {
        for step in &mut self.steps {
            let (occurrence, number) = (step.occurrence, step.step);
            let later = step.done.get(1..).unwrap_or_default();
            if let Some(bits) = DoneBits::if_shorter(occurrence, number, later) {
                step.done.truncate(1);
                self.done.push(bits);
            }
        }
    }

    /// Decodes a row.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a part of a job's progress.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        decode(bytes)
    }
}

/// Adds a value to those of a task, whose list is the last one if there is any.
fn push_run<T>(lists: &mut Vec<(u32, Vec<T>)>, task: u32, value: T) {
    match lists.last_mut() {
        Some((index, values)) if *index == task => values.push(value),
        _ => lists.push((task, vec![value])),
    }
}
