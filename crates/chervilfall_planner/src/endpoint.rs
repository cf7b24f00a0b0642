//! What is known of an endpoint.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::new_key_type;

use crate::config::ServiceName;
use crate::ids::{EndpointId, Fence, Millis, RowVersion, TaskKey, UnixMillis};
use crate::leases::Leases;
use crate::limits::Limits;
use crate::placed_run::{PlacedRun, RunPhase};
use crate::policy::crashes::NEW_RUN_MS;
use crate::policy::quarantine::{Quarantine, QuarantineState};
use crate::policy::speed::Speed;
use crate::resources::Resources;
use crate::tasks::StepKey;

new_key_type! {
    /// Key of an endpoint's incarnation in the planner's arena.
    pub struct EndpointKey;
}

/// An endpoint as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Incarnation.
    pub id: EndpointId,
    /// Address that takes orders.
    pub address: String,
    /// Pool.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: String,
    /// It is leaving and takes no new work.
    pub draining: bool,
    /// Processor, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
    /// Rack that it stands in.
    pub rack: Option<String>,
    /// Labels, the rack among them.
    pub labels: BTreeSet<String>,
    /// Number of its report of itself; it grows with each.
    pub report: u64,
    /// When the incarnation that says so was started, by its own clock of the day; none where endpoints do not say.
    pub born_ms: Option<UnixMillis>,
}

/// What is known of one incarnation of an endpoint; the next one has a record of its own.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    /// When this incarnation was started, as far as it has said so. The entry may be of another one.
    pub(crate) born_ms: Option<UnixMillis>,
    /// It has been asked to leave.
    pub(crate) draining: bool,
    /// Token of its orders; none until there is a higher one than those of the incarnation before carried.
    fence: Option<Fence>,
    /// Highest token that orders to the incarnation before carried.
    earlier_fence: Option<Fence>,
    /// The platform lists it now.
    pub(crate) listed: bool,
    /// It stands in the stored roster as one that may be granted leases, so that a successor knows.
    pub(crate) rostered: bool,
    /// What the roster says of a silent endpoint: when its last lease has lapsed, by the store's clock.
    pub(crate) lapses_store_ms: Option<Millis>,
    /// When what it says of itself was last read anew.
    reported_ms: Millis,
    /// It refuses what exceeds its capacity.
    pub(crate) enforces_capacity: bool,
    /// It has answered a hold of this planner, so that older holders are shut out there.
    pub(crate) contacted: bool,
    /// Its last lists could not be read whole, so that runs may be there which nobody knows.
    pub(crate) lists_incomplete: bool,
    /// All its leases have lapsed since it was last heard, or its incarnation is over.
    pub(crate) defunct: bool,
    /// When its leases were first found lapsed while it was silent.
    pub(crate) lapsed_ms: Option<Millis>,
    pub(crate) placed: BTreeMap<TaskKey, PlacedRun>,
    pub(crate) used: Resources,
    /// Runs whose room is not known.
    size_unknown_runs: usize,
    /// Runs of jobs whose objective is short.
    pub(crate) sensitive_runs: u32,
    /// Runs beside which nothing is started.
    exclusive_runs: u32,
    /// Step for which it is kept free of other starts, and until when.
    reserved: Option<(StepKey, Millis)>,
    /// Highest end that was taken in.
    pub(crate) last_end_received: u64,
    /// Highest end that is stored.
    pub(crate) acknowledged: u64,
    pub(crate) last_contact_ms: Option<Millis>,
    pub(crate) hold_sent_ms: Option<Millis>,
    /// It ran nothing when it was last heard, so that its next hold was put off: silence counts from that hold.
    pub(crate) idle: bool,
    /// The last hold was not answered: nothing is granted or started until one is.
    pub(crate) hold_unanswered: bool,
    pub(crate) next_hold_ms: Millis,
    pub(crate) paused_until_ms: Millis,
    pub(crate) quarantine: Quarantine,
    pub(crate) speed: Speed,
    /// Its clock, and the leases that it was granted.
    pub(crate) leases: Leases,
}

impl Endpoint {
    pub(crate) fn new(entry: EndpointEntry, listed: bool, fence: Fence) -> Self {
        Self {
            born_ms: entry.born_ms,
            draining: entry.draining,
            fence: Some(fence),
            earlier_fence: None,
            entry,
            listed,
            rostered: false,
            lapses_store_ms: None,
            reported_ms: 0,
            enforces_capacity: false,
            contacted: false,
            lists_incomplete: false,
            defunct: false,
            lapsed_ms: None,
            placed: BTreeMap::new(),
            used: Resources::default(),
            size_unknown_runs: 0,
            sensitive_runs: 0,
            exclusive_runs: 0,
            reserved: None,
            last_end_received: 0,
            acknowledged: 0,
            last_contact_ms: None,
            hold_sent_ms: None,
            idle: false,
            hold_unanswered: false,
            next_hold_ms: 0,
            paused_until_ms: 0,
            quarantine: Quarantine::default(),
            speed: Speed::default(),
            leases: Leases::default(),
        }
    }

