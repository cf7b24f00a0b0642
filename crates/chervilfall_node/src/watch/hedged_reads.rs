//! Readings of the store of which some are never answered.
//!
//! A reading that is not answered soon does not hold up the next one: it may wait on a connection that has gone silent
//! for good, and whether it has can't be told from a store that is slow.

use std::future::Future;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinError, JoinSet};

use crate::clock::now_ms;
use crate::ports::StoreError;
use crate::watch::DependencyStatus;

/// Readings that may be on their way at the same time.
const MAX_IN_FLIGHT: usize = 4;
/// Pause after a reading that was refused, and the shortest between two.
pub(crate) const RETRY_MS: u64 = 150;

/// When the next reading begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadingTimes {
    /// From the begin of one that was answered.
    pub(crate) poll_ms: u64,
    /// From the begin of one that is not answered, at least.
    pub(crate) min_hedge_ms: u64,
    /// From the begin of one that is not answered, at most.
    pub(crate) max_hedge_ms: u64,
}

impl ReadingTimes {
    /// Returns when a reading that is not answered is joined by another one: later if answers take long, so that a thin
    /// link is not filled with the same answer several times.
    fn hedge_ms(&self, last_took_ms: u64) -> u64 {
        (2 * last_took_ms).clamp(self.min_hedge_ms, self.max_hedge_ms)
    }
}

/// What a reader has to do next.
#[derive(Debug)]
pub(crate) enum ReadEvent<T> {
    /// A reading is due.
    Due,
    /// A reading was answered that began later than all that were answered before.
    Answered {
        /// When it began.
        began_ms: u64,
        /// What it shows.
        value: T,
    },
    /// Nothing.
    None,
}

/// A reading that has ended.
struct Reading<T> {
    began_ms: u64,
    read: Result<T, StoreError>,
}

/// Readings of one thing.
pub(crate) struct HedgedReads<T> {
    times: ReadingTimes,
    dependency: DependencyStatus,
    running: JoinSet<Reading<T>>,
    /// Readings that are on their way, and when they began.
    pending: Vec<(u64, AbortHandle)>,
    due_ms: u64,
    last_began_ms: u64,
    /// When the latest of those began that were answered.
    answered_ms: u64,
    last_took_ms: u64,
    failed_in_a_row: usize,
}

impl<T: Send + 'static> HedgedReads<T> {
    /// Returns readings of which the first is due now.
    pub(crate) fn new(name: &'static str, times: ReadingTimes) -> Self {
        Self {
            times,
            dependency: DependencyStatus::new(name),
            running: JoinSet::new(),
            pending: Vec::new(),
            due_ms: now_ms(),
            last_began_ms: 0,
            answered_ms: 0,
            last_took_ms: 0,
            failed_in_a_row: 0,
        }
    }

    /// Returns how many readings are not answered: those on their way, and the last ones that failed.
    pub(crate) fn unanswered(&self) -> usize {
        self.pending.len() + self.failed_in_a_row
    }

    /// Waits until a reading has ended or the next one is due.
    pub(crate) async fn next_event(&mut self) -> ReadEvent<T> {
        let may_begin = self.running.len() < MAX_IN_FLIGHT;
        let wait = Duration::from_millis(self.due_ms.saturating_sub(now_ms()));
        tokio::select! {
            Some(reading) = self.running.join_next() => self.handle_finished(reading),
            () = tokio::time::sleep(wait), if may_begin => ReadEvent::Due,
        }
    }

    /// Begins a reading.
    pub(crate) fn begin(
        &mut self,
        read: impl Future<Output = Result<T, StoreError>> + Send + 'static,
    ) {
        let began_ms = now_ms();
        let handle = self.running.spawn(async move {
            let read = read.await;
            Reading { began_ms, read }
        });
        self.pending.push((began_ms, handle));
        self.last_began_ms = began_ms;
        self.due_ms = began_ms + self.times.hedge_ms(self.last_took_ms);
    }

    /// Lets the next reading begin now, unless one has begun just now.
    pub(crate) fn read_soon(&mut self) {
        let soonest_ms = self.last_began_ms + RETRY_MS;
        self.due_ms = self.due_ms.min(now_ms().max(soonest_ms));
    }

    fn handle_finished(&mut self, reading: Result<Reading<T>, JoinError>) -> ReadEvent<T> {
        let Reading { began_ms, read } = match reading {
            Ok(reading) => reading,
            Err(error) => {
                if !error.is_cancelled() {
                    log::error!(error:% = error; "reading ended badly");
                }
                return ReadEvent::None;
            }
        };
        self.dependency.note(&read);
        match read {
            Ok(value) => self.answered(began_ms, value),
            Err(error) => {
                self.failed(began_ms, &error);
                ReadEvent::None
            }
        }
    }

    /// Gives up readings that could tell only what is known, and plans the next one.
    fn answered(&mut self, began_ms: u64, value: T) -> ReadEvent<T> {
        self.failed_in_a_row = 0;
        self.pending.retain(|(other_ms, handle)| {
            let newer = *other_ms > began_ms;
            if !newer {
                handle.abort();
            }
            newer
        });
        if began_ms <= self.answered_ms {
            return ReadEvent::None;
        }
        self.answered_ms = began_ms;
        self.last_took_ms = now_ms() - began_ms;
        if self.pending.is_empty() {
            self.due_ms = began_ms + self.times.poll_ms;
        }
        ReadEvent::Answered { began_ms, value }
    }

    fn failed(&mut self, began_ms: u64, error: &StoreError) {
        self.pending.retain(|(other_ms, _)| *other_ms != began_ms);
        self.failed_in_a_row += 1;
        let now_ms = now_ms();
        if self.failed_in_a_row > 1 {
            log::warn!(
                of = self.dependency.name(), in_a_row = self.failed_in_a_row, took_ms = now_ms - began_ms,
                error:% = error;
                "reading failed again"
            );
        }
        // What is malformed now is malformed again a moment later.
        let pause_ms = match error {
            StoreError::Malformed(_) => self.times.poll_ms,
            StoreError::Refused(_) | StoreError::Unanswered(_) => RETRY_MS,
        };
        self.due_ms = self.due_ms.min(now_ms + pause_ms);
    }
}
