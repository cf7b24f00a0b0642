//! Reads the configuration, so that a change is in force in time although some readings are never answered. A node whose
//! readings are not answered asks the holder too.

use std::sync::Arc;

use chervilfall_planner::RowVersion;

use crate::configuration::ConfigurationState;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::{ConfigurationReading, Store};
use crate::watch::hedged_reads::{HedgedReads, ReadEvent, ReadingTimes};

/// Readings without an answer after which the holder is asked too.
const ASK_HOLDER_AFTER: usize = 2;

/// Returns times by which a change is in force within a bound, although three readings in a row are not answered, or each
/// takes half of the bound.
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
        let step = tokio::select! {
            next_event = readings.next_event() => next_event,
            () = reader.configuration.reading_requested() => {
                readings.read_soon();
                continue;
            }
        };
        match step {
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
    /// The newest row that was seen.
    known: Option<RowVersion>,
    /// That row cannot be read, so that an older configuration is in force.
    unreadable: bool,
}

impl Reader {
    /// Asks the holder for its configuration, which the store may tell to it and not to this node.
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
                    "configuration cannot be read, the one before stays in force"
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
