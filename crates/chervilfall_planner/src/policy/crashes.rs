//! Identification of tasks that crash the endpoints that run them.
//!
//! A crashed endpoint reports no ends, so its runs do not count as failed attempts. If such a task
//! were restarted without limit, its group would lose an endpoint every three seconds, and
//! everything running there would have to start over. However, a job that can complete must never
//! be reported as failed, and most runs lost in a crash did not cause it. A task that has lost
//! several endpoints is therefore started only where no other job runs, and is given up only after
//! crashes there or after very many crashes overall. It does not matter which task of the job is at
//! fault, because the job cannot complete in any case.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Millis, Run, UnixMillis};

/// A run counts as new until its endpoint has stayed in contact for this long after the run was
/// confirmed. Five times the usual round trip of a hold and the gap between holds.
pub(crate) const NEW_RUN_MS: Millis = 500;
/// Number of lost endpoints from which a task is isolated. Any task may lose one by chance. With a
/// threshold of three, a task that crashes its endpoints late could be started once more than
/// allowed if a holder is lost together with one of the records.
const ISOLATION_THRESHOLD: usize = 2;
/// Number of crashes without other jobs on the endpoint, and of crashes overall, from which a task
/// is the culprit. A single isolated crash may be a coincidence. Such a task costs four endpoints,
/// or five if a holder was lost that could not store the first crash.
const CRASHES_ALONE: usize = 2;
const CRASHES: usize = 4;
/// The same if some of its starts were not answered, because the endpoint may have crashed just
/// before it could accept them.
const CRASHES_ALONE_UNANSWERED: usize = 3;
const CRASHES_UNANSWERED: usize = 5;
/// Number of crashes with or without other jobs from which a task is given up. It could not be
/// isolated in all that time, and whatever the cause, no further endpoint is put at risk.
const MAX_CRASHES: usize = 10;
/// A long-running task that has been seen running for this long is cleared of earlier exposures,
/// because over several days many of its endpoints may crash.
pub(crate) const CLEARED_AFTER_MS: Millis = 10_000;

/// State of the endpoint to which an exposure refers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ExposureState {
    /// The run may still be in progress there.
    AtWork,
    /// The endpoint is lost; it is unknown whether it has crashed or been disconnected.
    Lost,
    /// The incarnation has ended without having been asked to drain.
    Crashed,
}

/// A run that may have crashed its endpoint, or may still do so.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Exposure {
    pub(crate) run: Run,
    pub(crate) endpoint: EndpointId,
    /// When the incarnation started; none in rows of earlier versions and if endpoints do not
    /// report it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) born_ms: Option<UnixMillis>,
    pub(crate) fate: ExposureState,
    /// The run had only just begun at the endpoint's last contact.
    pub(crate) new: bool,
    /// No other job had a run there.
    pub(crate) alone: bool,
    /// The endpoint has confirmed the run.
    pub(crate) answered: bool,
}

impl Exposure {
    /// Returns whether it refers to the given incarnation, as far as start times are known.
    pub(crate) fn matches_incarnation(
        &self,
        endpoint: &EndpointId,
        born_ms: Option<UnixMillis>,
    ) -> bool {
        let known = self.born_ms.zip(born_ms);
        self.endpoint == *endpoint && known.is_none_or(|(own, seen)| own == seen)
    }
}

/// Conclusion about a task from its exposures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Verdict {
    /// There is no evidence against it.
    Clear,
    /// It may be at fault: it is started where the fewest other runs are at risk, and only once a
    /// record of the start is stored.
    Suspect,
    /// It is likely at fault: it is started on an endpoint that runs no other job.
    Isolate,
    /// It is at fault if the lost endpoints have crashed, and waits until that is known.
    Awaited,
    /// It crashes its endpoints.
    Culprit,
}

/// Returns the verdict on a task with the given exposures.
pub(crate) fn verdict(exposures: &[Exposure]) -> Verdict {
    let lost = Tally::of(
        exposures
            .iter()
            .filter(|seen| seen.fate != ExposureState::AtWork),
    );
    if lost.all == 0 {
        return Verdict::Clear;
    }
    let crashed = Tally::of(
        exposures
            .iter()
            .filter(|seen| seen.fate == ExposureState::Crashed),
    );
    if crashed.is_conclusive() {
        Verdict::Culprit
    } else if lost.is_conclusive() {
        Verdict::Awaited
    } else if lost.all >= ISOLATION_THRESHOLD {
        Verdict::Isolate
    } else if lost.new > 0 {
        Verdict::Suspect
    } else {
        Verdict::Clear
    }
}

/// Counts of exposures.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    all: usize,
    new: usize,
    alone: usize,
    alone_answered: usize,
}

impl Tally {
    fn of<'a>(exposures: impl Iterator<Item = &'a Exposure>) -> Self {
        exposures.fold(Self::default(), |sum, seen| Self {
            all: sum.all + 1,
            new: sum.new + usize::from(seen.new),
            alone: sum.alone + usize::from(seen.alone),
            alone_answered: sum.alone_answered + usize::from(seen.alone && seen.answered),
        })
    }

    const fn is_conclusive(self) -> bool {
        let surely = self.alone_answered >= CRASHES_ALONE && self.all >= CRASHES;
        let likely = self.alone >= CRASHES_ALONE_UNANSWERED && self.all >= CRASHES_UNANSWERED;
        surely || likely || self.all >= MAX_CRASHES
    }
}
