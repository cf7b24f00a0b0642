//! Reads the list of endpoints while this node holds the group.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::control::ControlEvent;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::Store;
use crate::watch::Dependency;

/// Keeps the planner's list of endpoints up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    leadership: Arc<LeadershipState>,
    control: mpsc::Sender<ControlEvent>,
    poll_ms: u64,
) {
    let mut dependency = Dependency::new("endpoint list");
    loop {
        let held = leadership
            .wait_until(|leadership| matches!(leadership, Leadership::Local))
            .await;
        if held.is_none() {
            return;
        }
        let read_ms = now_ms();
        let read = store.read_endpoints().await;
        dependency.note(&read);
        if let Ok(entries) = read {
            // The control thread ends with the process only.
            let event = ControlEvent::Endpoints { read_ms, entries };
            drop(control.send(event).await);
        }
        tokio::time::sleep(Duration::from_millis(poll_ms)).await;
    }
}
