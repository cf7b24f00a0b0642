//! State that the planner tracks for each endpoint.

mod exclusion;
mod lease_bounds;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::new_key_type;

use crate::config::ServiceName;
use crate::event::HoldReport;
use crate::ids::{EndpointId, Fence, Millis, RowVersion, TaskKey, UnixMillis};
use crate::leases::Leases;
use crate::limits::Limits;
use crate::metrics;
use crate::placed_run::{PlacedRun, RunPhase};
use crate::policy::crashes::NEW_RUN_MS;
use crate::policy::departures::LeaveTime;
use crate::policy::failure_share::FailureShare;
use crate::policy::quarantine::Quarantine;
use crate::policy::speed::Speed;
use crate::record::{RosterEntry, StaleLeases};
use crate::resources::Resources;
use crate::tasks::StepKey;
pub use exclusion::Exclusion;

new_key_type! {
    /// Key of an endpoint's incarnation in the planner's arena.
    pub struct EndpointKey;
}

/// Name of a failure domain.
pub type DomainName = String;

/// An endpoint as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Name.
    pub id: EndpointId,
    /// Address that accepts orders.
    pub address: String,
    /// Pool.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// It is draining and accepts no new work.
    pub draining: bool,
    /// CPU, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
    /// Rack in which it is located.
    pub rack: Option<String>,
    /// Labels, including the rack.
    pub labels: BTreeSet<String>,
    /// Number of the endpoint's status report, which increases with each report.
    pub report: u64,
    /// When the reporting incarnation started, by its own wall clock; none if endpoints do not
    /// report it.
    pub born_ms: Option<UnixMillis>,
    /// For how much longer a draining endpoint will exist at least, when it wrote the report; none
    /// if it does not say.
    pub remaining_ms: Option<Millis>,
    /// For how much longer the endpoint was slow after its start, when it wrote the report.
    pub cold_left_ms: Millis,
}

/// Maximum time that a report is assumed to have waited to be read: the list is read twice a
/// second.
const REPORT_WAIT_MS: Millis = 500;

/// State of one incarnation of an endpoint; the next incarnation gets a record of its own.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) entry: EndpointEntry,
    /// When this incarnation started, if it has reported that. The entry may be that of another
    /// incarnation.
    pub(crate) born_ms: Option<UnixMillis>,
    /// It has been asked to drain.
    pub(crate) draining: bool,
    /// Its failure domain is evacuated.
    pub(crate) evacuated: bool,
    /// Fencing token of orders to it; none until there is a higher one than those in orders to the
    /// previous incarnation.
    fence: Option<Fence>,
    /// Highest fencing token in orders to the previous incarnation.
    earlier_fence: Option<Fence>,
    /// The platform currently lists it.
    pub(crate) listed: bool,
    /// The stored roster names it as one that may be granted leases, so a successor knows of it.
    pub(crate) rostered: bool,
    /// For a silent endpoint: when its last lease has lapsed by the store's clock, as stored in the
    /// roster.
    pub(crate) lapses_store_ms: Option<Millis>,
    /// Stale leases that it may hold; none if all orders to earlier incarnations are settled.
    pub(crate) stale_leases: Option<StaleLeases>,
    /// Upper limit on the resources that its runs reserve, as stored in the roster; none if the
    /// roster states none.
    pub(crate) rostered_capacity: Option<Resources>,
    /// When its latest status report was first read.
    reported_ms: Millis,
    /// When the list of endpoints was last read with it.
    seen_ms: Millis,
    /// When it may leave, by its latest report.
    leave: Option<LeaveTime>,
    /// Until when it is slow after its start, by its latest report.
    cold_until_ms: Millis,
    /// It refuses starts that exceed its capacity.
    pub(crate) enforces_capacity: bool,
    /// It has answered a hold of this planner and therefore refuses orders of earlier holders.
    pub(crate) contacted: bool,
    /// Its last lists could not be read completely, so it may have unknown runs.
    pub(crate) lists_incomplete: bool,
    /// Its last list held as many ends as a list can, so it may have further ones. It gets work
    /// nevertheless, because its list of runs is complete.
    pub(crate) may_have_unlisted_ends: bool,
    /// All its leases have lapsed since its last contact, or its incarnation has ended.
    pub(crate) defunct: bool,
    /// When its leases were first found to have lapsed while it was silent.
    pub(crate) lapsed_ms: Option<Millis>,
    pub(crate) placed: BTreeMap<TaskKey, PlacedRun>,
    pub(crate) used: Resources,
    /// Number of runs whose resource usage is unknown.
    size_unknown_runs: usize,
    /// Number of latency-sensitive runs.
    pub(crate) sensitive_runs: u32,
    /// Number of runs that exclude any other start.
    exclusive_runs: u32,
    /// Number of runs that were started while it was quarantined.
    trial_runs: u32,
    /// Step for which the endpoint is reserved, and until when.
    reserved: Option<(StepKey, Millis)>,
    /// Number of the last end received.
    pub(crate) last_end_received: u64,
    /// Number of the last end stored.
    pub(crate) acknowledged: u64,
    pub(crate) last_contact_ms: Option<Millis>,
    pub(crate) hold_sent_ms: Option<Millis>,
    /// It ran nothing at its last contact, so its next hold was postponed and silence counts from
    /// that hold.
    pub(crate) idle: bool,
    /// The last hold was not answered; until one is, no leases are granted and nothing is started.
    pub(crate) hold_unanswered: bool,
    pub(crate) next_hold_ms: Millis,
    pub(crate) paused_until_ms: Millis,
    pub(crate) quarantine: Quarantine,
    pub(crate) failure_share: FailureShare,
    pub(crate) speed: Speed,
    /// Its clock and the leases granted to it.
    pub(crate) leases: Leases,
}

