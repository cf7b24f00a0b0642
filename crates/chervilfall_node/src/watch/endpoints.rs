//! Reads the list of endpoints and the evacuations of failure domains while this node holds the
//! group, so that starts to a leaving endpoint end in time even if some readings are never answered.

use std::collections::BTreeSet;
use std::sync::Arc;

use chervilfall_planner::{DomainName, EndpointEntry};
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::leadership::{Leadership, LeadershipState};
use crate::ports::{EvacuationList, Store};
use crate::watch::readings::{HedgedReads, ReadEvent, ReadingTimes};

/// Returns timings with which three readings in a row may be lost within `bound_ms`. Lists are long,
/// so the next reading waits longer if answers take long.
pub(crate) const fn times_within(poll_ms: u64, bound_ms: u64) -> ReadingTimes {
    ReadingTimes {
        poll_ms,
        min_hedge_ms: bound_ms * 3 / 20,
        max_hedge_ms: bound_ms * 3 / 5,
        max_arrival_ms: 0,
    }
}

/// Keeps the planner's list of endpoints up to date.
pub(crate) async fn watch<S: Store>(
    store: S,
    leadership: Arc<LeadershipState>,
    control: mpsc::Sender<ControlEvent>,
    times: ReadingTimes,
) {
    let holds = |leadership: &Leadership| matches!(leadership, Leadership::Local);
    while leadership.wait_until(holds).await.is_some() {
        let mut readings = HedgedReads::new("endpoint list", times);
        let mut newest = 0;
        let mut evacuations = EvacuationList::default();
        while holds(&leadership.current()) {
            match readings.next_event().await {
                ReadEvent::Due => {
                    let store = store.clone();
                    readings.begin(|_| async move { store.read_endpoints().await });
                }
                // What was requested later may have been read earlier, so older versions are dropped.
                ReadEvent::Answered {
                    began_ms, value, ..
                } => {
                    if value.evacuations.version >= evacuations.version {
                        evacuations = value.evacuations;
                    }
                    if value.version >= newest {
                        newest = value.version;
                        let domains = evacuations.domains.clone();
                        send_entries(&control, began_ms, value.entries, domains).await;
                    }
                }
                ReadEvent::None => {}
            }
        }
    }
}

async fn send_entries(
    control: &mpsc::Sender<ControlEvent>,
    read_ms: u64,
    entries: Vec<EndpointEntry>,
    evacuated: BTreeSet<DomainName>,
) {
    // The control thread runs until the process ends, so the send does not fail.
    let event = ControlEvent::Endpoints {
        read_ms,
        entries,
        evacuated,
    };
    drop(control.send(event).await);
}
