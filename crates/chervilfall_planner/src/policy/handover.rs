//! Decides when the holder hands the group over to another node.
//!
//! It does so for a node of much larger size, and if its control thread is overloaded, for a node
//! of at least its own size: with an overloaded holder, every answer and every start is late.

use crate::ids::Millis;

/// A holder hands the group over to a node of at least this many times its size.
const SIZE_FACTOR: u64 = 2;
/// How long a node must have been linked: one whose links keep breaking would hold the group only
/// briefly.
const LINK_AGE_MS: Millis = 1_000;
/// Mean wait of events above which the control thread is overloaded. A healthy one takes a few
/// milliseconds.
const OVERLOAD_WAIT_MS: Millis = 50;
/// How long the overload must last: longer than a burst of requests or the first passes after a
/// takeover.
const OVERLOAD_MS: Millis = 2_000;
/// Longest part of the overload that one report proves, so that a paused process is not taken for
/// an overloaded one.
const MAX_REPORT_MS: Millis = 1_000;
/// Shortest time from a takeover, or from the last handover that was tried, to a handover because
/// of overload. Each handover costs a takeover, and the same load may overload the next holder.
const OVERLOAD_INTERVAL_MS: Millis = 10_000;

/// Why a holder hands the group over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandoverReason {
    /// A node of much larger size is linked.
    LargerNode,
    /// The control thread is overloaded.
    Overload,
}

impl HandoverReason {
    /// Returns the reason's name in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::LargerNode => "larger_node",
            Self::Overload => "overload",
        }
    }
}

/// A node that follows the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkedNode {
    /// Size of the node, in thousandths of a core.
    pub size_permille: u64,
    /// When its link was established.
    pub since_ms: Millis,
}

impl LinkedNode {
    /// Returns whether the node has been linked for long enough to hold the group.
    #[must_use]
    pub const fn is_steady(&self, now: Millis) -> bool {
        now.saturating_sub(self.since_ms) > LINK_AGE_MS
    }
}

/// Load of the control thread since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Time that the report covers.
    pub covers_ms: Millis,
    /// Mean time that events waited in the queue; `None` if none was measured.
    pub mean_wait_ms: Option<Millis>,
}

/// What a holder knows about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderTerm {
    /// Size of its node, in thousandths of a core.
    pub size_permille: u64,
    /// When its term began.
    pub began_ms: Millis,
    /// Age that its claim does not exceed while the store is healthy and events do not wait.
    pub usual_claim_age_ms: Millis,
    /// Whether overload is a reason to hand over.
    pub overload_handover: bool,
}

/// Decides about handovers during one term.
#[derive(Debug, Clone)]
pub struct HandoverPolicy {
    term: HolderTerm,
    /// Since when the control thread has been overloaded without interruption.
    overloaded_since_ms: Option<Millis>,
    /// Mean wait in the last report.
    mean_wait_ms: Millis,
    /// When the claim was last older than usual, or the term began.
    claim_old_ms: Millis,
    /// Time from which a handover because of overload is possible.
    overload_from_ms: Millis,
}

impl HandoverPolicy {
    /// Starts at the beginning of a term.
    #[must_use]
    pub const fn new(term: HolderTerm) -> Self {
        Self {
            overloaded_since_ms: None,
            mean_wait_ms: 0,
            claim_old_ms: term.began_ms,
            overload_from_ms: term.began_ms + OVERLOAD_INTERVAL_MS,
            term,
        }
    }

    /// Records how long events have waited.
    pub fn record_load(&mut self, now: Millis, report: LoadReport) {
        // Events that still wait in the queue have not been measured yet.
        let Some(mean_wait_ms) = report.mean_wait_ms else {
            return;
        };
        self.mean_wait_ms = mean_wait_ms;
        if mean_wait_ms <= OVERLOAD_WAIT_MS {
            self.overloaded_since_ms = None;
            return;
        }
        let covered_from_ms = now.saturating_sub(report.covers_ms.min(MAX_REPORT_MS));
        let since_ms = self.overloaded_since_ms.unwrap_or(covered_from_ms);
        self.overloaded_since_ms = Some(since_ms.max(self.claim_old_ms));
    }

    /// Returns how long events waited on average, according to the last report.
    #[must_use]
    pub const fn mean_wait_ms(&self) -> Millis {
        self.mean_wait_ms
    }

    /// Returns whether and why the group is to be handed over, given the age of the claim and the
    /// largest size among the steadily linked nodes, if there are any.
    pub fn decide(
        &mut self,
        now: Millis,
        claim_age_ms: Millis,
        largest_permille: Option<u64>,
    ) -> Option<HandoverReason> {
        self.note_claim_age(now, claim_age_ms);
        let largest_permille = largest_permille?;
        if largest_permille >= SIZE_FACTOR * self.term.size_permille {
            return Some(HandoverReason::LargerNode);
        }
        let overloaded = self
            .overloaded_since_ms
            .is_some_and(|since_ms| now.saturating_sub(since_ms) >= OVERLOAD_MS);
        let possible = self.term.overload_handover
            && largest_permille >= self.term.size_permille
            && now >= self.overload_from_ms;
        if !overloaded || !possible {
            return None;
        }
        self.overload_from_ms = now + OVERLOAD_INTERVAL_MS;
        Some(HandoverReason::Overload)
    }

    /// Lets the time of overload begin anew while the claim is old: a store in trouble makes events
    /// wait too, and under another holder it would be no better.
    fn note_claim_age(&mut self, now: Millis, claim_age_ms: Millis) {
        // The answer to a commit and the tick that sends the next one wait for other events.
        let usual_ms = self.term.usual_claim_age_ms + 2 * self.mean_wait_ms;
        if claim_age_ms > usual_ms {
            self.claim_old_ms = now;
            self.overloaded_since_ms = None;
        }
    }
}