    /// Returns the record of the incarnation that has taken the place of another. Nothing is granted or started there
    /// before the roster says so and it has answered a hold with a higher token.
    pub(crate) fn next_incarnation(before: &Self, born_ms: Option<UnixMillis>) -> Self {
        let mut next = Self::new(before.entry.clone(), before.listed, 0);
        next.born_ms = born_ms;
        next.fence = None;
        next.earlier_fence = Some(before.fence.or(before.earlier_fence).unwrap_or(0));
        next.enforces_capacity = before.enforces_capacity;
        next.draining = next.entry_is_of_incarnation() && next.entry.draining;
        if next.entry_is_of_incarnation() {
            next.reported_ms = before.reported_ms;
        }
        next
    }

    /// Returns the token of orders to it, given the version of the newest commit: that grows with each, and a successor's
    /// token is higher than all of them.
    pub(crate) fn fence(&mut self, version: RowVersion) -> Option<Fence> {
        if self.fence.is_none() && self.earlier_fence.is_none_or(|earlier| version > earlier) {
            self.fence = Some(version);
        }
        self.fence
    }

    /// Returns whether its name has been another incarnation's, for this holder.
    pub(crate) const fn has_started_again(&self) -> bool {
        self.earlier_fence.is_some()
    }

    /// Returns whether lists that say `born_ms` are another incarnation's.
    pub(crate) fn is_other_incarnation(&self, born_ms: Option<UnixMillis>) -> bool {
        let known = self.born_ms.zip(born_ms);
        known.is_some_and(|(known, seen)| known != seen)
    }

    /// Returns whether its entry in the list of endpoints is this incarnation's, as far as it says so.
    pub(crate) fn entry_is_of_incarnation(&self) -> bool {
        self.born_ms.is_none() || self.entry.born_ms == self.born_ms
    }

    /// Takes over what its entry says, as read at `read_ms`.
    pub(crate) fn update_entry(&mut self, read_ms: Millis, entry: EndpointEntry) {
        let moved_on = (entry.born_ms, entry.report) != (self.entry.born_ms, self.entry.report);
        if moved_on || self.reported_ms == 0 {
            self.reported_ms = read_ms;
        }
        self.entry = entry;
        if self.entry_is_of_incarnation() {
            self.draining = self.entry.draining;
        }
    }

    /// Returns whether its capacity is known well enough to start something: it may have shrunk since it last said.
    pub(crate) fn capacity_is_known(&self, now: Millis, limits: &Limits) -> bool {
        self.enforces_capacity || now.saturating_sub(self.reported_ms) <= limits.report_age_ms
    }

    /// Notes what others may have granted: an earlier holder, or a hold that was meant for the incarnation before and
    /// named a time on its clock.
    pub(crate) fn assume_granted(&mut self, limits: &Limits) {
        let lease_ms = if self.has_started_again() {
            limits.lease_max_ms
        } else {
            limits.lease_ms
        };
        self.leases.assume_granted(lease_ms, limits);
    }

    /// Returns the end up to which a hold may acknowledge. One that follows a miss, or an entry of another incarnation,
    /// acknowledges nothing: the next incarnation numbers its ends from 1, and would forget what nobody has seen.
    pub(crate) fn acknowledgeable(&self) -> u64 {
        if self.hold_unanswered || !self.entry_is_of_incarnation() {
            0
        } else {
            self.acknowledged
        }
    }

    /// Returns for how long it has not been heard although it was asked.
    pub(crate) fn silent_for(&self, now: Millis) -> Millis {
        let asked_ms = if self.idle {
            self.hold_sent_ms.unwrap_or(now)
        } else {
            0
        };
        self.last_contact_ms
            .map_or(Millis::MAX, |heard| now.saturating_sub(heard.max(asked_ms)))
    }

    /// Returns for how long it was heard from while a run was known to be there; none if it never answered
    /// about the run.
    pub(crate) fn contact_with_run_ms(&self, placed: &PlacedRun) -> Option<Millis> {
        let confirmed_ms = placed.confirmed_ms?;
        let last_contact_ms = self.last_contact_ms.unwrap_or(confirmed_ms);
        Some(last_contact_ms.saturating_sub(confirmed_ms))
    }