impl Endpoint {
    pub(crate) fn new(entry: EndpointEntry, listed: bool, fence: Fence) -> Self {
        Self {
            born_ms: entry.born_ms,
            draining: entry.draining,
            evacuated: false,
            fence: Some(fence),
            earlier_fence: None,
            entry,
            listed,
            rostered: false,
            lapses_store_ms: None,
            stale_leases: None,
            rostered_capacity: None,
            reported_ms: 0,
            seen_ms: 0,
            leave: None,
            cold_until_ms: 0,
            enforces_capacity: false,
            contacted: false,
            lists_incomplete: false,
            may_have_unlisted_ends: false,
            defunct: false,
            lapsed_ms: None,
            placed: BTreeMap::new(),
            used: Resources::default(),
            size_unknown_runs: 0,
            sensitive_runs: 0,
            exclusive_runs: 0,
            trial_runs: 0,
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
            failure_share: FailureShare::default(),
            speed: Speed::default(),
            leases: Leases::default(),
        }
    }

    /// Creates the record of the incarnation that has replaced another. No leases are granted and
    /// nothing is started there until the roster names it and it has answered a hold with a higher
    /// token.
    pub(crate) fn next_incarnation(before: &Self, born_ms: Option<UnixMillis>) -> Self {
        let mut next = Self::new(before.entry.clone(), before.listed, 0);
        next.born_ms = born_ms;
        next.fence = None;
        next.stale_leases = Some(StaleLeases::Arriving);
        next.earlier_fence = Some(before.fence.or(before.earlier_fence).unwrap_or(0));
        next.enforces_capacity = before.enforces_capacity;
        next.evacuated = before.evacuated;
        // Runs that were on their way to the previous incarnation may have moved to this one.
        next.rostered_capacity = before.rostered_capacity;
        next.draining = next.entry_is_of_incarnation() && next.entry.draining;
        if next.entry_is_of_incarnation() {
            next.reported_ms = before.reported_ms;
            next.seen_ms = before.seen_ms;
            next.leave = before.leave;
            next.cold_until_ms = before.cold_until_ms;
        }
        next
    }

    /// Returns the fencing token of orders to it, given the version of the newest commit. Versions
    /// increase with each commit, and the token of a successor is higher than all of them.
    pub(crate) fn fence(&mut self, version: RowVersion) -> Option<Fence> {
        if self.fence.is_none() && self.earlier_fence.is_none_or(|earlier| version > earlier) {
            self.fence = Some(version);
        }
        self.fence
    }

    /// Returns whether this holder has known an earlier incarnation under the same name.
    pub(crate) const fn has_started_again(&self) -> bool {
        self.earlier_fence.is_some()
    }

    /// Returns whether lists that report `born_ms` are from another incarnation.
    pub(crate) fn is_other_incarnation(&self, born_ms: Option<UnixMillis>) -> bool {
        let known = self.born_ms.zip(born_ms);
        known.is_some_and(|(known, seen)| known != seen)
    }

    /// Returns whether its entry in the platform's list is from this incarnation, as far as known.
    pub(crate) fn entry_is_of_incarnation(&self) -> bool {
        self.born_ms.is_none() || self.entry.born_ms == self.born_ms
    }

