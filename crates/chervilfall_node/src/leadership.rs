//! Who holds the group, as this node sees it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use chervilfall_planner::{Answer, Millis, Request};
use tokio::sync::{oneshot, watch};

use crate::link::HolderLink;

/// Who holds the group.
#[derive(Debug, Clone, Default)]
pub(crate) enum Leadership {
    /// No holder that this node can reach.
    #[default]
    NoHolder,
    /// This node.
    Local,
    /// Another node, which this one has a link to.
    Remote(Arc<HolderLink>),
}

/// What this node knows about the holder; shared by its tasks.
#[derive(Debug)]
pub(crate) struct LeadershipState {
    sender: watch::Sender<Leadership>,
    /// This node has released the group, and its claim watch has not been told yet.
    released: AtomicBool,
    /// Highest term of a holder that this node has heard of.
    latest_term: AtomicU64,
}

impl LeadershipState {
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(Leadership::NoHolder),
            released: AtomicBool::new(false),
            latest_term: AtomicU64::new(0),
        }
    }

    pub(crate) fn set(&self, leadership: Leadership) {
        self.sender.send_replace(leadership);
    }

    /// Records a holder's term; returns false if a later one is known.
    pub(crate) fn note_term(&self, term: u64) -> bool {
        self.latest_term.fetch_max(term, Ordering::AcqRel) <= term
    }

    /// Records that this node has released the group.
    pub(crate) fn record_release(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// Returns whether this node has released the group since the last call.
    pub(crate) fn take_release(&self) -> bool {
        self.released.swap(false, Ordering::AcqRel)
    }

    pub(crate) fn current(&self) -> Leadership {
        self.sender.borrow().clone()
    }

    /// Waits until `condition` holds; returns `None` only while the process ends.
    pub(crate) async fn wait_until(
        &self,
        condition: fn(&Leadership) -> bool,
    ) -> Option<Leadership> {
        let mut changes = self.sender.subscribe();
        let found = changes.wait_for(condition).await;
        found.ok().map(|leadership| leadership.clone())
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Leadership> {
        self.sender.subscribe()
    }
}

/// A request in flight to the planner, and the channel for its answer.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// State that a holder reports in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HolderHealth {
    pub(crate) term: u64,
    pub(crate) claim_age_ms: Millis,
}
