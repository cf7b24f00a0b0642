//! Reads the configuration.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::RowVersion;
use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::configuration::ConfigurationState;
use crate::control::ControlEvent;
use crate::ports::Store;
use crate::watch::Dependency;

/// Shortest pause after a failed reading.
const RETRY_MS: u64 = 150;

/// Keeps the configuration in force up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    configuration: Arc<ConfigurationState>,
    control: mpsc::Sender<ControlEvent>,
    poll_ms: u64,
) {
    let mut dependency = Dependency::new("configuration");
    let mut known: Option<RowVersion> = None;
    let mut failed_in_a_row: u64 = 0;
    loop {
        let began_ms = now_ms();
        let read = store.read_configuration(known).await;
        dependency.note(&read);
        failed_in_a_row = if read.is_err() {
            failed_in_a_row + 1
        } else {
            0
        };
        metrics::gauge!("chervilfall_configuration_readings_failed_in_a_row")
            .set(failed_in_a_row as f64);
        if failed_in_a_row > 1 {
            log::warn!(
                in_a_row = failed_in_a_row, took_ms = now_ms() - began_ms, age_ms = configuration.age_ms();
                "configuration cannot be read"
            );
        }
        let pause_ms = match read {
            Ok(Some((version, table))) => {
                known = Some(version);
                let table = Arc::new(table);
                if configuration.put(Arc::clone(&table), began_ms) {
                    // The control thread ends with the process only.
                    drop(control.send(ControlEvent::Routes(table)).await);
                }
                poll_ms
            }
            Ok(None) if known.is_some() => {
                configuration.confirm(began_ms);
                poll_ms
            }
            Ok(None) | Err(_) => RETRY_MS.min(poll_ms),
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
