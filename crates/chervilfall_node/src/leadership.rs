//! Who holds the group, as this node sees it.

use std::sync::Arc;

use chervilfall_planner::{Answer, Millis, Request};
use tokio::sync::{oneshot, watch};

use crate::link::HolderLink;

/// Who holds the group.
#[derive(Debug, Clone, Default)]
pub(crate) enum Leadership {
    /// Nobody that this node can reach.
    #[default]
    NoHolder,
    /// This node.
    Local,
    /// A node that this one is linked to.
    Remote(Arc<HolderLink>),
}

/// What the node knows of the holder; shared by its tasks.
#[derive(Debug)]
pub(crate) struct LeadershipState {
    sender: watch::Sender<Leadership>,
}

impl LeadershipState {
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(Leadership::NoHolder),
        }
    }

    pub(crate) fn set(&self, leadership: Leadership) {
        self.sender.send_replace(leadership);
    }

    pub(crate) fn current(&self) -> Leadership {
        self.sender.borrow().clone()
    }

    /// Waits until `wanted` holds; returns None only while the process ends.
    pub(crate) async fn wait_until(&self, wanted: fn(&Leadership) -> bool) -> Option<Leadership> {
        let mut changes = self.sender.subscribe();
        let found = changes.wait_for(wanted).await;
        found.ok().map(|leadership| leadership.clone())
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Leadership> {
        self.sender.subscribe()
    }
}

/// A request on its way to the planner.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// What a holder tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HolderHealth {
    pub(crate) term: u64,
    pub(crate) claim_age_ms: Millis,
}