    /// Returns when the next hold is due that may wait for ends to gather: at once if a stop's end is
    /// awaited, because that is what its room waits for.
    pub(crate) fn batched_hold_due_ms(&self, now: Millis, limits: &Limits) -> Millis {
        let mut placed = self.placed.values();
        if placed.any(|placed| matches!(placed.phase, RunPhase::Stopping { .. })) {
            return now;
        }
        let gap_ms = if self.sensitive_runs > 0 {
            limits.sensitive_hold_gap_ms
        } else {
            limits.hold_gap_ms
        };
        self.last_contact_ms
            .map_or(now, |heard| now.max(heard + gap_ms))
    }

    /// Returns whether it is granted nothing until it answers again.
    pub(crate) fn is_silent(&self, now: Millis, limits: &Limits) -> bool {
        self.hold_unanswered || self.silent_for(now) > limits.silent_ms
    }

    /// Returns whether it can be given new work.
    pub(crate) fn accepts_work(&self, now: Millis, limits: &Limits) -> bool {
        self.reserved_for(now).is_none() && self.accepts_reserved_work(now, limits)
    }

    /// Returns whether it can be given new work of the step that it is kept for.
    pub(crate) fn accepts_reserved_work(&self, now: Millis, limits: &Limits) -> bool {
        self.exclusive_runs == 0
            && self.listed
            && self.rostered
            && self.contacted
            && !self.lists_incomplete
            && !self.defunct
            && self.size_unknown_runs == 0
            && self.entry_is_of_incarnation()
            && !self.draining
            && now >= self.paused_until_ms
            && self.passes_quarantine(now)
            && !self.is_silent(now, limits)
            && self.capacity_is_known(now, limits)
    }

    /// Returns whether its ends speak for giving it a task.
    fn passes_quarantine(&self, now: Millis) -> bool {
        match self.quarantine.state(now) {
            QuarantineState::Sound => true,
            QuarantineState::Trial => self.placed.is_empty(),
            QuarantineState::Paused => false,
        }
    }

    /// Returns how many tasks it may be given at once.
    pub(crate) fn max_new_tasks(&self, now: Millis) -> u32 {
        match self.quarantine.state(now) {
            QuarantineState::Sound => u32::MAX,
            QuarantineState::Trial | QuarantineState::Paused => 1,
        }
    }

    pub(crate) fn free(&self) -> Resources {
        Resources::of_entry(&self.entry).minus(self.used)
    }

    /// Returns whether there is room for all that has a place there.
    pub(crate) fn fits_all_runs(&self) -> bool {
        Resources::of_entry(&self.entry).can_fit(self.used)
    }

    /// Puts a run in its books; returns an earlier one of the task that it replaces.
    pub(crate) fn place(&mut self, task: TaskKey, placed: PlacedRun) -> Option<PlacedRun> {
        // Ends are listed to holds only.
        self.next_hold_ms = if self.idle { 0 } else { self.next_hold_ms };
        let replaced = self.release(task);
        self.used = self.used.add(placed.resources);
        self.size_unknown_runs += usize::from(placed.size_unknown);
        self.sensitive_runs += u32::from(placed.latency_sensitive);
        self.exclusive_runs += u32::from(placed.exclusive);
        self.placed.insert(task, placed);
        replaced
    }

    pub(crate) fn release(&mut self, task: TaskKey) -> Option<PlacedRun> {
        let placed = self.placed.remove(&task)?;
        self.used = self.used.minus(placed.resources);
        self.size_unknown_runs -= usize::from(placed.size_unknown);
        self.sensitive_runs -= u32::from(placed.latency_sensitive);
        self.exclusive_runs -= u32::from(placed.exclusive);
        Some(placed)
    }

    /// Returns whether a run has just begun, as far as the endpoint was heard from.
    pub(crate) fn has_just_begun(&self, placed: &PlacedRun) -> bool {
        self.contact_with_run_ms(placed)
            .is_none_or(|last_contact_ms| last_contact_ms < NEW_RUN_MS)
    }

    /// Keeps other starts away until then.
    pub(crate) fn reserve(&mut self, step: StepKey, until_ms: Millis) {
        self.reserved = Some((step, until_ms));
    }

    /// Returns the step that it is kept for.
    pub(crate) fn reserved_for(&self, now: Millis) -> Option<StepKey> {
        let (step, until_ms) = self.reserved?;
        (now < until_ms).then_some(step)
    }
}
