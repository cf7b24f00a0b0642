//! How long callers were without a holder: from the predecessor's last commit, by the store's clock.

use crate::ids::Millis;
use crate::meters;
use crate::planner::Planner;

/// What a takeover is measured by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Resumed {
    /// A job was accepted.
    Accepted,
    /// A start was ordered.
    Started,
}

impl Resumed {
    const fn word(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Started => "started",
        }
    }
}

/// What has not been seen yet since a takeover.
#[derive(Debug)]
pub(super) struct Gap {
    from_store_ms: Millis,
    awaited: Vec<Resumed>,
}

impl Gap {
    pub(super) fn after(predecessor_written_store_ms: Millis) -> Self {
        Self {
            from_store_ms: predecessor_written_store_ms,
            awaited: vec![Resumed::Accepted, Resumed::Started],
        }
    }

    /// Returns the time since the predecessor's last commit, the first time that something is seen.
    fn close(&mut self, seen: Resumed, store_ms: Millis) -> Option<Millis> {
        let position = self.awaited.iter().position(|awaited| *awaited == seen)?;
        self.awaited.remove(position);
        let known = self.from_store_ms > 0 && store_ms > 0;
        known.then(|| store_ms.saturating_sub(self.from_store_ms))
    }
}

impl Planner {
    /// Notes that callers are served again.
    pub(super) fn resumed(&mut self, seen: Resumed) {
        let store_ms = self.store_now_ms();
        if let Some(gap_ms) = self.gap.close(seen, store_ms) {
            log::info!(seen = seen.word(), gap_ms = gap_ms, term = self.holder.term; "served again after a takeover");
            meters::resumed(seen.word(), gap_ms);
        }
    }
}
