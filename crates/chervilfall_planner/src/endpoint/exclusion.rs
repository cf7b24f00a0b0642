//! Why an endpoint is given no new work, whatever the step.

use crate::endpoint::Endpoint;
use crate::ids::Millis;
use crate::limits::Limits;
use crate::policy::quarantine::QuarantineState;
use crate::tasks::StepKey;

/// Why an endpoint is given no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exclusion {
    /// The platform does not list it.
    NotListed,
    /// The stored roster does not name it.
    NotRostered,
    /// It has not answered a hold of this holder.
    NotContacted,
    /// Its last lists could not be read completely.
    ListsIncomplete,
    /// All its leases have lapsed, or its incarnation has ended.
    LeasesLapsed,
    /// Its entry in the platform's list is from another incarnation.
    OtherIncarnation,
    /// It drains, or its failure domain is evacuated.
    Leaving,
    /// It has not answered for too long.
    Silent,
    /// Its reported capacity is too old.
    CapacityNotKnown,
    /// The resources that some of its runs use are unknown.
    SizesNotKnown,
    /// It has refused a start, and the pause after that has not passed.
    StartPause,
    /// It is quarantined.
    Quarantined,
    /// It is on trial after a quarantine, and a trial is in progress.
    OnTrial,
    /// A run on it excludes any other start.
    ExclusiveRun,
    /// It is reserved for another step.
    Reserved,
}

impl Exclusion {
    /// Returns its name in log lines and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NotListed => "not_listed",
            Self::NotRostered => "not_rostered",
            Self::NotContacted => "not_contacted",
            Self::ListsIncomplete => "lists_incomplete",
            Self::LeasesLapsed => "leases_lapsed",
            Self::OtherIncarnation => "other_incarnation",
            Self::Leaving => "leaving",
            Self::Silent => "silent",
            Self::CapacityNotKnown => "capacity_not_known",
            Self::SizesNotKnown => "sizes_not_known",
            Self::StartPause => "start_pause",
            Self::Quarantined => "quarantined",
            Self::OnTrial => "on_trial",
            Self::ExclusiveRun => "exclusive_run",
            Self::Reserved => "reserved",
        }
    }
}

impl Endpoint {
    /// Returns whether it can be given new work of any step.
    pub(crate) fn accepts_work(&self, now: Millis, limits: &Limits) -> bool {
        self.exclusion(now, limits).is_none()
    }

    /// Returns why it cannot be given new work of any step; none if it can.
    pub(crate) fn exclusion(&self, now: Millis, limits: &Limits) -> Option<Exclusion> {
        let reserved = self.reserved_for(now).is_some();
        self.exclusion_if(reserved, now, limits)
    }

    /// Returns why it cannot be given new work of a step for which it may be reserved; none if it
    /// can.
    pub(crate) fn exclusion_for(
        &self,
        step: StepKey,
        now: Millis,
        limits: &Limits,
    ) -> Option<Exclusion> {
        let reserved_for_other = self.reserved_for(now).is_some_and(|own| own != step);
        self.exclusion_if(reserved_for_other, now, limits)
    }

    /// Returns why it cannot be given new work if it is `reserved` for other work or not: the first
    /// hard limit if there is one, so that a soft limit is returned only without any.
    fn exclusion_if(&self, reserved: bool, now: Millis, limits: &Limits) -> Option<Exclusion> {
        let exclusion = if !self.listed {
            Exclusion::NotListed
        } else if !self.rostered {
            Exclusion::NotRostered
        } else if !self.contacted {
            Exclusion::NotContacted
        } else if self.lists_incomplete {
            Exclusion::ListsIncomplete
        } else if self.defunct {
            Exclusion::LeasesLapsed
        } else if !self.entry_is_of_incarnation() {
            Exclusion::OtherIncarnation
        } else if self.is_leaving() {
            Exclusion::Leaving
        } else if self.is_silent(now, limits) {
            Exclusion::Silent
        } else if !self.capacity_is_known(now, limits) {
            Exclusion::CapacityNotKnown
        } else if self.size_unknown_runs > 0 {
            Exclusion::SizesNotKnown
        } else if now < self.paused_until_ms {
            Exclusion::StartPause
        } else if self.exclusive_runs > 0 {
            Exclusion::ExclusiveRun
        } else if reserved {
            Exclusion::Reserved
        } else {
            return self.quarantine_exclusion(now);
        };
        Some(exclusion)
    }

    /// Returns why its quarantine state forbids giving it a task; none if it permits that.
    fn quarantine_exclusion(&self, now: Millis) -> Option<Exclusion> {
        match self.quarantine_state(now) {
            QuarantineState::Sound => None,
            QuarantineState::Trial => (self.trial_runs > 0).then_some(Exclusion::OnTrial),
            QuarantineState::Paused => Some(Exclusion::Quarantined),
        }
    }

    /// Returns whether it is quarantined, so that any run on it is a trial.
    pub(crate) fn is_quarantined(&self, now: Millis) -> bool {
        self.quarantine_state(now) != QuarantineState::Sound
    }

    /// Returns whether the time of the shortest pause has passed since a run last failed there.
    pub(crate) fn first_pause_has_passed(&self, now: Millis) -> bool {
        self.quarantine.first_pause_has_passed(now)
    }

    /// Returns whether a trial may begin before its time, and beside one that has not failed soon.
    pub(crate) fn early_trial_is_possible(&self, now: Millis) -> bool {
        self.first_pause_has_passed(now) && self.quarantine.may_try_again(now)
    }

    /// Returns the stricter of its two quarantine states.
    fn quarantine_state(&self, now: Millis) -> QuarantineState {
        match (self.quarantine.state(now), self.failure_share.state(now)) {
            (QuarantineState::Paused, _) | (_, QuarantineState::Paused) => QuarantineState::Paused,
            (QuarantineState::Trial, _) | (_, QuarantineState::Trial) => QuarantineState::Trial,
            (QuarantineState::Sound, QuarantineState::Sound) => QuarantineState::Sound,
        }
    }

    /// Returns the maximum number of tasks that it may be given at once.
    pub(crate) fn max_new_tasks(&self, now: Millis) -> u32 {
        match self.quarantine_state(now) {
            QuarantineState::Sound => u32::MAX,
            QuarantineState::Trial | QuarantineState::Paused => 1,
        }
    }
}
