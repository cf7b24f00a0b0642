//! What open steps wait for.
//!
//! Each pass records the cause for every step that it cannot place. Once a second the causes are
//! exported as gauges and a log line. For a sample of the jobs, each change of a step's cause is
//! logged as well, so that the timeline of such a job shows what it waited for.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{JobId, Millis};
use crate::metrics;
use crate::planner::Planner;
use crate::tasks::StepKey;

/// Interval between reports.
const REPORT_INTERVAL_MS: Millis = 1_000;
/// Shortest interval between lines about one job, because passes are 30 ms apart.
const LINE_INTERVAL_MS: Millis = 1_000;
/// One of two to the power of this many jobs is sampled, which keeps 500 open steps below 100 lines
/// a second.
const SAMPLE_BITS: u32 = 3;

/// Why a pass could not place all tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WaitCause {
    /// Its account's quota is in use.
    Quota,
    /// A better-ranked step of its account has reserved the quota.
    Reservation,
    /// No node can make a call to the advice service.
    AdviceNode,
    /// An advice call for it is in flight.
    AdviceCall,
    /// No endpoint that it may use has the capacity.
    Capacity,
    /// The barrier after a takeover is up.
    Barrier,
    /// The text of its job has not been read.
    Text,
}

impl WaitCause {
    pub(super) const fn label(self) -> &'static str {
        match self {
            Self::Quota => "quota",
            Self::Reservation => "reservation",
            Self::AdviceNode => "advice_node",
            Self::AdviceCall => "advice_call",
            Self::Capacity => "capacity",
            Self::Barrier => "barrier",
            Self::Text => "text",
        }
    }
}

/// A step's wait for one cause.
#[derive(Debug, Clone, Copy)]
struct StepWait {
    cause: WaitCause,
    /// When a pass first recorded this cause.
    since_ms: Millis,
    /// When a pass last recorded it.
    seen_ms: Millis,
    /// The cause in the last line about the step.
    logged: Option<WaitCause>,
}

/// Number of waiting steps, by cause and priority of the queue.
type Counts = BTreeMap<(WaitCause, u32), usize>;

/// The causes recorded by the latest passes.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    steps: BTreeMap<StepKey, StepWait>,
    /// When the last line about a job was written.
    lines: BTreeMap<JobId, Millis>,
    /// Gauges that are not 0.
    shown: BTreeSet<(WaitCause, u32)>,
    reported_ms: Millis,
}

impl WaitingSteps {
    /// Records the cause of a step's wait; returns the wait if a line about it is due.
    fn record(&mut self, now: Millis, key: StepKey, cause: WaitCause) -> Option<StepWait> {
        let wait = self.steps.entry(key).or_insert(StepWait {
            cause,
            since_ms: now,
            seen_ms: now,
            logged: None,
        });
        wait.seen_ms = now;
        if wait.cause != cause {
            wait.cause = cause;
            wait.since_ms = now;
        }
        if wait.logged == Some(cause) || !is_sampled(key.job) {
            return None;
        }
        let last_ms = self.lines.get(&key.job);
        if last_ms.is_some_and(|last_ms| now.saturating_sub(*last_ms) < LINE_INTERVAL_MS) {
            return None;
        }
        self.lines.insert(key.job, now);
        wait.logged = Some(cause);
        Some(*wait)
    }

    /// Returns how long a step has waited since a pass last recorded it, and the cause then.
    fn since_seen(&self, now: Millis, key: StepKey) -> Option<(WaitCause, Millis)> {
        let wait = self.steps.get(&key)?;
        Some((wait.cause, now.saturating_sub(wait.seen_ms)))
    }

    /// Returns the cause that a pass last recorded for a step.
    pub(super) fn cause(&self, key: StepKey) -> Option<WaitCause> {
        self.steps.get(&key).map(|wait| wait.cause)
    }

