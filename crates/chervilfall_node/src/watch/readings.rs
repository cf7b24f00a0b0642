//! Hedged readings of the store, of which some are never answered.
//!
//! A reading that is not answered soon does not delay the next one: it may wait on a connection
//! that has gone silent permanently, which cannot be distinguished from a slow store.

use std::future::Future;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinError, JoinSet};

use crate::clock::now_ms;
use crate::ports::{ReadProgress, StoreError};
use crate::watch::DependencyStatus;

/// Maximum number of readings in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Pause after a refused reading, and the minimum time between two readings.
pub(crate) const RETRY_MS: u64 = 150;

/// When the next reading begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadingTimes {
    /// Time since the start of a reading that was answered.
    pub poll_ms: u64,
    /// Minimum time since the start of a reading that is not answered.
    pub min_hedge_ms: u64,
    /// Maximum time since the start of a reading that is not answered.
    pub max_hedge_ms: u64,
    /// Maximum time since the start of a reading for which no other one is sent because its answer
    /// is arriving.
    pub max_arrival_ms: u64,
}

impl ReadingTimes {
    /// Returns the time after which another reading is sent beside an unanswered one: longer if
    /// answers take long, so that a slow link does not carry the same answer several times.
    fn hedge_ms(&self, last_took_ms: u64) -> u64 {
        (2 * last_took_ms).clamp(self.min_hedge_ms, self.max_hedge_ms)
    }
}

/// What a reader has to handle next.
#[derive(Debug)]
pub enum ReadEvent<T> {
    /// A reading is due.
    Due,
    /// A reading was answered that began later than all that were answered before.
    Answered {
        /// When it began.
        began_ms: u64,
        /// When its answer had arrived, before it was decoded; none if it records no progress.
        arrived_ms: Option<u64>,
        /// What it shows.
        value: T,
    },
    /// Nothing to handle.
    None,
}

/// A reading in flight.
struct PendingReading {
    began_ms: u64,
    progress: ReadProgress,
    handle: AbortHandle,
}

impl PendingReading {
    /// Returns until when no other reading is sent because of this one; none if nothing of its answer
    /// has arrived.
    fn postpones_until_ms(&self, times: ReadingTimes, now_ms: u64) -> Option<u64> {
        if self.progress.is_complete() {
            return Some(now_ms + times.min_hedge_ms);
        }
        let silent_from_ms = self.progress.last_ms()? + times.min_hedge_ms;
        Some(silent_from_ms.min(self.began_ms + times.max_arrival_ms))
    }
}

/// A reading that has ended.
struct Reading<T> {
    began_ms: u64,
    read: Result<T, StoreError>,
}

/// Readings of one item of the store.
pub struct HedgedReads<T> {
    times: ReadingTimes,
    dependency: DependencyStatus,
    running: JoinSet<Reading<T>>,
    pending: Vec<PendingReading>,
    due_ms: u64,
    last_began_ms: u64,
    /// When a reading was last requested that has not been answered.
    requested_ms: Option<u64>,
    /// When the latest reading that was answered began; none if no reading was answered yet.
    answered_ms: Option<u64>,
    last_took_ms: u64,
    failed_in_a_row: usize,
}

