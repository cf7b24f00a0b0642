//! How late the threads that make this node's calls run their tasks.

use std::future::Future;
use std::time::Instant;

use chervilfall_planner::Millis;

use super::{Control, ControlEvent};
use crate::ports::Platform;

/// A thread whose lag is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MeasuredThread {
    /// It makes the node's own calls.
    Traffic,
    /// It sends orders to relays, and all other messages of links.
    Links,
}

/// Measures the lag of a thread by a task at a time that does nothing.
#[derive(Debug, Default)]
pub(super) struct ThreadLag {
    /// When the task that has not run yet was spawned.
    spawned: Option<Instant>,
    /// How long the last one waited.
    last_ms: Millis,
    /// The longest wait since the last report.
    max_ms: Millis,
}

impl ThreadLag {
    /// Begins a measurement; returns false if one is in progress.
    fn begin(&mut self, now: Instant) -> bool {
        let begins = self.spawned.is_none();
        self.spawned.get_or_insert(now);
        begins
    }

    /// Returns how late tasks run as of `now`.
    fn ms(&self, now: Instant) -> Millis {
        let waits = self.spawned.map(|spawned| millis_between(spawned, now));
        self.last_ms.max(waits.unwrap_or(0))
    }

    /// Records that the task has run.
    fn record(&mut self, ran: Instant) {
        if let Some(spawned) = self.spawned.take() {
            self.last_ms = millis_between(spawned, ran);
            self.max_ms = self.max_ms.max(self.last_ms);
        }
    }

    /// Takes the longest wait since the last time, in milliseconds.
    pub(super) fn take_max_ms(&mut self, now: Instant) -> Millis {
        std::mem::take(&mut self.max_ms).max(self.ms(now))
    }
}

/// Lags of the threads.
#[derive(Debug, Default)]
pub(super) struct ThreadLags {
    pub(super) traffic: ThreadLag,
    pub(super) links: ThreadLag,
}

impl ThreadLags {
    /// Records that the task of a thread has run.
    pub(super) fn record(&mut self, thread: MeasuredThread, ran: Instant) {
        match thread {
            MeasuredThread::Traffic => self.traffic.record(ran),
            MeasuredThread::Links => self.links.record(ran),
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> Millis {
    let passed = to.saturating_duration_since(from);
    Millis::try_from(passed.as_millis()).unwrap_or(Millis::MAX)
}

impl<P: Platform> Control<P> {
    /// Begins a measurement of each thread on which none is in progress.
    pub(super) fn measure_lags(&mut self) {
        let now = Instant::now();
        if self.lags.traffic.begin(now) {
            self.context
                .traffic
                .spawn(self.probe(MeasuredThread::Traffic));
        }
        if self.lags.links.begin(now) {
            self.context
                .link_thread
                .spawn(self.probe(MeasuredThread::Links));
        }
    }

    /// Returns a task that tells when it ran.
    fn probe(&self, thread: MeasuredThread) -> impl Future<Output = ()> + Send + 'static {
        let sender = self.context.sender.clone();
        async move {
            let ran = Instant::now();
            ControlEvent::ThreadProbe { thread, ran }
                .send(&sender)
                .await;
        }
    }

    /// Tells the planner how late this node makes its calls.
    pub(super) fn report_lag(&mut self) {
        let now = Instant::now();
        let lag_ms = self.lags.traffic.ms(now).max(self.lags.links.ms(now));
        if let Some(planner) = &mut self.planner {
            planner.record_lag(lag_ms);
        }
    }
}