    /// Forgets steps that no pass has recorded since the last report, and jobs without lines since
    /// then.
    fn retain_recent(&mut self, now: Millis, is_open: impl Fn(StepKey) -> bool) {
        let recent = |at_ms: Millis| now.saturating_sub(at_ms) < REPORT_INTERVAL_MS;
        self.steps
            .retain(|key, wait| recent(wait.seen_ms) && is_open(*key));
        self.lines.retain(|_, at_ms| recent(*at_ms));
    }

    /// Sets the gauges.
    fn export(&mut self, counts: &Counts) {
        for (cause, priority) in std::mem::take(&mut self.shown) {
            if !counts.contains_key(&(cause, priority)) {
                metrics::waiting_steps(cause.label(), priority, 0);
            }
        }
        for ((cause, priority), steps) in counts {
            metrics::waiting_steps(cause.label(), *priority, *steps);
            self.shown.insert((*cause, *priority));
        }
    }

    /// Sets all gauges to 0, because this node no longer decides about the steps.
    pub(super) fn clear(&mut self) {
        self.export(&Counts::new());
    }
}

/// Returns whether lines are written about a job's waits. All holders sample the same jobs.
const fn is_sampled(job: JobId) -> bool {
    job.spread_hash() >> (u64::BITS - SAMPLE_BITS) == 0
}

impl Planner {
    /// Records why a pass could not place a step.
    pub(super) fn note_wait(&mut self, key: StepKey, cause: WaitCause) {
        if let Some((cause, for_ms)) = self.waiting.since_seen(self.now, key) {
            self.note_gang_wait(key, cause, for_ms);
        }
        self.note_standing(key);
        if let Some(wait) = self.waiting.record(self.now, key, cause) {
            log::info!(
                step:% = key, cause = cause.label(),
                for_ms = self.now.saturating_sub(wait.since_ms);
                "step waits"
            );
        }
    }

    /// Records why a step that no quota keeps from starting is still open after its turn.
    /// `call_possible` tells whether a node could make its advice call.
    pub(super) fn note_unplaced(&mut self, key: StepKey, call_possible: bool) {
        if !self.open.contains(key) {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(progress) = job.step_progress(key) else {
            return;
        };
        let advice = &progress.advice;
        let needs_ticket = job.queue.advice.is_some() && !advice.any_ticket(self.now);
        let cause = if job.inherited && self.barrier.is_some() {
            WaitCause::Barrier
        } else if advice.calls_in_flight() > 0 {
            WaitCause::AdviceCall
        } else if needs_ticket && !call_possible {
            WaitCause::AdviceNode
        } else {
            WaitCause::Capacity
        };
        self.note_wait(key, cause);
    }

    /// Reports once a second what steps wait for.
    pub(super) fn report_waiting(&mut self) {
        if self.now.saturating_sub(self.waiting.reported_ms) < REPORT_INTERVAL_MS {
            return;
        }
        self.waiting.reported_ms = self.now;
        self.export_standing();
        let open = &self.open;
        self.waiting
            .retain_recent(self.now, |key| open.contains(key));
        let counts = self.count_waiting();
        self.waiting.export(&counts);
        if self.open.is_empty() {
            return;
        }
        let of = |cause: WaitCause| -> usize {
            let matching = counts.iter().filter(|((counted, _), _)| *counted == cause);
            matching.map(|(_, steps)| steps).sum()
        };
        log::info!(
            term = self.holder.term, open_steps = self.open.len(),
            quota = of(WaitCause::Quota), reservation = of(WaitCause::Reservation),
            advice_node = of(WaitCause::AdviceNode), advice_call = of(WaitCause::AdviceCall),
            capacity = of(WaitCause::Capacity), barrier = of(WaitCause::Barrier),
            text = of(WaitCause::Text);
            "steps wait"
        );
    }

    fn count_waiting(&self) -> Counts {
        let mut counts = Counts::new();
        for (key, wait) in &self.waiting.steps {
            if let Some(job) = self.jobs.get(&key.job) {
                *counts.entry((wait.cause, job.queue.priority)).or_default() += 1;
            }
        }
        counts
    }
}
