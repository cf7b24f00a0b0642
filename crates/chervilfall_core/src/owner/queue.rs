//! Attempts that wait for room, by rank and shape.
//!
//! Attempts of one shape stand in one line, so that a shape without room is passed over at once,
//! whatever the length of its line. Attempts that were withdrawn stay in their line until they
//! reach its head, which makes withdrawal constant in time.

use std::collections::{BTreeMap, VecDeque};

use chervilfall_types::Instant;

use crate::owner::AttemptId;
use crate::policy::placement::Shape;
use crate::policy::queue_order::Rank;

/// Attempts that start together or not at all.
#[derive(Debug, Clone)]
pub(crate) struct QueuedGang {
    pub(crate) attempts: Vec<AttemptId>,
    pub(crate) start_by: Instant,
}

/// The queue of an owner.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lines: BTreeMap<(Rank, Shape), VecDeque<AttemptId>>,
    gangs: VecDeque<QueuedGang>,
    len: usize,
}

impl Queue {
    /// Returns how many attempts wait.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, rank: Rank, shape: Shape, id: AttemptId) {
        self.lines.entry((rank, shape)).or_default().push_back(id);
        self.len += 1;
    }

    /// Puts an attempt back at the head of its line.
    pub(crate) fn push_front(&mut self, rank: Rank, shape: Shape, id: AttemptId) {
        self.lines.entry((rank, shape)).or_default().push_front(id);
        self.len += 1;
    }

    pub(crate) fn push_gang(&mut self, gang: QueuedGang) {
        self.len += gang.attempts.len();
        self.gangs.push_back(gang);
    }

    /// Takes all gangs out, to be tried in order.
    pub(crate) fn take_gangs(&mut self) -> VecDeque<QueuedGang> {
        let gangs = std::mem::take(&mut self.gangs);
        self.len -= gangs.iter().map(|gang| gang.attempts.len()).sum::<usize>();
        gangs
    }

    /// Returns the ranks and shapes that have a line, in the order of the ranks.
    pub(crate) fn lines(&self) -> Vec<(Rank, Shape)> {
        self.lines.keys().cloned().collect()
    }

    /// Returns the head of a line.
    pub(crate) fn head(&self, line: &(Rank, Shape)) -> Option<AttemptId> {
        self.lines.get(line)?.front().copied()
    }

    /// Removes the head of a line.
    pub(crate) fn pop(&mut self, line: &(Rank, Shape)) {
        let Some(waiting) = self.lines.get_mut(line) else {
            return;
        };
        if waiting.pop_front().is_some() {
            self.len -= 1;
        }
        if waiting.is_empty() {
            self.lines.remove(line);
        }
    }
}
