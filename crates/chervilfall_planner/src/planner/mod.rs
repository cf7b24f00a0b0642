//! The planner: a state machine that handles events and returns actions.

mod accounts;
mod activation;
mod admission;
mod advise;
mod ask;
mod barrier;
mod batch;
mod call_holds;
mod commits;
mod crashes;
mod departures;
mod endpoints;
mod ends;
mod evacuations;
mod failure_shares;
mod fair_shares;
mod gangs;
mod gap;
mod history;
mod incarnations;
mod job_memory;
mod job_rows;
mod leases;
mod offers;
mod open;
mod orders;
mod overdue;
mod preconditions;
mod progress_rows;
mod quota_bounds;
mod quota_reservations;
mod requests;
mod restore;
mod room_waits;
mod schedule;
mod short_pass;
mod skipped;
mod standing;
mod standing_step;
mod stopping;
mod suspects;
mod unsaved;
mod waiting;
mod waiting_counts;
mod work;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use slotmap::SlotMap;

use crate::action::{Action, Answer, StepDownReason};
use crate::config::{Configuration, QueueName, ServiceName};
use crate::election::{HolderRow, Takeover, LARGEST_RETENTION_MS};
use crate::endpoint::{Endpoint, EndpointKey};
use crate::event::{Event, NodeId};
use crate::ids::{CallNumber, EndpointId, Fence, JobId, Millis, RowVersion, Run, TaskKey};
use crate::limits::Limits;
use crate::metrics;
use crate::policy::advice_nodes::NodeHealth;
use crate::policy::advice_size::GrantShare;
use crate::policy::headroom::Headroom;
use crate::policy::overload::Overload;
use crate::policy::stall_timeout::CommitGaps;
use crate::progress_part::{PartKey, PartRow};
use crate::record::{JobRow, ProgressRow, RosterEntry};
use crate::starts::{StartNote, StartRing, StartsRow};
use crate::tasks::Job;
pub(crate) use accounts::AccountKey;
use accounts::Accounts;
use admission::Admission;
use advise::AdviceCall;
use barrier::Barrier;
use call_holds::GangCallHolds;
use commits::InFlightCommit;
use departures::Departures;
use evacuations::Evacuations;
use fair_shares::FairShares;
use gangs::GangDeadlines;
use gap::TakeoverGap;
use history::History;
pub use history::LookupResult;
pub use offers::PassedOver;
use open::OpenSteps;
use requests::{record_unknown_refusal, RETRY_MS};
use short_pass::ChangedSteps;
use skipped::SkippedPasses;
use standing::StandingSteps;
pub use standing_step::{ServiceUsage, StandingAdvice, StandingStep};
use stopping::Stopping;
use unsaved::UnsavedChanges;
use waiting::WaitingSteps;
use waiting_counts::WaitingCounts;
pub use work::PassWork;
use work::WorkCounters;

/// Label of the metric, and log line, of submissions that are refused when the group is given up.
const NO_HOLDER: &str = "no_holder";
const GIVEN_UP_EVENT: &str = "refused, the group is given up";

/// State of a group, as read from its rows in the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredGroup {
    /// Accepted jobs.
    pub jobs: Vec<(JobId, JobRow)>,
    /// Progress and outcomes of jobs.
    pub progress: Vec<(JobId, ProgressRow)>,
    /// Parts of the progress of jobs for which one row is too small.
    pub progress_parts: Vec<(PartKey, PartRow)>,
    /// Endpoints that may hold leases.
    pub roster: Vec<RosterEntry>,
    /// The latest starts, by slot of the ring of start notes.
    pub starts: Vec<(u64, StartsRow)>,
}

/// Amount of work that is waiting in a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// Steps with tasks that have not been placed.
    pub open_steps: usize,
    /// Submissions that are not part of a commit yet.
    pub unsaved_jobs: usize,
    /// Calls to the advice service that are in flight.
    pub advice_calls: usize,
}

