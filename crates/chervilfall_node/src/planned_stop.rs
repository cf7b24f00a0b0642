//! A planned stop: one deadline, counted from the first signal, from which all waits are cut.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use chervilfall_kernel::{Deadline, DeadlinePassed};
use tokio::sync::watch;

use crate::clock::clock;

/// Time in which answers reach their callers, in milliseconds: some round trips of a busy link.
const ANSWER_MS: u64 = 300;
/// Time in which a process ends once nothing is left to do, in milliseconds.
const EXIT_MS: u64 = 200;

/// How long the parts of a planned stop last, each counted from its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// Time in which connections are accepted and kept, so that callers can move to other nodes. After
    /// it, no request waits for a holder: a caller is served sooner elsewhere, or by the process that
    /// comes after this one.
    pub linger: Duration,
    /// Time after which no request waits any longer, also if it may have run.
    pub answer: Duration,
    /// Time after which the process ends, whatever is left to do.
    pub end: Duration,
}

impl StopTimes {
    /// Returns the times for a process that is killed `kill_ms` after the signal and lingers for
    /// `linger_ms` if that leaves as much time again for requests in flight.
    #[must_use]
    pub fn new(kill_ms: u64, linger_ms: u64) -> Self {
        let end_ms = kill_ms.saturating_sub(EXIT_MS);
        let answer_ms = end_ms.saturating_sub(ANSWER_MS);
        Self {
            linger: Duration::from_millis(linger_ms.min(answer_ms / 2)),
            answer: Duration::from_millis(answer_ms),
            end: Duration::from_millis(end_ms),
        }
    }
}

/// Whether a request was sent to a holder, so that it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    NotSent,
    Sent,
}

/// Until when requests may wait.
#[derive(Debug, Clone, Copy)]
struct Deadlines {
    find_holder_by: Deadline,
    answer_by: Deadline,
}

/// Whether a planned stop has begun, and until when requests may wait.
#[derive(Debug)]
pub(crate) struct PlannedStop {
    deadlines: watch::Sender<Option<Deadlines>>,
}

impl PlannedStop {
    pub(crate) fn new() -> Self {
        Self {
            deadlines: watch::Sender::new(None),
        }
    }

    /// Begins the stop. Only the first call counts.
    pub(crate) fn begin(&self, times: StopTimes) {
        let first = Deadlines {
            find_holder_by: clock().deadline(times.linger),
            answer_by: clock().deadline(times.answer),
        };
        self.deadlines.send_if_modified(|deadlines| {
            let begins = deadlines.is_none();
            deadlines.get_or_insert(first);
            begins
        });
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.deadlines.borrow().is_some()
    }

    /// Returns a request's deadline, or that of the stop if it is sooner.
    pub(crate) fn cut(&self, deadline: Deadline, phase: RequestPhase) -> Deadline {
        let Some(deadlines) = *self.deadlines.borrow() else {
            return deadline;
        };
        match phase {
            RequestPhase::NotSent => deadline.min(deadlines.find_holder_by),
            RequestPhase::Sent => deadline.min(deadlines.answer_by),
        }
    }

    /// Waits for the answer to a request that was sent until its deadline, which is cut if a stop begins
    /// meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the deadline passes first.
    pub(crate) async fn until<F: Future>(
        &self,
        deadline: Deadline,
        future: F,
    ) -> Result<F::Output, DeadlinePassed> {
        let mut future = pin!(future);
        let mut begins = self.deadlines.subscribe();
        loop {
            let waited = clock().until(self.cut(deadline, RequestPhase::Sent), &mut future);
            tokio::select! {
                biased;
                waited = waited => return waited,
                // The sender is a field of this, so the wait does not fail.
                _ = begins.changed() => {}
            }
        }
    }
}
