//! How long callers were without a holder: from the predecessor's last commit, by the store's clock.

use crate::ids::Millis;
use crate::metrics;
use crate::planner::Planner;

/// What a takeover is measured by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServiceMilestone {
    /// A job was accepted.
    Accepted,
    /// A start was ordered.
    Started,
}

impl ServiceMilestone {
    const fn word(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Started => "started",
        }
    }
}

/// What has not been seen yet since a takeover.
#[derive(Debug)]
pub(super) struct TakeoverGap {
    from_store_ms: Millis,
    awaited: Vec<ServiceMilestone>,
}

impl TakeoverGap {
    pub(super) fn after(predecessor_written_store_ms: Millis) -> Self {
        Self {
            from_store_ms: predecessor_written_store_ms,
            awaited: vec![ServiceMilestone::Accepted, ServiceMilestone::Started],
        }
    }

    /// Returns the time since the predecessor's last commit, the first time that something is seen.
    fn close(&mut self, seen: ServiceMilestone, store_ms: Millis) -> Option<Millis> {
        let position = self.awaited.iter().position(|awaited| *awaited == seen)?;
        self.awaited.remove(position);
        let known = self.from_store_ms > 0 && store_ms > 0;
        known.then(|| store_ms.saturating_sub(self.from_store_ms))
    }
}

impl Planner {
    /// Notes that callers are served again.
    pub(super) fn record_resumption(&mut self, seen: ServiceMilestone) {
        let store_ms = self.store_now_ms();
        if let Some(gap_ms) = self.takeover_gap.close(seen, store_ms) {
            log::info!(seen = seen.word(), gap_ms = gap_ms, term = self.holder.term; "served again after a takeover");
            metrics::resumed(seen.word(), gap_ms);
        }
    }
}