/// The planner of one group.
#[derive(Debug)]
pub struct Planner {
    limits: Limits,
    holder: HolderRow,
    claimed_ms: Millis,
    /// Processor share that the claim of this holder required: that of the largest recent holder.
    inherited_permille: u64,
    /// Version of the claim row, the condition of the next commit.
    version: RowVersion,
    fence: Fence,
    now: Millis,
    unix_ms: u64,
    config: Arc<Configuration>,
    jobs: BTreeMap<JobId, Job>,
    /// Memory of the jobs, in bytes.
    job_bytes: u64,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    endpoint_keys: BTreeMap<EndpointId, EndpointKey>,
    evacuations: Evacuations,
    departures: Departures,
    open: OpenSteps,
    history: History,
    accounts: Accounts,
    admission: Admission,
    fair_shares: FairShares,
    /// Next occurrences of repeating jobs that are not due yet, by due time.
    due_occurrences: BTreeSet<(u64, JobId, u32)>,
    /// Next occurrences of jobs that have as many open as they may have.
    held_occurrences: BTreeMap<JobId, u32>,
    gang_deadlines: GangDeadlines,
    stopping: Stopping,
    /// Tasks with a run that may have crashed an endpoint, by that endpoint.
    exposed: BTreeMap<EndpointId, BTreeSet<TaskKey>>,
    /// Addresses at which an endpoint has crashed recently, and when.
    crashed_addresses: BTreeMap<String, Millis>,
    start_ring: StartRing,
    takeover_gap: TakeoverGap,
    /// Placed runs whose starts are ordered once a note of them is stored.
    announced: BTreeMap<TaskKey, (EndpointKey, Run)>,
    unsaved: UnsavedChanges,
    in_flight: Option<InFlightCommit>,
    /// When the last stored commit was first sent. Leases of this holder and the waits of a
    /// successor are counted from this time.
    claim_confirmed_ms: Millis,
    last_batch_ms: Millis,
    commit_gaps: CommitGaps,
    /// Usage by latency-sensitive work, by service.
    headrooms: BTreeMap<ServiceName, Headroom>,
    /// Estimate of the time between sending a copy of a commit and its answer. Rises at once and
    /// falls slowly.
    commit_duration_ms: Millis,
    /// Latest reading of the store's clock, and when it arrived here.
    store_clock: Option<(Millis, Millis)>,
    /// Latest reading of the store's clock, and when the call that returned it was sent. It is an
    /// upper bound of the store's clock at that time.
    store_clock_bound: Option<(Millis, Millis)>,
    barrier: Option<Barrier>,
    nodes: Vec<NodeId>,
    advice_calls: BTreeMap<CallNumber, AdviceCall>,
    last_advice_call: CallNumber,
    node_health: NodeHealth,
    /// Share of the endpoints that the advice service grants, by queue.
    grant_shares: BTreeMap<QueueName, GrantShare>,
    call_holds: GangCallHolds,
    finished: VecDeque<(Millis, JobId)>,
    /// Position of the last jittered idle hold interval within its range.
    idle_jitter_permille: u64,
    /// Number of jobs that were cancelled before they were submitted.
    pre_cancelled_jobs: usize,
    /// Whether a change requires a pass over the open steps soon.
    schedule_due: bool,
    last_pass_ms: Millis,
    last_full_pass_ms: Millis,
    changed: ChangedSteps,
    waiting: WaitingSteps,
    waiting_counts: WaitingCounts,
    standing: StandingSteps,
    skipped_passes: SkippedPasses,
    work: WorkCounters,
    overload: Overload,
    releasing: bool,
    stepped_down: bool,
    actions: Vec<Action>,
}

