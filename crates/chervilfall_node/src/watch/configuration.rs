//! Reads the configuration, so that a change is in force in time although some readings are never answered.
//!
//! A reading that is not answered soon does not hold up the next one: it may wait on a connection that has gone silent
//! for good, and whether it has can't be told from a store that is slow. A node whose readings are not answered asks the
//! holder too.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::RowVersion;
use tokio::task::{AbortHandle, JoinError, JoinSet};

use crate::clock::now_ms;
use crate::configuration::ConfigurationState;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::{ConfigurationReading, Store, StoreError};
use crate::watch::Dependency;

/// Readings that may be on their way at the same time.
const MOST_READINGS: usize = 4;
/// Readings without an answer after which the holder is asked too.
const UNANSWERED: usize = 2;
/// Pause after a reading that was refused.
const RETRY_MS: u64 = 150;

/// When the next reading begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReadingTimes {
    /// From the begin of one that was answered.
    poll_ms: u64,
    /// From the begin of one that is not answered, at least.
    least_hedge_ms: u64,
    /// From the begin of one that is not answered, at most.
    most_hedge_ms: u64,
}

impl ReadingTimes {
    /// Returns times by which a change is in force within a bound, although three readings in a row are not answered,
    /// or each takes half of the bound.
    pub(crate) const fn within(apply_ms: u64) -> Self {
        Self {
            poll_ms: apply_ms * 3 / 10,
            least_hedge_ms: apply_ms * 3 / 20,
            most_hedge_ms: apply_ms / 4,
        }
    }

    /// Returns when a reading that is not answered is joined by another one: later if answers take long, so that a thin
    /// link is not filled with documents.
    fn hedge_ms(&self, last_took_ms: u64) -> u64 {
        (2 * last_took_ms).clamp(self.least_hedge_ms, self.most_hedge_ms)
    }
}

/// What came of a reading.
struct Reading {
    began_ms: u64,
    read: Result<ConfigurationReading, StoreError>,
}

/// Keeps the configuration in force up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    configuration: Arc<ConfigurationState>,
    leadership: Arc<LeadershipState>,
    times: ReadingTimes,
) {
    let mut reader = Reader {
        store,
        configuration,
        leadership,
        times,
        dependency: Dependency::new("configuration"),
        readings: JoinSet::new(),
        pending: Vec::new(),
        known: None,
        unreadable: false,
        due_ms: now_ms(),
        last_began_ms: 0,
        last_took_ms: 0,
        failed_in_a_row: 0,
    };
    loop {
        reader.step().await;
    }
}

struct Reader<S> {
    store: S,
    configuration: Arc<ConfigurationState>,
    leadership: Arc<LeadershipState>,
    times: ReadingTimes,
    dependency: Dependency,
    readings: JoinSet<Reading>,
    /// Readings that are on their way, and when they began.
    pending: Vec<(u64, AbortHandle)>,
    /// The newest row that was seen.
    known: Option<RowVersion>,
    /// That row cannot be read, so that an older configuration is in force.
    unreadable: bool,
    /// When the next reading begins.
    due_ms: u64,
    last_began_ms: u64,
    last_took_ms: u64,
    failed_in_a_row: u64,
}

impl<S: Store> Reader<S> {
    /// Waits until a reading is answered or the next one is due.
    async fn step(&mut self) {
        let may_begin = self.readings.len() < MOST_READINGS;
        let wait = Duration::from_millis(self.due_ms.saturating_sub(now_ms()));
        tokio::select! {
            Some(reading) = self.readings.join_next() => self.joined(reading),
            () = tokio::time::sleep(wait), if may_begin => self.begin(),
            () = self.configuration.wanted() => self.hasten(),
        }
    }

    /// Asks the holder for its configuration, which the store may tell to it and not to this node.
    fn ask_holder(&self) {
        if let Leadership::Remote(link) = self.leadership.current() {
            link.ask_configuration(self.configuration.version());
        }
    }

