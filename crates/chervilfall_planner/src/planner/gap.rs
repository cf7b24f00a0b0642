//! Measures how long callers were without a holder: the time since the predecessor's last commit,
//! by the store's clock.

use crate::ids::Millis;
use crate::metrics;
use crate::planner::Planner;

/// Event that shows that callers are served after a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceMilestone {
    /// A job was accepted.
    Accepted,
    /// A start was ordered.
    Started,
}

impl ServiceMilestone {
    const fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Started => "started",
        }
    }
}

/// Milestones that have not been reached since a takeover.
#[derive(Debug)]
pub(super) struct TakeoverGap {
    from_store_ms: Millis,
    pending: Vec<ServiceMilestone>,
}

impl TakeoverGap {
    pub(super) fn after(predecessor_written_store_ms: Millis) -> Self {
        Self {
            from_store_ms: predecessor_written_store_ms,
            pending: vec![ServiceMilestone::Accepted, ServiceMilestone::Started],
        }
    }

    /// Returns the time since the predecessor's last commit when a milestone is first reached, if
    /// both times are known.
    fn close(&mut self, seen: ServiceMilestone, store_ms: Millis) -> Option<Millis> {
        let position = self.pending.iter().position(|pending| *pending == seen)?;
        self.pending.remove(position);
        let known = self.from_store_ms > 0 && store_ms > 0;
        known.then(|| store_ms.saturating_sub(self.from_store_ms))
    }
}

impl Planner {
    /// Records that a milestone has been reached.
    pub(super) fn record_resumption(&mut self, seen: ServiceMilestone) {
        let store_ms = self.store_now_ms();
        if let Some(gap_ms) = self.takeover_gap.close(seen, store_ms) {
            log::info!(seen = seen.label(), gap_ms = gap_ms, term = self.holder.term; "service resumed after a takeover");
            metrics::resumed(seen.label(), gap_ms);
        }
    }
}