impl Planner {
    /// Returns the planner of a group that was claimed at `now`, restored from its rows.
    #[must_use]
    pub fn new(limits: Limits, takeover: Takeover, stored: StoredGroup, now: Millis) -> Self {
        let barrier = Barrier::after(&takeover, &limits);
        let last_commit_store_ms = takeover.predecessor_written_store_ms;
        let mut planner = Self {
            limits,
            fence: takeover.fence,
            version: takeover.version,
            claimed_ms: now,
            inherited_permille: takeover.row.wanted_permille,
            holder: HolderRow {
                recovering: false,
                ..takeover.row
            },
            now,
            unix_ms: 0,
            config: Arc::new(Configuration::default()),
            jobs: BTreeMap::new(),
            job_bytes: 0,
            endpoints: SlotMap::with_key(),
            endpoint_keys: BTreeMap::new(),
            evacuations: Evacuations::default(),
            departures: Departures::default(),
            open: OpenSteps::default(),
            history: History::default(),
            accounts: Accounts::default(),
            admission: Admission::default(),
            fair_shares: FairShares::default(),
            due_occurrences: BTreeSet::new(),
            held_occurrences: BTreeMap::new(),
            gang_deadlines: GangDeadlines::new(),
            stopping: Stopping::default(),
            exposed: BTreeMap::new(),
            crashed_addresses: BTreeMap::new(),
            start_ring: StartRing::after(&stored.starts),
            takeover_gap: TakeoverGap::after(last_commit_store_ms),
            announced: BTreeMap::new(),
            unsaved: UnsavedChanges::default(),
            in_flight: None,
            claim_confirmed_ms: now,
            last_batch_ms: now,
            commit_gaps: CommitGaps::new(now),
            headrooms: BTreeMap::new(),
            commit_duration_ms: 0,
            store_clock: None,
            store_clock_bound: None,
            barrier,
            nodes: Vec::new(),
            advice_calls: BTreeMap::new(),
            last_advice_call: CallNumber::before_term(takeover.row.term),
            node_health: NodeHealth::default(),
            grant_shares: BTreeMap::new(),
            call_holds: GangCallHolds::default(),
            finished: VecDeque::new(),
            idle_jitter_permille: 0,
            pre_cancelled_jobs: 0,
            schedule_due: false,
            last_pass_ms: now,
            last_full_pass_ms: 0,
            changed: ChangedSteps::default(),
            waiting: WaitingSteps::default(),
            waiting_counts: WaitingCounts::default(),
            standing: StandingSteps::default(),
            skipped_passes: SkippedPasses::default(),
            work: WorkCounters::default(),
            overload: Overload::default(),
            releasing: false,
            stepped_down: false,
            actions: Vec::new(),
        };
        planner.restore(stored, last_commit_store_ms);
        planner
    }

