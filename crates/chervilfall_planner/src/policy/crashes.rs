//! Which task brings down the endpoints that run it.
//!
//! An endpoint that has crashed reports nothing, so that its runs leave no end that could count as a failed attempt.
//! Started anew without a bound, one such task costs its group an endpoint each three seconds, and all that runs there
//! begins anew. But a job that can be done is never shown as failed, and most runs that are lost in a crash have not
//! caused it. So a task that has lost some endpoints is given one that runs nothing of other jobs, and only crashes of
//! such convict it. Which of its own tasks is at fault does not matter: the job can't be done.

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Millis, Run, UnixMillis};

/// A run that its endpoint has been heard from for this long is not new there any more: it began well. Five times a
/// hold's usual way and gap.
pub(crate) const NEW_RUN_MS: Millis = 500;
/// Lost endpoints from which on a task is given one of its own. One is what a bad day costs anybody; from three on, a task
/// that does harm late could be started once more than allowed if a holder is lost with one of the notes.
const ISOLATED_FROM: usize = 2;
/// Crashes without company after which a task is the culprit, and how many it has caused in all then. One alone may be
/// chance. Callers lose four endpoints to such a task, and five if a holder was lost that could not store the first.
const CRASHES_ALONE: usize = 2;
const CRASHES: usize = 4;
/// The same if some of its starts were not answered: the endpoint may have crashed just before it could take them.
const CRASHES_ALONE_UNANSWERED: usize = 3;
const CRASHES_UNANSWERED: usize = 5;
/// Crashes in any company after which a task is given up: it had no endpoint of its own in all that time, and whoever
/// is at fault, no further endpoint is put at risk.
const CRASHES_AT_MOST: usize = 10;
/// A task that lasts and has been heard at work for this long is free of what was seen before: over days many of its
/// endpoints crash.
pub(crate) const CLEARED_AFTER_MS: Millis = 10_000;

/// What is known of the endpoint of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ExposureState {
    /// The run may be at work there.
    AtWork,
    /// It was lost; whether it crashed or was cut off is not known.
    Lost,
    /// That incarnation is gone without having been asked to leave.
    Crashed,
}

/// A run that may have brought down its endpoint, or may yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Exposure {
    pub(crate) run: Run,
    pub(crate) endpoint: EndpointId,
    /// When the incarnation was started; none in rows of earlier versions and where endpoints do not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) born_ms: Option<UnixMillis>,
    pub(crate) fate: ExposureState,
    /// It had just begun when the endpoint was last heard from.
    pub(crate) new: bool,
    /// Nothing of other jobs was there.
    pub(crate) alone: bool,
    /// The endpoint has told that it took the run.
    pub(crate) answered: bool,
}

impl Exposure {
    /// Returns whether it is one to an incarnation, as far as that is told.
    pub(crate) fn matches_incarnation(
        &self,
        endpoint: &EndpointId,
        born_ms: Option<UnixMillis>,
    ) -> bool {
        let known = self.born_ms.zip(born_ms);
        self.endpoint == *endpoint && known.is_none_or(|(own, seen)| own == seen)
    }
}

/// What the exposures of a task say about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It may be at fault: it is started where least else is lost with it, and only once that is stored.
    Suspect,
    /// Much speaks against it: it is started on an endpoint that runs nothing of other jobs.
    Isolate,
    /// It is at fault if the endpoints that were lost have crashed: it waits until that is known.
    Awaited,
    /// It brings its endpoints down.
    Culprit,
}

/// Judges a task by its exposures.
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
    } else if lost.all >= ISOLATED_FROM {
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
        surely || likely || self.all >= CRASHES_AT_MOST
    }
}