    /// Replaces its entry by one that was read at `read_ms`.
    pub(crate) fn update_entry(&mut self, read_ms: Millis, entry: EndpointEntry) {
        let is_new_report =
            (entry.born_ms, entry.report) != (self.entry.born_ms, self.entry.report);
        if is_new_report || self.reported_ms == 0 {
            self.reported_ms = read_ms;
            self.cold_until_ms = read_ms.saturating_add(entry.cold_left_ms);
        }
        if is_new_report || entry.remaining_ms != self.entry.remaining_ms || self.seen_ms == 0 {
            let written_ms = self.report_written_ms(read_ms);
            self.leave = entry.remaining_ms.map(|left_ms| LeaveTime {
                earliest_ms: written_ms.saturating_add(left_ms),
                announced_ms: read_ms.saturating_add(left_ms),
            });
        }
        self.seen_ms = read_ms;
        self.entry = entry;
        if self.entry_is_of_incarnation() {
            self.draining = self.entry.draining;
        }
    }

    /// Returns when a report that was first read at `read_ms` was written at the earliest, if
    /// readings of the list are at most `REPORT_WAIT_MS` apart.
    fn report_written_ms(&self, read_ms: Millis) -> Millis {
        self.seen_ms.max(read_ms.saturating_sub(REPORT_WAIT_MS))
    }

    /// Returns when it may leave; none unless it is draining and says so.
    pub(crate) fn leave(&self) -> Option<LeaveTime> {
        let known = self.draining && self.entry_is_of_incarnation();
        self.leave.filter(|_| known)
    }

