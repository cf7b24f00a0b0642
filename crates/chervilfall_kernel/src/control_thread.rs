//! The one thread that holds control state; everything else talks to it through a bounded queue.

use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};

/// Most events that are handled before actions are carried out.
const BATCH: usize = 256;

/// What runs on the control thread.
pub trait ControlLoop: Send + 'static {
    /// What it is told.
    type Event: Send + 'static;

    /// Handles an event.
    fn handle(&mut self, event: Self::Event);

    /// Does what is due; called at least once an interval.
    fn tick(&mut self);

    /// Does what is done once for all events that were handled together, or for a tick.
    fn batch_handled(&mut self) {}

    /// Takes note of what the thread has just worked off.
    fn worked(&mut self, _work: Work) {}
}

/// What the thread has worked off at a stretch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Events that were handled; none for a tick.
    pub events: usize,
    /// Events that wait behind them.
    pub waiting: usize,
    /// How long it took.
    pub took: Duration,
}

/// Why the control thread can't be started.
#[derive(Debug, thiserror::Error)]
#[error("can't start the control thread: {0}")]
pub struct ControlThreadError(#[from] std::io::Error);

/// A running control thread; it ends when all senders of its queue are gone.
#[derive(Debug)]
pub struct ControlThread {
    _handle: thread::JoinHandle<()>,
}

impl ControlThread {
    /// Spawns the thread that reads `receiver` and ticks at least once in `tick_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or its timer can't be started.
    pub fn spawn<Loop: ControlLoop>(
        receiver: mpsc::Receiver<Loop::Event>,
        tick_ms: u64,
        control: Loop,
    ) -> Result<Self, ControlThreadError> {
        let runtime = Builder::new_current_thread().enable_time().build()?;
        let handle = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || runtime.block_on(run(receiver, tick_ms, control)))?;
        Ok(Self { _handle: handle })
    }
}

async fn run<Loop: ControlLoop>(
    mut receiver: mpsc::Receiver<Loop::Event>,
    tick_ms: u64,
    mut control: Loop,
) {
    let mut ticks = interval(Duration::from_millis(tick_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        let events = tokio::select! {
            biased;
            _ = ticks.tick() => None,
            count = receiver.recv_many(&mut batch, BATCH) => Some(count),
        };
        let began = Instant::now();
        match events {
            None => control.tick(),
            Some(0) => return,
            Some(_) => {
                for event in batch.drain(..) {
                    control.handle(event);
                }
            }
        }
        control.batch_handled();
        control.worked(Work {
            events: events.unwrap_or(0),
            waiting: receiver.len(),
            took: began.elapsed(),
        });
    }
}