    /// Handles an event that happened at `now` and returns the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.stepped_down {
            return Vec::new();
        }
        self.dispatch(event);
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Request { to, request } => self.handle_request(to, request),
            Event::Nodes(nodes) => self.set_nodes(nodes),
            Event::Configured(config) => self.configure(config),
            Event::Endpoints {
                read_ms,
                entries,
                evacuated,
            } => self.update_endpoint_list(read_ms, entries, evacuated),
            Event::Committed {
                number,
                copy,
                outcome,
            } => self.handle_commit_outcome(number, copy, outcome),
            Event::Started {
                endpoint,
                task,
                run,
                answer,
            } => self.handle_start_answer(endpoint, task, run, &answer),
            Event::Stopped {
                endpoint,
                task,
                run,
                answer,
            } => self.handle_stop_answer(endpoint, task, run, &answer),
            Event::Held {
                endpoint,
                sent_ms,
                answer,
            } => self.handle_hold_answer(endpoint, sent_ms, answer),
            Event::ListedLate { endpoint, report } => self.handle_late_lists(endpoint, &report),
            Event::Advised { number, answer } => self.handle_advice_answer(number, answer),
            Event::UnstoredStarts(starts) => self.record_unstored_starts(starts),
            Event::Texts(texts) => self.add_texts(texts),
            Event::TextRead { id, text } => self.handle_text_read(id, text),
            Event::TextsRead => self.handle_all_texts_read(),
            Event::Ended(rows) => self.restore_ended(rows),
            Event::HistoryRead => self.handle_history_read(),
            Event::LookedUp { id, look } => self.handle_lookup_result(id, look),
            Event::Tick { unix_ms } => self.tick(unix_ms),
        }
    }

    /// Runs a scheduling pass after a change, and periodically because tickets expire and the
    /// eligibility of endpoints changes with time.
    fn schedule_if_due(&mut self) {
        let since_ms = self.now.saturating_sub(self.last_pass_ms);
        if self.schedule_due || since_ms >= self.limits.pass_ms {
            self.schedule_due = false;
            self.last_pass_ms = self.now;
            self.schedule();
            self.accounts.export_metrics(self.now);
            metrics::queues(
                self.open.len(),
                self.unsaved.new_jobs.len(),
                self.claim_age_ms(self.now),
            );
        }
    }

    fn tick(&mut self, unix_ms: u64) {
        if self.unix_ms == 0 {
            self.forget_passed_gang_deadlines(unix_ms);
        }
        self.unix_ms = unix_ms;
        self.check_barrier();
        self.check_leases();
        self.mark_silent();
        self.open_due_occurrences();
        self.check_gang_deadlines();
        self.drop_finished();
        let counted = self.count_waiting_work();
        self.refuse_overdue(counted);
        self.expire_advice_calls();
        self.schedule_if_due();
        self.clear_departing_endpoints();
        self.report_waiting();
        self.send_stops();
        self.send_holds();
        self.commit_if_due();
    }

    /// Begins to release the group. [`Action::StepDown`] follows once the release is stored.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    /// Sets the processor share of the largest machine that could hold the group next, in
    /// thousandths of a core.
    pub fn set_required_permille(&mut self, linked_permille: u64) {
        let remembered = self.now.saturating_sub(self.claimed_ms) < LARGEST_RETENTION_MS;
        let inherited = if remembered {
            self.inherited_permille
        } else {
            0
        };
        self.holder.wanted_permille = linked_permille.max(inherited);
    }

    /// Returns the longest time between two stored commits since the last time it was taken, in
    /// milliseconds.
    #[must_use]
    pub fn take_longest_commit_gap_ms(&mut self) -> Millis {
        self.commit_gaps.take_unreported_ms()
    }

    /// Records how late this node makes its calls.
    pub fn record_lag(&mut self, lag_ms: Millis) {
        let max_lag_ms = self.limits.hold_answer_ms;
        self.overload.record(self.now, lag_ms, max_lag_ms);
    }

    /// Returns whether the group is being released.
    #[must_use]
    pub const fn is_releasing(&self) -> bool {
        self.releasing
    }

    /// Returns the time since the last stored commit, which confirmed the claim, was first sent.
    #[must_use]
    pub const fn claim_age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.claim_confirmed_ms)
    }

    /// Returns the amount of work that is waiting.
    #[must_use]
    pub fn backlog(&self) -> Backlog {
        Backlog {
            open_steps: self.open.len(),
            unsaved_jobs: self.unsaved.new_jobs.len(),
            advice_calls: self.advice_calls.len(),
        }
    }

    /// Returns the starts whose notes may not be stored, for the next holder.
    #[must_use]
    pub fn unstored_starts(&self) -> Vec<StartNote> {
        self.start_ring.unstored()
    }

    /// Returns the claim's term.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.holder.term
    }

    fn configure(&mut self, config: Arc<Configuration>) {
        if config.version < self.config.version {
            return;
        }
        for job in self.jobs.values_mut() {
            if let Some(queue) = config.queues.get(&job.queue.name) {
                job.set_queue(queue);
            }
        }
        self.accounts.configure(&config.accounts, self.now);
        self.config = config;
    }

    fn step_down(&mut self, reason: StepDownReason) {
        if self.stepped_down {
            return;
        }
        self.stepped_down = true;
        log::warn!(
            reason:? = reason, term = self.holder.term, fence = self.fence,
            claim_age_ms = self.claim_age_ms(self.now);
            "group given up"
        );
        self.waiting.clear();
        self.standing.clear();
        self.answer_on_step_down();
        self.actions.push(Action::StepDown(reason));
    }

    /// Answers all waiting callers. A job that is in no batch never runs and can be refused; the
    /// outcome of all others is undecided.
    fn answer_on_step_down(&mut self) {
        for (to, request) in self.history.take_waiting() {
            let retry_ms = request
                .job()
                .map_or(RETRY_MS, |id| self.unanswered_retry_ms(id));
            record_unknown_refusal(&request, NO_HOLDER, retry_ms, GIVEN_UP_EVENT);
            let answer = history::not_looked_up_answer(&request, retry_ms);
            self.actions.push(Action::Reply { to, answer });
        }
        let sent = self.in_flight.as_ref();
        for job in self.jobs.values() {
            let in_flight = sent.is_some_and(|commit| commit.contains_new_job(job.id));
            let answer = if in_flight || job.stored {
                Answer::Undecided
            } else {
                let retry_ms = self.unanswered_retry_ms(job.id);
                if !job.submitters.is_empty() {
                    self.record_refusal(job, NO_HOLDER, retry_ms, GIVEN_UP_EVENT);
                }
                Answer::Refused { retry_ms }
            };
            for to in &job.submitters {
                self.actions.push(Action::Reply { to: *to, answer });
            }
            for to in &job.cancellers {
                let answer = Answer::Undecided;
                self.actions.push(Action::Reply { to: *to, answer });
            }
        }
    }

    fn drop_finished(&mut self) {
        while let Some((at_ms, id)) = self.finished.front().copied() {
            if self.now.saturating_sub(at_ms) < self.limits.status_ms {
                return;
            }
            self.finished.pop_front();
            self.held_occurrences.remove(&id);
            if let Some(job) = self.remove_job(id) {
                self.pre_cancelled_jobs -= usize::from(job.pre_cancelled);
                self.unsaved.remove(id, job.rows, &job.parts);
            }
        }
    }
}
