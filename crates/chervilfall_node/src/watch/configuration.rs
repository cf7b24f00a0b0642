//! Reads the configuration.

use std::sync::Arc;
use std::time::Duration;

use chervilfall_planner::RowVersion;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::front::Front;
use crate::ports::Store;
use crate::routes::RouteTable;
use crate::watch::Dependency;

/// Shortest pause after a failed reading.
const RETRY_MS: u64 = 150;

/// Keeps the configuration in force up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    front: Arc<Front>,
    control: mpsc::Sender<ControlEvent>,
    poll_ms: u64,
) {
    let mut dependency = Dependency::new("configuration");
    let mut known: Option<RowVersion> = None;
    loop {
        let read = store.read_configuration(known).await;
        dependency.note(&read);
        let pause_ms = match read {
            Ok(Some((version, table))) => {
                known = Some(version);
                put_in_force(table, &front, &control).await;
                poll_ms
            }
            Ok(None) if known.is_some() => poll_ms,
            Ok(None) | Err(_) => RETRY_MS.min(poll_ms),
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn put_in_force(table: RouteTable, front: &Front, control: &mpsc::Sender<ControlEvent>) {
    let older = front
        .routes()
        .is_some_and(|current| current.version > table.version);
    if older {
        log::warn!(version = table.version; "older configuration ignored");
        return;
    }
    log::info!(version = table.version, routes = table.routes.len(); "configuration in force");
    let table = Arc::new(table);
    front.set_routes(Arc::clone(&table));
    // The control thread ends with the process only.
    drop(control.send(ControlEvent::Routes(table)).await);
}