impl<T: Send + 'static> HedgedReads<T> {
    /// Creates readings of which the first is due now.
    #[must_use]
    pub fn new(name: &'static str, times: ReadingTimes) -> Self {
        Self {
            times,
            dependency: DependencyStatus::new(name),
            running: JoinSet::new(),
            pending: Vec::new(),
            due_ms: now_ms(),
            last_began_ms: 0,
            requested_ms: None,
            answered_ms: None,
            last_took_ms: 0,
            failed_in_a_row: 0,
        }
    }

    /// Returns the number of unanswered readings: those in flight, and the last consecutive
    /// failures.
    #[must_use]
    pub fn unanswered(&self) -> usize {
        self.pending.len() + self.failed_in_a_row
    }

    /// Waits until a reading has ended or the next one is due.
    pub async fn next_event(&mut self) -> ReadEvent<T> {
        let may_begin = self.running.len() < MAX_IN_FLIGHT;
        let wait = Duration::from_millis(self.due_ms.saturating_sub(now_ms()));
        tokio::select! {
            Some(reading) = self.running.join_next() => self.handle_finished(reading),
            () = tokio::time::sleep(wait), if may_begin => self.handle_due(),
        }
    }

    /// Postpones the next reading while an answer is arriving or being decoded: another reading would
    /// take a share of the same link or processor, and neither might end in time.
    fn handle_due(&mut self) -> ReadEvent<T> {
        let now_ms = now_ms();
        let postponed = self.pending.iter();
        let postponed =
            postponed.filter_map(|reading| reading.postpones_until_ms(self.times, now_ms));
        match postponed.max().filter(|ms| *ms > now_ms) {
            Some(postponed_ms) => {
                self.due_ms = postponed_ms;
                ReadEvent::None
            }
            None => ReadEvent::Due,
        }
    }

    /// Starts a reading, which records its progress if its answer may take long to arrive.
    pub fn begin<F>(&mut self, read: impl FnOnce(ReadProgress) -> F)
    where
        F: Future<Output = Result<T, StoreError>> + Send + 'static,
    {
        let began_ms = now_ms();
        let progress = ReadProgress::default();
        let read = read(progress.clone());
        let handle = self.running.spawn(async move {
            let read = read.await;
            Reading { began_ms, read }
        });
        self.pending.push(PendingReading {
            began_ms,
            progress,
            handle,
        });
        self.last_began_ms = began_ms;
        self.due_ms = began_ms + self.times.hedge_ms(self.last_took_ms);
    }

    /// Makes the next reading due now, or some time after the start of the last one if that is later:
    /// `RETRY_MS`, or while that one is not answered, the time after which another is sent beside it.
    pub fn read_soon(&mut self) {
        let pause_ms = if self.pending.is_empty() {
            RETRY_MS
        } else {
            self.times.min_hedge_ms
        };
        self.requested_ms = Some(now_ms());
        let soonest_ms = self.last_began_ms + pause_ms;
        self.due_ms = self.due_ms.min(now_ms().max(soonest_ms));
    }

    fn handle_finished(&mut self, reading: Result<Reading<T>, JoinError>) -> ReadEvent<T> {
        let Reading { began_ms, read } = match reading {
            Ok(reading) => reading,
            Err(error) => {
                if !error.is_cancelled() {
                    log::error!(error:% = error; "reading task failed");
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

    /// Aborts older readings, which cannot return anything newer, and schedules the next one.
    fn answered(&mut self, began_ms: u64, value: T) -> ReadEvent<T> {
        self.failed_in_a_row = 0;
        let mut pending = self.pending.iter();
        let reading = pending.find(|reading| reading.began_ms == began_ms);
        let arrived_ms = reading.and_then(|reading| reading.progress.last_ms());
        self.pending.retain(|other| {
            let newer = other.began_ms > began_ms;
            if !newer {
                other.handle.abort();
            }
            newer
        });
        // The first reading may begin at 0, in the first millisecond of the process.
        if self
            .answered_ms
            .is_some_and(|answered_ms| began_ms <= answered_ms)
        {
            return ReadEvent::None;
        }
        self.answered_ms = Some(began_ms);
        self.last_took_ms = now_ms() - began_ms;
        if self.pending.is_empty() {
            self.due_ms = began_ms + self.times.poll_ms;
        }
        match self.requested_ms.take() {
            Some(requested_ms) if requested_ms > began_ms => self.read_soon(),
            _ => {}
        }
        ReadEvent::Answered {
            began_ms,
            arrived_ms,
            value,
        }
    }

    /// Removes a reading that has failed; returns the number of bytes of its answer that arrived.
    fn end_pending(&mut self, began_ms: u64) -> u64 {
        let failed = |reading: &PendingReading| reading.began_ms == began_ms;
        let failed = self.pending.iter().position(failed);
        failed.map_or(0, |index| self.pending.remove(index).progress.bytes())
    }

    fn failed(&mut self, began_ms: u64, error: &StoreError) {
        let received_bytes = self.end_pending(began_ms);
        self.failed_in_a_row += 1;
        let now_ms = now_ms();
        if self.failed_in_a_row > 1 {
            log::warn!(
                of = self.dependency.name(), in_a_row = self.failed_in_a_row, took_ms = now_ms - began_ms,
                received_bytes = received_bytes,
                error:% = error;
                "reading failed again"
            );
        }
        // A malformed answer would be malformed again on an early retry.
        let pause_ms = match error {
            StoreError::Malformed(_) => self.times.poll_ms,
            StoreError::Refused(_) | StoreError::Unanswered(_) => RETRY_MS,
        };
        self.due_ms = self.due_ms.min(now_ms + pause_ms);
    }
}
