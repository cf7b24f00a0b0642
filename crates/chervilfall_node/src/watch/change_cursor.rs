//! From which version of the store the changes of a row are asked for.

use chervilfall_planner::RowVersion;

/// A reading that found no change.
#[derive(Debug, Clone, Copy)]
struct UnchangedReading {
    answered_ms: u64,
    as_of: RowVersion,
}

/// Version of the store up to which every change of a row is known.
///
/// The cursor has to advance, because the store drops its history. A reading may miss changes made
/// shortly before it began, so its version counts only once a later reading has found no change
/// either.
#[derive(Debug, Default)]
pub(super) struct ChangeCursor {
    since: RowVersion,
    /// The oldest reading after `since`.
    unsettled: Option<UnchangedReading>,
}

impl ChangeCursor {
    /// Returns the version of the store up to which every change is known.
    pub(super) const fn since(&self) -> RowVersion {
        self.since
    }

    /// Records that every change up to a version of the store is known.
    pub(super) fn record_known(&mut self, version: RowVersion) {
        self.since = self.since.max(version);
        self.unsettled = None;
    }

    /// Records a reading that found no change, except for those made within `lag_ms` before it
    /// began, which it may have missed. It was answered at `answered_ms`.
    pub(super) fn record_unchanged(
        &mut self,
        began_ms: u64,
        answered_ms: u64,
        as_of: RowVersion,
        lag_ms: u64,
    ) {
        let reading = UnchangedReading { answered_ms, as_of };
        let oldest = *self.unsettled.get_or_insert(reading);
        if began_ms >= oldest.answered_ms + lag_ms {
            self.since = self.since.max(oldest.as_of);
            self.unsettled = Some(reading);
        }
    }
}
