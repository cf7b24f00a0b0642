//! Reads the configuration, so that a change is in force in time even if some readings are never
//! answered. A node whose readings are not answered also asks the holder.

use std::sync::Arc;

use chervilfall_planner::RowVersion;

use crate::clock::now_ms;
use crate::configuration::ConfigurationState;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::{ConfigurationQuery, ConfigurationReading, FoundConfiguration, Store};
use crate::watch::change_cursor::ChangeCursor;
use crate::watch::readings::{HedgedReads, ReadEvent, ReadingTimes};

/// Size up to which the configuration is read at each poll if answers about changes may be late for
/// the time in which it must be in force, in bytes. A link of 10 Mbit/s carries this much in 0.15 s,
/// also in base64.
const MAX_POLLED_BYTES: usize = 131_072;

/// Time until a row has arrived up to which the holder reads it at each poll.
const HOLDER_MAX_READ_MS: u64 = 100;

/// Minimum time in which a configuration must be in force, in multiples of the time by which answers
/// about changes may be late, for changes of a large configuration to be asked for.
const MIN_LAGS_PER_APPLY: u64 = 2;
/// The same for a configuration of any size: a poll, a late answer and a lost reading fit into it.
const AMPLE_LAGS_PER_APPLY: u64 = 4;

/// Number of unanswered readings from which the holder is asked too.
const ASK_HOLDER_AFTER: usize = 2;

/// Returns timings with which a change is in force within `apply_ms`, even if three readings in a
/// row are not answered or each takes half of that time.
const fn times_within(apply_ms: u64) -> ReadingTimes {
    ReadingTimes {
        poll_ms: apply_ms * 3 / 10,
        min_hedge_ms: apply_ms * 3 / 20,
        max_hedge_ms: apply_ms / 4,
        max_arrival_ms: apply_ms * 4 / 5,
    }
}

/// Returns the size up to which the configuration is read at each poll. Larger ones are read only
/// when the store reports a change: what all nodes of a large fleet read at each poll is most of
/// what the store sends.
const fn max_polled_bytes(apply_ms: u64, changes_lag_ms: u64) -> usize {
    if apply_ms >= AMPLE_LAGS_PER_APPLY * changes_lag_ms {
        0
    } else if apply_ms >= MIN_LAGS_PER_APPLY * changes_lag_ms {
        MAX_POLLED_BYTES
    } else {
        usize::MAX
    }
}

/// Keeps the configuration in force up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    configuration: Arc<ConfigurationState>,
    leadership: Arc<LeadershipState>,
    apply_ms: u64,
) {
    let mut reader = Reader {
        configuration,
        max_polled_bytes: max_polled_bytes(apply_ms, S::CHANGES_LAG_MS),
        known: None,
        cursor: ChangeCursor::default(),
        unreadable: false,
    };
    let mut readings = HedgedReads::new("configuration", times_within(apply_ms));
    loop {
        let event = tokio::select! {
            event = readings.next_event() => event,
            () = reader.configuration.reading_requested() => {
                readings.read_soon();
                continue;
            }
        };
        match event {
            ReadEvent::Due => {
                if readings.unanswered() >= ASK_HOLDER_AFTER {
                    reader.ask_holder(&leadership);
                }
                let (store, query) = (store.clone(), reader.query(&leadership.current()));
                readings.begin(|progress| async move {
                    store.read_configuration(query, progress).await
                });
            }
            ReadEvent::Answered {
                began_ms,
                arrived_ms,
                value,
            } => {
                if value.found == FoundConfiguration::Absent {
                    readings.read_soon();
                }
                let took_ms = arrived_ms.unwrap_or_else(now_ms).saturating_sub(began_ms);
                reader.apply(value, began_ms, took_ms);
            }
            ReadEvent::None => {}
        }
        metrics::gauge!("chervilfall_configuration_readings_unanswered")
            .set(readings.unanswered() as f64);
    }
}

/// A row that was read.
#[derive(Debug, Clone, Copy)]
struct KnownRow {
    version: RowVersion,
    bytes: usize,
    /// Time until it had arrived.
    took_ms: u64,
}

struct Reader {
    configuration: Arc<ConfigurationState>,
    /// Size up to which the configuration is read at each poll.
    max_polled_bytes: usize,
    /// The newest row that was read.
    known: Option<KnownRow>,
    /// Where to ask for changes of that row from.
    cursor: ChangeCursor,
    /// That row cannot be decoded, so an older configuration is in force.
    unreadable: bool,
}

impl Reader {
    /// Asks the holder for its configuration, as the store may answer the holder but not this node.
    fn ask_holder(&self, leadership: &LeadershipState) {
        if let Leadership::Remote(link) = leadership.current() {
            link.ask_configuration(self.configuration.version());
        }
    }

    /// Returns how to read the configuration next.
    ///
    /// Other nodes ask the holder how recently it knew the configuration to be the newest, so a holder
    /// whose link carries the row quickly reads it each time: answers about changes confirm less.
    fn query(&self, leadership: &Leadership) -> ConfigurationQuery {
        let holds = matches!(leadership, Leadership::Local);
        let polls = |row: KnownRow| {
            row.bytes <= self.max_polled_bytes || (holds && row.took_ms <= HOLDER_MAX_READ_MS)
        };
        match self.known {
            Some(row) if !polls(row) => ConfigurationQuery::Changes {
                since: self.cursor.since(),
            },
            known => ConfigurationQuery::Row {
                known: known.map(|row| row.version),
            },
        }
    }

    fn apply(&mut self, reading: ConfigurationReading, began_ms: u64, took_ms: u64) {
        // All changes up to this time are known.
        let at_ms = began_ms.saturating_sub(reading.lag_ms);
        self.configuration.record_answer(began_ms, at_ms);
        if reading.lag_ms == 0 {
            self.cursor.record_known(reading.as_of);
        }
        match reading.found {
            FoundConfiguration::Absent => {}
            FoundConfiguration::Unchanged => {
                let (as_of, lag_ms) = (reading.as_of, reading.lag_ms);
                self.cursor
                    .record_unchanged(began_ms, now_ms(), as_of, lag_ms);
                if !self.unreadable {
                    self.configuration.confirm(at_ms);
                }
            }
            FoundConfiguration::Changed {
                version,
                bytes,
                table,
            } => {
                let row = KnownRow {
                    version,
                    bytes,
                    took_ms,
                };
                self.record_row(row, false);
                self.configuration.put_in_force(Arc::new(table), at_ms);
            }
            FoundConfiguration::Unreadable {
                version,
                bytes,
                error,
            } => {
                let row = KnownRow {
                    version,
                    bytes,
                    took_ms,
                };
                self.record_row(row, true);
                let in_force = self.configuration.version();
                log::error!(
                    row = version, in_force = in_force, error:% = error;
                    "configuration cannot be read, the previous one stays in force"
                );
            }
        }
    }

    fn record_row(&mut self, row: KnownRow, unreadable: bool) {
        self.known = Some(row);
        self.cursor.record_known(row.version);
        self.unreadable = unreadable;
        metrics::gauge!("chervilfall_configuration_bytes").set(row.bytes as f64);
        metrics::gauge!("chervilfall_configuration_unreadable")
            .set(f64::from(u8::from(unreadable)));
    }
}