    /// Returns whether it is still slow after its start.
    pub(crate) const fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until_ms
    }

    /// Returns whether its reported capacity is recent enough to start runs, because the capacity
    /// may have shrunk since the report.
    pub(crate) fn capacity_is_known(&self, now: Millis, limits: &Limits) -> bool {
        self.enforces_capacity || now.saturating_sub(self.reported_ms) <= limits.report_age_ms
    }

    /// Records whether a report may lack ends, and returns it.
    pub(crate) fn note_listed_ends(&mut self, report: &HoldReport, limits: &Limits) -> bool {
        let may_lack_ends = report.ended.len() >= limits.max_listed_ends;
        if may_lack_ends {
            metrics::list_cut_off();
        }
        let before = std::mem::replace(&mut self.may_have_unlisted_ends, may_lack_ends);
        if may_lack_ends && !before {
            log::info!(
                endpoint:% = self.entry.id, listed_ends = report.ended.len(), acknowledged = self.acknowledged;
                "endpoint may have more ends than it lists"
            );
        } else if before && !may_lack_ends {
            log::info!(endpoint:% = self.entry.id; "endpoint lists all its ends again");
        }
        may_lack_ends
    }

    /// Takes back that it is idle, because the answer that said so was overdue: it may have restarted
    /// since. Its next hold is due at once, and its silence counts until then.
    pub(crate) fn take_back_idle(&mut self, now: Millis) {
        if std::mem::take(&mut self.idle) {
            self.next_hold_ms = now;
        }
    }

    /// Returns whether its next lists may show ends that are older than its last list.
    pub(crate) const fn may_list_more_ends(&self) -> bool {
        self.may_have_unlisted_ends && !self.defunct
    }

    /// Returns the number of the end up to which a hold may acknowledge. A hold that follows an
    /// unanswered one, or is sent while the entry is from another incarnation, acknowledges
    /// nothing: a new incarnation numbers its ends from 1 and would discard ends that were never
    /// received.
    pub(crate) fn acknowledgeable(&self) -> u64 {
        if self.hold_unanswered || !self.entry_is_of_incarnation() {
            0
        } else {
            self.acknowledged
        }
    }

    /// Returns how long it has been silent: the time since its last contact, or for an idle
    /// endpoint since its postponed hold was sent.
    pub(crate) fn silent_for(&self, now: Millis) -> Millis {
        let held_since_ms = if self.idle {
            self.hold_sent_ms.unwrap_or(now)
        } else {
            0
        };
        self.last_contact_ms.map_or(Millis::MAX, |contact_ms| {
            now.saturating_sub(contact_ms.max(held_since_ms))
        })
    }

    /// Returns for how long a hold has been waiting for its answer; none if none is in flight.
    pub(crate) fn hold_waits_ms(&self, now: Millis) -> Option<Millis> {
        let sent_ms = self.hold_sent_ms?;
        Some(now.saturating_sub(sent_ms))
    }

    /// Returns the time from the confirmation of a run to the endpoint's last contact; none if the
    /// endpoint has never confirmed the run.
    pub(crate) fn contact_with_run_ms(&self, placed: &PlacedRun) -> Option<Millis> {
        let confirmed_ms = placed.confirmed_ms?;
        let last_contact_ms = self.last_contact_ms.unwrap_or(confirmed_ms);
        Some(last_contact_ms.saturating_sub(confirmed_ms))
    }

    /// Returns when the next hold is due if it may be delayed to collect several ends: at once if a
    /// run is being stopped, because its resources become free only with its end.
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
            .map_or(now, |contact_ms| now.max(contact_ms + gap_ms))
    }

    /// Returns whether nothing may be started there any more, although it works: it drains, or its
    /// failure domain is evacuated.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.draining || self.evacuated
    }

    /// Returns whether it is silent, so that it is granted no leases until it answers again.
    pub(crate) fn is_silent(&self, now: Millis, limits: &Limits) -> bool {
        self.hold_unanswered || self.silent_for(now) > limits.silent_ms
    }

    pub(crate) fn free(&self) -> Resources {
        let capacity = Resources::of_entry(&self.entry);
        let startable = self
            .rostered_capacity
            .map_or(capacity, |rostered| capacity.min(rostered));
        startable.minus(self.used)
    }

    /// Returns the capacity that the roster is to state: no run of this or an earlier holder is
    /// outside it. It never falls while the endpoint is known, because runs outlast a smaller
    /// capacity.
    pub(crate) fn capacity_for_roster(&self) -> Option<Resources> {
        let capacity = Resources::of_entry(&self.entry);
        let all_runs_known =
            self.contacted && !self.lists_incomplete && self.size_unknown_runs == 0;
        match self.rostered_capacity {
            Some(rostered) => Some(rostered.max(capacity)),
            None => all_runs_known.then(|| capacity.max(self.used)),
        }
    }

    /// Returns its entry in the roster.
    pub(crate) fn roster_entry(&self) -> RosterEntry {
        RosterEntry {
            id: self.entry.id.clone(),
            born_ms: self.born_ms,
            address: self.entry.address.clone(),
            lapses_store_ms: self.lapses_store_ms,
            capacity: self.capacity_for_roster(),
            stale_leases: self.stale_leases,
        }
    }

    /// Returns whether the roster must be written for starts to use the whole capacity, or for a
    /// successor to know an upper limit.
    pub(crate) fn roster_lacks_capacity(&self) -> bool {
        self.capacity_for_roster() != self.rostered_capacity
    }

    /// Returns whether its capacity covers all runs placed there.
    pub(crate) fn fits_all_runs(&self) -> bool {
        Resources::of_entry(&self.entry).can_fit(self.used)
    }

    /// Records a run on the endpoint; returns an earlier run of the same task that it replaces.
    pub(crate) fn place(&mut self, task: TaskKey, placed: PlacedRun) -> Option<PlacedRun> {
        // The end of the run is only reported in answer to a hold.
        self.next_hold_ms = if self.idle { 0 } else { self.next_hold_ms };
        let replaced = self.release(task);
        self.used = self.used.add(placed.resources);
        self.size_unknown_runs += usize::from(placed.size_unknown);
        self.sensitive_runs += u32::from(placed.latency_sensitive);
        self.exclusive_runs += u32::from(placed.exclusive);
        self.trial_runs += u32::from(placed.on_trial);
        self.placed.insert(task, placed);
        replaced
    }

    pub(crate) fn release(&mut self, task: TaskKey) -> Option<PlacedRun> {
        let placed = self.placed.remove(&task)?;
        self.used = self.used.minus(placed.resources);
        self.size_unknown_runs -= usize::from(placed.size_unknown);
        self.sensitive_runs -= u32::from(placed.latency_sensitive);
        self.exclusive_runs -= u32::from(placed.exclusive);
        self.trial_runs -= u32::from(placed.on_trial);
        Some(placed)
    }

    /// Lets other work run beside a run that was exclusive; returns whether it was.
    pub(crate) fn end_exclusiveness(&mut self, task: TaskKey) -> bool {
        let Some(placed) = self.placed.get_mut(&task) else {
            return false;
        };
        let was_exclusive = std::mem::take(&mut placed.exclusive);
        self.exclusive_runs -= u32::from(was_exclusive);
        was_exclusive
    }

    /// Returns whether a run had only just begun at the endpoint's last contact.
    pub(crate) fn has_just_begun(&self, placed: &PlacedRun) -> bool {
        self.contact_with_run_ms(placed)
            .is_none_or(|last_contact_ms| last_contact_ms < NEW_RUN_MS)
    }

    /// Reserves the endpoint for a step until `until_ms`.
    pub(crate) fn reserve(&mut self, step: StepKey, until_ms: Millis) {
        self.reserved = Some((step, until_ms));
    }

    /// Returns the step for which it is reserved.
    pub(crate) fn reserved_for(&self, now: Millis) -> Option<StepKey> {
        let (step, until_ms) = self.reserved?;
        (now < until_ms).then_some(step)
    }
}