    /// Lets the next reading begin now, unless one has begun just now.
    fn hasten(&mut self) {
        let soonest_ms = self.last_began_ms + RETRY_MS;
        self.due_ms = self.due_ms.min(now_ms().max(soonest_ms));
    }

    fn begin(&mut self) {
        if self.pending.len() >= UNANSWERED || self.failed_in_a_row > 0 {
            self.ask_holder();
        }
        let began_ms = now_ms();
        let (store, known) = (self.store.clone(), self.known);
        let handle = self.readings.spawn(async move {
            let read = store.read_configuration(known).await;
            Reading { began_ms, read }
        });
        self.pending.push((began_ms, handle));
        self.last_began_ms = began_ms;
        self.due_ms = began_ms + self.times.hedge_ms(self.last_took_ms);
    }

    fn joined(&mut self, reading: Result<Reading, JoinError>) {
        match reading {
            Ok(reading) => self.ended(reading),
            Err(error) if error.is_cancelled() => {}
            Err(error) => log::error!(error:% = error; "reading of the configuration ended badly"),
        }
    }

    fn ended(&mut self, reading: Reading) {
        let Reading { began_ms, read } = reading;
        self.dependency.note(&read);
        match read {
            Ok(found) => {
                let pause_ms = match &found {
                    ConfigurationReading::Absent => RETRY_MS,
                    _ => self.times.poll_ms,
                };
                self.take(found, began_ms);
                self.succeeded(began_ms, pause_ms);
            }
            Err(error) => self.failed(began_ms, &error),
        }
        metrics::gauge!("chervilfall_configuration_readings_failed_in_a_row")
            .set(self.failed_in_a_row as f64);
    }

    fn take(&mut self, found: ConfigurationReading, began_ms: u64) {
        self.configuration.hear(began_ms);
        match found {
            ConfigurationReading::Absent => {}
            ConfigurationReading::Unchanged if self.unreadable => {}
            ConfigurationReading::Unchanged => self.configuration.confirm(began_ms),
            ConfigurationReading::Changed { version, table } => {
                if self.is_news(version, false) {
                    self.configuration.put(Arc::new(table), began_ms);
                }
            }
            ConfigurationReading::Unreadable { version, error } => {
                if self.is_news(version, true) {
                    let in_force = self.configuration.current().map(|table| table.version);
                    log::error!(row = version, in_force = in_force, error:% = error; "configuration cannot be read, the one before stays in force");
                }
            }
        }
    }

    /// Notes a row; returns false if a later reading was answered sooner.
    fn is_news(&mut self, version: RowVersion, unreadable: bool) -> bool {
        if self.known.is_some_and(|known| known >= version) {
            return false;
        }
        self.known = Some(version);
        self.unreadable = unreadable;
        metrics::gauge!("chervilfall_configuration_unreadable")
            .set(f64::from(u8::from(unreadable)));
        true
    }

    /// Gives up readings that could tell only what is known, and plans the next one.
    fn succeeded(&mut self, began_ms: u64, pause_ms: u64) {
        self.failed_in_a_row = 0;
        self.last_took_ms = now_ms() - began_ms;
        self.pending.retain(|(other_ms, handle)| {
            let newer = *other_ms > began_ms;
            if !newer {
                handle.abort();
            }
            newer
        });
        if self.pending.is_empty() {
            self.due_ms = began_ms + pause_ms;
        }
    }

    fn failed(&mut self, began_ms: u64, error: &StoreError) {
        self.pending.retain(|(other_ms, _)| *other_ms != began_ms);
        self.failed_in_a_row += 1;
        let now_ms = now_ms();
        if self.failed_in_a_row > 1 {
            log::warn!(
                in_a_row = self.failed_in_a_row, took_ms = now_ms - began_ms, error:% = error,
                age_ms = self.configuration.age_ms();
                "configuration cannot be read"
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
