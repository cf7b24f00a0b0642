//! Reads the configuration, so that a change is in force in time even if some readings are never
//! answered. A node whose readings are not answered also asks the holder.

use std::sync::Arc;

use chervilfall_planner::RowVersion;

use crate::configuration::ConfigurationState;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::{ConfigurationReading, Store};
use crate::watch::readings::{HedgedReads, ReadEvent, ReadingTimes};

/// Number of unanswered readings from which the holder is asked too.
const ASK_HOLDER_AFTER: usize = 2;

/// Returns timings with which a change is in force within `apply_ms`, even if three readings in a
/// row are not answered or each takes half of that time.
const fn times_within(apply_ms: u64) -> ReadingTimes {
    ReadingTimes {
        poll_ms: apply_ms * 3 / 10,
        min_hedge_ms: apply_ms * 3 / 20,
        max_hedge_ms: apply_ms / 4,
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
        known: None,
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
                let (store, known) = (store.clone(), reader.known);
                readings.begin(async move { store.read_configuration(known).await });
            }
            ReadEvent::Answered { began_ms, value } => {
                if value == ConfigurationReading::Absent {
                    readings.read_soon();
                }
                reader.apply(value, began_ms);
            }
            ReadEvent::None => {}
        }
        metrics::gauge!("chervilfall_configuration_readings_unanswered")
            .set(readings.unanswered() as f64);
    }
}

struct Reader {
    configuration: Arc<ConfigurationState>,
    /// Version of the newest row that was read.
    known: Option<RowVersion>,
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

    fn apply(&mut self, found: ConfigurationReading, began_ms: u64) {
        self.configuration.record_answer(began_ms);
        match found {
            ConfigurationReading::Absent => {}
            ConfigurationReading::Unchanged if self.unreadable => {}
            ConfigurationReading::Unchanged => self.configuration.confirm(began_ms),
            ConfigurationReading::Changed { version, table } => {
                self.record_row(version, false);
                self.configuration.put_in_force(Arc::new(table), began_ms);
            }
            ConfigurationReading::Unreadable { version, error } => {
                self.record_row(version, true);
                let in_force = self.configuration.version();
                log::error!(
                    row = version, in_force = in_force, error:% = error;
                    "configuration cannot be read, the previous one stays in force"
                );
            }
        }
    }

    fn record_row(&mut self, version: RowVersion, unreadable: bool) {
        self.known = Some(version);
        self.unreadable = unreadable;
        metrics::gauge!("chervilfall_configuration_unreadable")
            .set(f64::from(u8::from(unreadable)));
    }
}
